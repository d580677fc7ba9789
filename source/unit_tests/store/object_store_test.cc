// Tests of ObjectStore, with the platform's codec, against a store whose lists
// have several pages.
#include "store/object_store.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

#include "deployment_store.h"
#include "net/event_loop.h"
#include "net/exchange_server.h"
#include "platform/store_codec.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SocketAddress kAddress{"127.0.4.3", 18471};
constexpr char kKind[] = "things";
constexpr Duration kTestLimit = seconds(2);

TEST_GROUP(ObjectStore) {
  EventLoop loop{{32, 8, 4096}};
  ObjectStore store{loop, kAddress, platform::MakeStoreProtocol(), seconds(1)};

  void RunUntil(const bool& done) {
    const MonotonicTime end = loop.timers().now() + kTestLimit;
    while (!done && loop.timers().now() < end) {
      loop.timers().After(milliseconds(1), [] {});
      loop.RunOnce();
    }
    CHECK(done);
  }

  Result<ObjectPage> ListAll() {
    Result<ObjectPage> listed = ObjectPage{};
    bool done = false;
    store.List(kKind, [&](Result<ObjectPage> page) {
      listed = std::move(page);
      done = true;
    });
    RunUntil(done);
    return listed;
  }
};

// Guards against pages that are asked for by another name than the last one of
// the page before.
TEST(ObjectStore, AListContinuesAfterNamesThatMeanSomethingInAQuery) {
  auto standin = DeploymentStore::Start(loop, kAddress);
  CHECK(standin.has_value());
  standin.value()->faults().max_page_objects = 1;
  std::set<std::string> names = {"plain"};
  for (int c = 1; c < 128; ++c) names.insert(std::string("a") + char(c) + "b");
  for (const char* name : {"a%26b", "a%", "&after=z", "a+", "+", "\u00e9"})
    names.insert(name);
  for (const std::string& name : names)
    standin.value()->Put(kKind, name, nlohmann::json::object());
  const Result<ObjectPage> listed = ListAll();
  CHECK(listed.has_value());
  std::set<std::string> listed_names;
  for (const StoredObject& object : listed.value().objects)
    listed_names.insert(object.name);
  CHECK(listed_names == names);
  LONGS_EQUAL(names.size(), listed.value().objects.size());
}

// Guards against a list that ends at a name that JSON cannot carry, which
// follows all other names or stands between them.
TEST(ObjectStore, AListContinuesAfterNamesThatAreNoUtf8) {
  const std::set<std::string> sound = {"a", "ab", "b", "b\"x", "b\"y", "z"};
  auto standin = DeploymentStore::Start(loop, kAddress);
  CHECK(standin.has_value());
  for (const std::string& name : sound)
    standin.value()->Put(kKind, name, nlohmann::json::object());
  for (const bool raw : {false, true}) {
    standin.value()->faults().raw_names = raw;
    for (const char* odd : {"\xff", "a\xff", "a\xc0\xaf", "b\"x\xed\xa0\x80",
                            "\xfe\xff", "\xff\xff"}) {
      standin.value()->Remove(kKind, odd);
      standin.value()->Put(kKind, odd, nlohmann::json::object());
    }
    for (const size_t page_objects : {1, 2, 3, 4}) {
      standin.value()->faults().max_page_objects = page_objects;
      const Result<ObjectPage> listed = ListAll();
      CHECK_TEXT(listed.has_value(), raw ? "as it is" : "replaced");
      std::set<std::string> names;
      for (const StoredObject& object : listed.value().objects)
        names.insert(object.name);
      for (const std::string& name : sound)
        CHECK_TEXT(names.contains(name), name.c_str());
    }
  }
}

TEST(ObjectStore, AnObjectIsReadAndWrittenByAnOddName) {
  auto standin = DeploymentStore::Start(loop, kAddress);
  CHECK(standin.has_value());
  for (const std::string name : {"a/b", "a?b", "a%2Fb", "a+b", "a b", "a#b"}) {
    standin.value()->Put(kKind, name, {{"n", 1}});
    bool done = false;
    Result<StoredObject> got = StoredObject{};
    const auto keep = [&](Result<StoredObject> object) {
      got = std::move(object);
      done = true;
    };
    store.Get(kKind, name, keep);
    RunUntil(done);
    CHECK(got.has_value());
    STRCMP_EQUAL(name.c_str(), got.value().name.c_str());
    done = false;
    store.Write({kKind, name, got.value().revision, {{"n", 2}}}, keep);
    RunUntil(done);
    CHECK(got.has_value());
    CHECK(standin.value()->Find(kKind, name)->at("spec") ==
          nlohmann::json({{"n", 2}}));
  }
}

// Guards against a list that begins anew with each lost response, and is never
// complete if it has more pages than the store sends in a row.
TEST(ObjectStore, AListOutlastsLostPages) {
  constexpr int objects = 10;
  auto standin = DeploymentStore::Start(loop, kAddress);
  CHECK(standin.has_value());
  for (int i = 0; i < objects; ++i)
    standin.value()->Put(kKind, "a" + std::to_string(i), {{"n", i}});
  standin.value()->faults().max_page_objects = 1;
  standin.value()->faults().lost_list_interval = 4;
  const Result<ObjectPage> listed = ListAll();
  CHECK(listed.has_value());
  LONGS_EQUAL(objects, listed.value().objects.size());
}

// A store that responds no longer is not asked for the same page without end.
TEST(ObjectStore, AListEndsWhenNoPageFollows) {
  auto standin = DeploymentStore::Start(loop, kAddress);
  CHECK(standin.has_value());
  for (const char* name : {"a", "b"})
    standin.value()->Put(kKind, name, nlohmann::json::object());
  standin.value()->faults().max_page_objects = 1;
  standin.value()->faults().lost_list_interval = 1;
  CHECK(ListAll().error().code == ErrorCode::kUnavailable);
  LONGS_EQUAL(1, standin.value()->calls());
  bool done = false;
  store.List(kKind, [&](Result<ObjectPage> page) {
    CHECK(page.error().code == ErrorCode::kUnavailable);
    done = true;
  });
  standin.value()->faults().lost_list_interval = 0;
  const uint64_t first_page = standin.value()->calls() + 1;
  while (standin.value()->calls() < first_page) loop.RunOnce();
  standin.value()->faults().lost_list_interval = 1;
  RunUntil(done);
  // The second page three times.
  LONGS_EQUAL(first_page + 3, standin.value()->calls());
}

// Guards against a list without end, which would also take memory without end.
TEST(ObjectStore, AListWhosePagesRepeatFails) {
  int calls = 0;
  std::unique_ptr<ExchangeServer> server;
  HttpServerHandlers handlers;
  handlers.on_request = [&](ExchangeId id, HttpRequest&&) {
    HttpResponse response;
    const std::string name = ++calls % 2 == 0 ? "a" : "b";
    response.body = R"({"items":[{"metadata":{"name":")" + name +
                    R"(","rev":1},"spec":{}}],"more":true,"asOf":1})";
    server->Respond(id, response);
  };
  handlers.on_abandoned = [](ExchangeId) {};
  handlers.make_refusal = [](int, const std::string&) {
    return HttpResponse{};
  };
  auto listening = ExchangeServer::Listen(
      loop, kAddress, {{4096, 4096}, seconds(5), seconds(5), 10},
      std::move(handlers));
  CHECK(listening.has_value());
  server = std::move(listening.value());
  const Result<ObjectPage> listed = ListAll();
  CHECK_FALSE(listed.has_value());
  CHECK(listed.error().code == ErrorCode::kMalformed);
  LONGS_EQUAL(3, calls);
}

}  // namespace
}  // namespace mimosadeal
