// Tests of a copy that is fed by another host, and of one that reads a store
// that sends its history in parts.
#include "store/kind_watcher.h"

#include <CppUTest/TestHarness.h>

#include "net/event_loop.h"
#include "net/exchange_server.h"
#include "platform/store_codec.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

TEST_GROUP(KindWatcher) {
  EventLoop loop{{32, 8, 4096}};
  // Nothing listens at this address: a fed copy makes no calls.
  ObjectStore store{loop,
                    {"127.0.4.2", 1},
                    platform::MakeStoreProtocol(),
                    std::chrono::seconds(1)};
  std::vector<std::string> removed;
  ChangeBound last_bound;
  KindWatcher watcher{
      loop,
      store,
      "things",
      {},
      {[this](const StoredObject& object, const ChangeBound& bound) {
         last_bound = bound;
         if (object.deleted) removed.push_back(object.name);
       },
       nullptr, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr,
       nullptr}};

  StoredObject Object(const std::string& name, uint64_t revision,
                      bool deleted = false) {
    return {name, revision, deleted, nlohmann::json::object()};
  }
};

TEST(KindWatcher, AFullUpdateReplacesEverything) {
  CHECK(watcher.ApplyFed({true, 0, 10, {Object("a", 3), Object("b", 9)}},
                         kNever));
  CHECK(watcher.synced());
  CHECK(watcher.ApplyFed({true, 0, 20, {Object("b", 9)}}, kNever));
  LONGS_EQUAL(1, watcher.objects().size());
  LONGS_EQUAL(1, removed.size());
}

TEST(KindWatcher, ChangesApplyOnlyToTheirBaseRevision) {
  watcher.ApplyFed({true, 0, 10, {Object("a", 3)}}, kNever);
  CHECK_FALSE(watcher.ApplyFed({false, 11, 12, {Object("b", 12)}}, kNever));
  LONGS_EQUAL(10, watcher.content_revision());
  CHECK(watcher.ApplyFed({false, 10, 12, {Object("b", 12)}}, kNever));
  LONGS_EQUAL(12, watcher.content_revision());
}

TEST(KindWatcher, AnOlderUpdateChangesNothing) {
  watcher.ApplyFed({true, 0, 10, {Object("a", 9)}}, kNever);
  CHECK(watcher.ApplyFed({true, 0, 5, {}}, kNever));
  LONGS_EQUAL(1, watcher.objects().size());
}

TEST(KindWatcher, ASnapshotHoldsTheWholeCopy) {
  watcher.ApplyFed({true, 0, 10, {Object("a", 9), Object("b", 2)}}, kNever);
  const KindUpdate snapshot = watcher.Snapshot();
  CHECK(snapshot.full);
  LONGS_EQUAL(10, snapshot.revision);
  LONGS_EQUAL(2, snapshot.objects.size());
}

// A change is reported as newer than the last time at which the copy is known
// to have matched the store. A later time would make the change appear newer
// than it may be, and an earlier NoteCurrent must not move the bound back.
TEST(KindWatcher, AChangeIsNewerThanTheLastConfirmation) {
  const MonotonicTime confirmed_at{std::chrono::seconds(100)};
  watcher.ApplyFed({true, 0, 10, {Object("a", 9)}}, kNever);
  CHECK(last_bound.after == kNever);
  watcher.NoteCurrent(confirmed_at);
  watcher.NoteCurrent(confirmed_at - std::chrono::seconds(1));
  watcher.ApplyFed({false, 10, 12, {Object("a", 12)}}, kNever);
  CHECK(last_bound.after == confirmed_at);
  LONGS_EQUAL(11, last_bound.after_revision);
}

// A full update shows only that an object changed after the previous copy. The
// bound must not be the object's own revision, since an earlier change may have
// brought the same state.
TEST(KindWatcher, AFullUpdateBoundsChangesByThePreviousCopy) {
  watcher.ApplyFed({true, 0, 10, {Object("a", 9)}}, kNever);
  LONGS_EQUAL(0, last_bound.after_revision);
  watcher.ApplyFed({true, 0, 20, {Object("a", 18)}}, kNever);
  LONGS_EQUAL(10, last_bound.after_revision);
  watcher.ApplyFed({true, 0, 30, {}}, kNever);
  LONGS_EQUAL(1, removed.size());
  LONGS_EQUAL(20, last_bound.after_revision);
}

constexpr uint64_t kNewestRevision = 1000;
constexpr uint64_t kChangesPerResponse = 100;

// A store with one object, which each of its revisions changed. Each response
// to a watch has at most kChangesPerResponse changes.
class ScriptedStore {
 public:
  ScriptedStore(EventLoop& loop, const SocketAddress& address) {
    HttpServerHandlers handlers;
    handlers.on_request = [this](ExchangeId id, HttpRequest&& request) {
      Respond(id, request.query);
    };
    handlers.on_abandoned = [](ExchangeId) {};
    handlers.make_refusal = [](int, const std::string&) {
      return HttpResponse{};
    };
    auto made = ExchangeServer::Listen(
        loop, address,
        {{16384, 65536}, std::chrono::seconds(9), std::chrono::seconds(9), 9},
        std::move(handlers));
    CHECK(made.has_value());
    server_ = std::move(made.value());
  }

  // The queries of the watches so far.
  const std::vector<std::string>& watches() const { return watches_; }

 private:
  static nlohmann::json Object(uint64_t revision) {
    return {{"metadata", {{"name", "a"}, {"rev", revision}}},
            {"spec", nlohmann::json::object()}};
  }

  void Respond(ExchangeId id, const std::string& query) {
    watches_.push_back(query);
    nlohmann::json body;
    const uint64_t from = std::stoull(query.substr(sizeof("watch=") - 1));
    const uint64_t last = std::min(from + kChangesPerResponse, kNewestRevision);
    body = {{"events", nlohmann::json::array()}, {"asOf", last}};
    for (uint64_t revision = from + 1; revision <= last; ++revision)
      body["events"].push_back({{"object", Object(revision)}});
    HttpResponse response;
    response.status = 200;
    response.body = body.dump();
    server_->Respond(id, response);
  }

  std::unique_ptr<ExchangeServer> server_;
  std::vector<std::string> watches_;
};

TEST_GROUP(PartialHistory) {
  EventLoop loop{{32, 8, 65536}};
  SocketAddress address{"127.0.4.2", 18499};
  ScriptedStore scripted{loop, address};
  ObjectStore store{loop, address, platform::MakeStoreProtocol(),
                    std::chrono::seconds(1)};
  // The delay is longer than the tests run.
  KindWatcherTiming timing{std::chrono::seconds(5), std::chrono::seconds(9),
                           std::chrono::seconds(9), std::chrono::seconds(9)};
  KindWatcher watcher{loop, store, "things", timing, {}};

  // Starts a watcher that was fed up to revision 1, and runs the loop until it
  // has the revision, for at most a second.
  void ReadUntil(uint64_t revision) {
    watcher.ApplyFed({true, 0, 1, {{"a", 1, false, nullptr}}}, kNever);
    watcher.Start();
    const MonotonicTime end = loop.timers().now() + std::chrono::seconds(1);
    const TimerId tick =
        loop.timers().Every(std::chrono::milliseconds(10), [] {});
    while (watcher.revision() < revision && loop.timers().now() < end)
      loop.RunOnce();
    loop.timers().Cancel(tick);
  }
};

// Guards against news that comes late to a host that was disconnected, because
// it waits before it reads each further part of a long history.
TEST(PartialHistory, ALongHistoryIsReadWithoutWaitingBetweenItsParts) {
  ReadUntil(kNewestRevision);
  LONGS_EQUAL(kNewestRevision, watcher.revision());
}

// Guards against a copy that counts as up to date after the first part of a
// long history: a change may then appear newer than it is.
TEST(PartialHistory, APartOfTheChangesDoesNotShowThatTheCopyIsUpToDate) {
  ReadUntil(1 + kChangesPerResponse);
  LONGS_EQUAL(1 + kChangesPerResponse, watcher.revision());
  CHECK(watcher.current_at() == kNever);
}

// A store whose responses are the test's texts, for each call in turn. After
// the last one it does not respond.
class TextStore {
 public:
  TextStore(EventLoop& loop, const SocketAddress& address) {
    HttpServerHandlers handlers;
    handlers.on_request = [this](ExchangeId id, HttpRequest&& request) {
      queries.push_back(request.query);
      if (queries.size() > bodies.size()) return;
      HttpResponse response;
      response.status = 200;
      response.body = bodies[queries.size() - 1];
      server_->Respond(id, response);
    };
    handlers.on_abandoned = [](ExchangeId) {};
    handlers.make_refusal = [](int, const std::string&) {
      return HttpResponse{};
    };
    auto made = ExchangeServer::Listen(
        loop, address,
        {{16384, 65536}, std::chrono::seconds(9), std::chrono::seconds(9), 9},
        std::move(handlers));
    CHECK(made.has_value());
    server_ = std::move(made.value());
  }

  std::vector<std::string> bodies;
  std::vector<std::string> queries;

 private:
  std::unique_ptr<ExchangeServer> server_;
};

TEST_GROUP(UnreadableChanges) {
  EventLoop loop{{32, 8, 65536}};
  SocketAddress address{"127.0.4.2", 18498};
  TextStore texts{loop, address};
  ObjectStore store{loop, address, platform::MakeStoreProtocol(),
                    std::chrono::seconds(1)};
  int lost = 0;
  size_t left_out = 0;
  KindWatcher watcher{
      loop,
      store,
      "things",
      {std::chrono::seconds(5), Duration::zero(), std::chrono::seconds(9),
       std::chrono::seconds(9)},
      {nullptr, nullptr, nullptr,
       [this](bool reachable, const std::string&) {
         if (!reachable) ++lost;
       },
       nullptr, nullptr, [this](size_t count) { left_out += count; }, nullptr,
       nullptr, nullptr}};

  // Runs the loop until the store has got that many calls, for at most a
  // second.
  void RunUntilCalls(size_t calls) {
    const MonotonicTime end = loop.timers().now() + std::chrono::seconds(1);
    const TimerId tick =
        loop.timers().Every(std::chrono::milliseconds(10), [] {});
    while (texts.queries.size() < calls && loop.timers().now() < end)
      loop.RunOnce();
    loop.timers().Cancel(tick);
    LONGS_EQUAL(calls, texts.queries.size());
  }
};

// Guards against a watch that asks for the same changes again without end.
TEST(UnreadableChanges, AWatchGoesOnAfterAnObjectThatCannotBeRead) {
  texts.bodies = {
      R"({"items":[{"metadata":{"name":"a","rev":2},"spec":"\ud800"},)"
      R"({"metadata":{"name":"b","rev":3},"spec":{}}],"asOf":3})",
      R"({"events":[{"object":{"metadata":{"name":"b","rev":4},)"
      R"("spec":"\ud800"}}],"asOf":4})",
      R"({"events":[{"object":{"metadata":{"name":"\ud800","rev":5}}}],)"
      R"("asOf":5})",
      R"({"events":[{"object":{"metadata":{"name":"c","rev":6},"spec":1}}],)"
      R"("asOf":6})"};
  watcher.Start();
  RunUntilCalls(5);
  STRCMP_EQUAL("watch=3&waitMs=5000", texts.queries[1].c_str());
  STRCMP_EQUAL("watch=4&waitMs=5000", texts.queries[2].c_str());
  STRCMP_EQUAL("watch=5&waitMs=5000", texts.queries[3].c_str());
  STRCMP_EQUAL("watch=6&waitMs=5000", texts.queries[4].c_str());
  LONGS_EQUAL(0, lost);
  LONGS_EQUAL(1, left_out);
  LONGS_EQUAL(6, watcher.content_revision());
  LONGS_EQUAL(3, watcher.objects().size());
  LONGS_EQUAL(4, watcher.objects().at("b").revision);
  CHECK(watcher.objects().at("b").content.is_null());
}

// Guards against the same with changes that are together longer than this host
// takes: it lists the objects, whose pages are limited.
TEST(UnreadableChanges, ChangesThatAreTooLongAreReplacedByAList) {
  texts.bodies = {R"({"items":[],"asOf":3})",
                  std::string(size_t{9} * 1024 * 1024, ' '),
                  R"({"items":[{"metadata":{"name":"a","rev":7}}],"asOf":7})"};
  watcher.ApplyFed({true, 0, 2, {}}, kNever);
  texts.queries = {"no list"};
  watcher.Start();
  RunUntilCalls(4);
  STRCMP_EQUAL("watch=2&waitMs=5000", texts.queries[1].c_str());
  STRCMP_EQUAL("", texts.queries[2].c_str());
  STRCMP_EQUAL("watch=7&waitMs=5000", texts.queries[3].c_str());
  LONGS_EQUAL(0, lost);
  LONGS_EQUAL(1, watcher.objects().size());
}

// Guards against a response that cannot be read and counts as an outage, during
// which other watchers and takeovers wait.
TEST(UnreadableChanges, AStoreThatRespondsIsReachable) {
  texts.bodies = {R"({"items":[{}],"more":true,"asOf":3})", "no JSON",
                  R"({"items":[],"asOf":3})", R"({"events":7,"asOf":4})",
                  R"({"events":[],"asOf":4})"};
  std::vector<std::string> reasons;
  KindWatcherHandlers handlers;
  handlers.on_reachable = [this](bool reachable, const std::string&) {
    if (!reachable) ++lost;
  };
  handlers.on_malformed = [&](const std::string& reason) {
    reasons.push_back(reason);
  };
  KindWatcher quick(
      loop, store, "things",
      {std::chrono::seconds(5), Duration::zero(), std::chrono::milliseconds(10),
       std::chrono::milliseconds(20)},
      std::move(handlers));
  quick.Start();
  RunUntilCalls(6);
  STRCMP_EQUAL("", texts.queries[2].c_str());
  STRCMP_EQUAL("watch=3&waitMs=5000", texts.queries[4].c_str());
  STRCMP_EQUAL("watch=4&waitMs=5000", texts.queries[5].c_str());
  LONGS_EQUAL(0, lost);
  LONGS_EQUAL(3, reasons.size());
  CHECK(quick.reachable());
  CHECK(quick.synced());
}

TEST_GROUP(DelayedWatch) {
  EventLoop loop{{32, 8, 65536}};
  SocketAddress address{"127.0.4.2", 18500};
  ScriptedStore scripted{loop, address};
  ObjectStore store{loop, address, platform::MakeStoreProtocol(),
                    std::chrono::seconds(1)};

  void RunFor(Duration time) {
    const MonotonicTime end = loop.timers().now() + time;
    const TimerId tick =
        loop.timers().Every(std::chrono::milliseconds(5), [] {});
    while (loop.timers().now() < end) loop.RunOnce();
    loop.timers().Cancel(tick);
  }

  // Lets the watcher read a few changes, after which it waits.
  void ReadChanges(KindWatcher & watcher) {
    watcher.ApplyFed({true, 0, kNewestRevision - 9, {{"a", 1, false, nullptr}}},
                     kNever);
    watcher.Start();
    RunFor(std::chrono::milliseconds(100));
    LONGS_EQUAL(kNewestRevision, watcher.revision());
    LONGS_EQUAL(1, scripted.watches().size());
  }
};

// A holder gathers changes of the tables, unless it hears that one is missing.
TEST(DelayedWatch, TheDelayEndsWhenAChangeIsKnownToBeMissing) {
  KindWatcher watcher{loop,
                      store,
                      "things",
                      {std::chrono::seconds(5), std::chrono::seconds(9),
                       std::chrono::seconds(9), std::chrono::seconds(9)},
                      {}};
  ReadChanges(watcher);
  watcher.EndBatch();
  RunFor(std::chrono::milliseconds(50));
  CHECK(scripted.watches().size() > 1);
}

// A silent connection must not show later after a change than otherwise.
TEST(DelayedWatch, TheDelayIsPartOfTheNextWait) {
  KindWatcher watcher{loop,
                      store,
                      "things",
                      {std::chrono::seconds(5), std::chrono::milliseconds(200),
                       std::chrono::seconds(9), std::chrono::seconds(9)},
                      {}};
  ReadChanges(watcher);
  RunFor(std::chrono::milliseconds(250));
  CHECK(scripted.watches().size() > 1);
  const std::string& query = scripted.watches().at(1);
  const std::string name = "waitMs=";
  const auto at = query.find(name);
  CHECK(at != std::string::npos);
  const long wait = std::stol(query.substr(at + name.size()));
  CHECK(wait <= 4800);
  CHECK(wait >= 4000);
}

}  // namespace
}  // namespace mimosadeal
