// Tests of watches whose responses are lost, of their repetition, and of when
// that counts as an outage of the store.
#include <CppUTest/TestHarness.h>

#include "net/event_loop.h"
#include "net/exchange_server.h"
#include "platform/store_codec.h"
#include "store/kind_watcher.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

// A store that responds to the calls that the test names, in their order, and
// never to the others, whose connections stay open.
class LossyStore {
 public:
  LossyStore(EventLoop& loop, const SocketAddress& address) : loop_(loop) {
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

  // By call: whether it gets a response. Later ones do.
  std::vector<bool> responds;
  // Before a response, beyond the wait of a watch.
  Duration delay{};
  std::vector<std::string> queries;
  std::vector<MonotonicTime> at;  // When each call arrived.

 private:
  void Respond(ExchangeId id, const std::string& query) {
    queries.push_back(query);
    at.push_back(loop_.timers().now());
    if (queries.size() <= responds.size() && !responds[queries.size() - 1])
      return;
    const auto wait_at = query.find("waitMs=");
    const long wait =
        wait_at == std::string::npos
            ? 0
            : std::stol(query.substr(wait_at + sizeof("waitMs=") - 1));
    HttpResponse response;
    response.status = 200;
    response.body = wait_at == std::string::npos ? R"({"items":[],"asOf":3})"
                                                 : R"({"events":[],"asOf":3})";
    loop_.timers().After(
        std::chrono::milliseconds(wait) + delay,
        [this, id, response] { server_->Respond(id, response); });
  }

  EventLoop& loop_;
  std::unique_ptr<ExchangeServer> server_;
};

TEST_GROUP(LostWatch) {
  EventLoop loop{{32, 8, 65536}};
  SocketAddress address{"127.0.4.2", 18501};
  LossyStore lossy{loop, address};
  ObjectStore store{loop, address, platform::MakeStoreProtocol(),
                    std::chrono::seconds(1)};
  std::vector<Duration> lost;  // How long each lost watch had waited.
  int unreachable = 0;
  std::unique_ptr<KindWatcher> watcher;

  void Start(bool list_after_failure = false) {
    KindWatcherTiming timing;
    timing.wait = std::chrono::milliseconds(200);
    timing.response_slack = std::chrono::milliseconds(100);
    timing.first_retry = std::chrono::milliseconds(20);
    timing.longest_retry = std::chrono::milliseconds(20);
    timing.list_after_failure = list_after_failure;
    KindWatcherHandlers handlers;
    handlers.on_reachable = [this](bool reachable, const std::string&) {
      if (!reachable) ++unreachable;
    };
    handlers.on_watch_lost = [this](Duration waited, const std::string&) {
      lost.push_back(waited);
    };
    watcher = std::make_unique<KindWatcher>(loop, store, "things", timing,
                                            std::move(handlers));
    watcher->Start();
  }

  void RunUntilCalls(size_t calls) {
    const MonotonicTime end = loop.timers().now() + std::chrono::seconds(4);
    const TimerId tick =
        loop.timers().Every(std::chrono::milliseconds(5), [] {});
    while (lossy.queries.size() < calls && loop.timers().now() < end)
      loop.RunOnce();
    loop.timers().Cancel(tick);
    CHECK(lossy.queries.size() >= calls);
  }
};

// Guards against a single lost response that hid changes for the time of a
// watch and a second more, and then counted as an outage of the store.
TEST(LostWatch, IsRepeatedAtOnceAndIsNoOutage) {
  lossy.responds = {true, true, false};
  Start();
  RunUntilCalls(5);
  STRCMP_EQUAL("watch=3&waitMs=200", lossy.queries[2].c_str());
  STRCMP_EQUAL("watch=3&waitMs=0", lossy.queries[3].c_str());
  STRCMP_EQUAL("watch=3&waitMs=200", lossy.queries[4].c_str());
  CHECK(lossy.at[3] - lossy.at[2] >= std::chrono::milliseconds(295));
  LONGS_EQUAL(1, lost.size());
  LONGS_EQUAL(0, unreachable);
  CHECK(watcher->reachable_since() == kNever);
}

TEST(LostWatch, IsAnOutageIfItsRepetitionIsLostToo) {
  lossy.responds = {true, false, false};
  Start();
  RunUntilCalls(4);
  LONGS_EQUAL(1, lost.size());
  LONGS_EQUAL(1, unreachable);
}

// A store that is slow for all calls must not get twice as many of them.
TEST(LostWatch, ASlowStoreGetsMoreTimeForTheNextWatches) {
  lossy.delay = std::chrono::milliseconds(150);
  Start();
  RunUntilCalls(7);
  LONGS_EQUAL(1, lost.size());
  LONGS_EQUAL(0, unreachable);
  lossy.delay = Duration::zero();
  RunUntilCalls(9);
  lossy.responds.assign(lossy.queries.size(), true);
  lossy.responds.push_back(false);
  RunUntilCalls(lossy.responds.size() + 1);
  LONGS_EQUAL(2, lost.size());
}

TEST(LostWatch, IsRepeatedAtOnceIfAChangeIsKnownToBeMissing) {
  lossy.responds = {true, false};
  Start();
  RunUntilCalls(2);
  watcher->RepeatWatch("another host read a later change");
  RunUntilCalls(3);
  CHECK(lossy.at[2] - lossy.at[1] < std::chrono::milliseconds(195));
  STRCMP_EQUAL("watch=3&waitMs=0", lossy.queries[2].c_str());
  RunUntilCalls(5);
  LONGS_EQUAL(1, lost.size());
}

// Guards against hosts that read every version of a long object after an
// outage, and did not reach the newest one for seconds.
TEST(LostWatch, ObjectsThatAreWholeInEachVersionAreListedAfterAnOutage) {
  lossy.responds = {true, false, false};
  Start(true);
  RunUntilCalls(5);
  STRCMP_EQUAL("", lossy.queries[3].c_str());
  STRCMP_EQUAL("watch=3&waitMs=200", lossy.queries[4].c_str());
}

// A host that begins to feed others must know at once that its copies are
// recent, and any other host need not.
TEST(LostWatch, TheFirstWatchAfterAPauseWaitsUnlessItIsToConfirmTheCopy) {
  Start();
  RunUntilCalls(2);
  for (const bool at_once : {false, true}) {
    const size_t calls = lossy.queries.size();
    watcher->Pause();
    watcher->Start(at_once);
    RunUntilCalls(calls + 1);
    STRCMP_EQUAL(at_once ? "watch=3&waitMs=0" : "watch=3&waitMs=200",
                 lossy.queries[calls].c_str());
  }
}

// Guards against the use of an upstream whose registration lapsed for longer,
// by the time that the first response after an outage takes to arrive.
TEST(LostWatch, AnOutageEndsWhenTheCallIsSentThatShowsIt) {
  lossy.responds = {true, false, false};
  Start();
  RunUntilCalls(3);
  lossy.delay = std::chrono::milliseconds(300);
  RunUntilCalls(5);
  LONGS_EQUAL(1, unreachable);
  CHECK(watcher->reachable());
  CHECK(watcher->reachable_since() <=
        lossy.at[3] + std::chrono::milliseconds(50));
}

}  // namespace
}  // namespace mimosadeal
