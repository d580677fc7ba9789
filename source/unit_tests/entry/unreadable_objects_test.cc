// Tests of what a host does about stored objects that it cannot read, by kind.
#include <CppUTest/TestHarness.h>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "net/event_loop.h"
#include "platform/deployment.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

using std::chrono::seconds;

const nlohmann::json kConfiguration = {
    {"version", "r12"},
    {"services", nlohmann::json::array()},
    {"virtualHosts", nlohmann::json::array()}};

TEST_GROUP(UnreadableObjects) {
  EventLoop loop{{32, 8, 4096}};
  DeploymentProtocol protocol = platform::MakeDeploymentProtocol();
  // Nothing listens at this address: a fed view makes no calls.
  ObjectStore store{loop, {"127.0.4.2", 1}, protocol.store, seconds(1)};
  EventLog log{"host", 100};
  DeploymentView view{loop, store, protocol, log};

  nlohmann::json Registration(int report) {
    return {{"service", "yard"}, {"address", "10.1.0.9:8080"},
            {"zone", "north"},   {"slots", 2},
            {"state", "ready"},  {"warmupLeft", "0ms"},
            {"seq", report},     {"born", 1767225600000}};
  }

  // Feeds one object that is unreadable if `content` is null.
  void Feed(ViewKind kind, const std::string& name, uint64_t revision,
            nlohmann::json content) {
    const uint64_t base = view.Revisions().at(static_cast<size_t>(kind));
    CHECK(view.ApplyFed(kind,
                        {base == 0,
                         base,
                         revision,
                         {{name, revision, false, std::move(content)}}},
                        kNever));
    LONGS_EQUAL(revision, view.Revisions().at(static_cast<size_t>(kind)));
  }

  bool Serves(const std::string& id) {
    const ListedUpstream* listed = view.directory().Find(id);
    return listed != nullptr &&
           listed->availability == UpstreamAvailability::kServing;
  }
};

// Its keys move as those of an upstream that has left: after a release that it
// acknowledged, or once its grants have lapsed.
TEST(UnreadableObjects, AnUnreadableRegistrationNamesNoUpstream) {
  Feed(ViewKind::kRegistry, "i-1", 5, Registration(1));
  Feed(ViewKind::kRegistry, "i-2", 6, Registration(1));
  Feed(ViewKind::kRegistry, "i-1", 7, nullptr);
  CHECK_FALSE(Serves("i-1"));
  CHECK(view.directory().Find("i-1")->availability ==
        UpstreamAvailability::kMissing);
  CHECK(Serves("i-2"));
  LONGS_EQUAL(1, view.unreadable_registrations());
  Feed(ViewKind::kRegistry, "i-1", 8, Registration(2));
  CHECK(Serves("i-1"));
}

// Guards against one that went around an outage, and is written again by
// another writer, and would be used until the outage's grace time is over.
TEST(UnreadableObjects, AnUnreadableRegistrationEndsALapse) {
  view.ApplyFed(ViewKind::kRegistry,
                {true, 0, 5, {{"i-1", 5, false, Registration(1)}}}, kNever);
  view.ApplyFed(ViewKind::kRegistry, {false, 5, 6, {{"i-1", 6, true, nullptr}}},
                loop.timers().now());
  CHECK(view.directory().FindLapse("i-1") != nullptr);
  Feed(ViewKind::kRegistry, "i-1", 7, nullptr);
  CHECK(view.directory().FindLapse("i-1") == nullptr);
  CHECK(view.directory().Find("i-1")->availability ==
        UpstreamAvailability::kMissing);
}

// While the newest configuration cannot be read, a route that is not found may
// be in it.
TEST(UnreadableObjects, AnUnreadableConfigurationLeavesTheLastOneInForce) {
  Feed(ViewKind::kConfiguration, "main", 5, kConfiguration);
  const MonotonicTime confirmed_at = loop.timers().now();
  view.NoteCurrent(ViewKind::kConfiguration, confirmed_at);
  CHECK(view.routes_current_at() == confirmed_at);
  Feed(ViewKind::kConfiguration, "main", 6, nullptr);
  LONGS_EQUAL(12, view.routes()->version);
  CHECK(view.routes_current_at() == kNever);
  LONGS_EQUAL(1, view.unreadable_objects());
  nlohmann::json next = kConfiguration;
  next["version"] = "r13";
  Feed(ViewKind::kConfiguration, "main", 7, next);
  LONGS_EQUAL(13, view.routes()->version);
  CHECK(view.routes_current_at() == confirmed_at);
}

// A write expects the revision of the last readable table, so that it conflicts
// and does not replace a later one. Followers get the last readable one.
TEST(UnreadableObjects, AnUnreadableTableIsNotReplacedByAnOlderOne) {
  const RangeTable table = {
      "yard", 0, 3, {{kFirstKey, kLastKey, "i-1", 7, "north", 3, ""}}};
  Feed(ViewKind::kRangeTables, "yard", 5, EncodeRangeTable(table));
  Feed(ViewKind::kRangeTables, "yard", 6, nullptr);
  LONGS_EQUAL(5, view.table("yard")->revision);
  LONGS_EQUAL(5, view.stored_revision("yard"));
  LONGS_EQUAL(1, view.unreadable_objects());
  const KindUpdate snapshot = view.Snapshot(ViewKind::kRangeTables);
  LONGS_EQUAL(6, snapshot.revision);
  LONGS_EQUAL(5, snapshot.objects.at(0).revision);
  CHECK(DecodeRangeTable("yard", 5, snapshot.objects[0].content).has_value());
}

// The name says all, so an evacuation holds with any content.
TEST(UnreadableObjects, AnUnreadableEvacuationHolds) {
  view.EnableEvacuations(seconds(5));
  Feed(ViewKind::kEvacuations, "north", 5, nullptr);
  CHECK(view.IsEvacuated("north"));
}

}  // namespace
}  // namespace mimosadeal
