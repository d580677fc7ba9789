// Tests of entry hosts on an object-store deployment whose operator evacuates
// availability zones.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>

#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kBounds[] = ",evac=3000ms";
// As in kBounds.
constexpr Duration kEvacuationBound = seconds(3);
// In which ownership has returned to a zone that was taken back.
constexpr Duration kReturnTime = seconds(6);
// Requests per second that cold upstreams take, and what they tolerate in one
// second by the fixture's bounds, 1.5 times that and 8.
constexpr double kColdRate = 4.5;
constexpr double kMostColdRequests = 1.5 * kColdRate + 8;
// After a zone was taken back; a part of the time of coldness.
constexpr Duration kFirstSeconds = seconds(2);
constexpr char kEvacuations[] = "evacuations";

class EntryEvacuationTest : public EntryTest {
 public:
  void StartDeployment(int hosts) {
    fixture.extra_bounds = kBounds;
    fixture.StartDefaultDeployment(hosts);
    for (const auto& [name, upstream] : fixture.upstreams)
      upstream->SetWork(milliseconds(5));
  }

  MonotonicTime Now() { return fixture.loop.timers().now(); }

  MonotonicTime Evacuate(const std::string& zone) {
    fixture.store->Put(kEvacuations, zone, nlohmann::json::object());
    return Now();
  }

  void TakeBack(const std::string& zone) {
    fixture.store->Remove(kEvacuations, zone);
  }

  // Sends requests to all hosts that run, with and without keys, for `time`.
  void SendFor(Duration time) {
    const MonotonicTime end = Now() + time;
    int key = 77;
    while (Now() < end) {
      for (const auto& [name, host] : fixture.hosts) {
        if (!host->process.running()) continue;
        key = (key + 11003) % 65536;
        fixture.Start(*host, "GET", "/lookup/a", key);
        fixture.Start(*host, "GET", "/price/a", -1);
      }
      fixture.RunFor(milliseconds(25));
    }
  }

  // Returns how many requests began to run at the zone's upstreams between the
  // times.
  long RunsIn(const std::string& zone, MonotonicTime from, MonotonicTime to) {
    return std::count_if(
        fixture.record.runs.begin(), fixture.record.runs.end(),
        [&](const UpstreamRun& run) {
          return run.began_at != kNever && run.began_at > from &&
                 run.began_at <= to &&
                 fixture.upstreams.at(run.upstream)->options().zone == zone;
        });
  }

  // Sends requests of each kind to every host, one after the other: half of the
  // upstreams would not queue those that CountFailures sends at once.
  void CheckAllIsServed() {
    for (const auto& [name, host] : fixture.hosts) {
      for (int key = 500; key < 65536; key += 8192)
        CheckServed(fixture.SendAndWait(*host, "GET", "/lookup/a", key));
      CheckServed(fixture.SendAndWait(*host, "POST", "/charge/a", -1));
    }
  }

  bool ZoneHoldsKeys(const std::string& zone) {
    return std::any_of(fixture.upstreams.begin(), fixture.upstreams.end(),
                       [&](const auto& entry) {
                         return entry.second->options().zone == zone &&
                                entry.second->options().keyed &&
                                OwnedKey(entry.first) >= 0;
                       });
  }

  // Starts the holder of the lease on zone "north", host-1, with these bounds,
  // and its follower host-3 with others.
  void StartTwoBuilds(const char* holder_bounds, const char* follower_bounds) {
    fixture.AddDefaultUpstreams();
    for (const auto& [name, upstream] : fixture.upstreams)
      upstream->SetWork(milliseconds(5));
    fixture.extra_bounds = holder_bounds;
    fixture.AddHost("host-1", "north");
    fixture.AddHost("host-2", "south");
    CHECK(fixture.RunUntil([this] { return fixture.EveryKeyIsHeld(); },
                           seconds(15)));
    fixture.extra_bounds = follower_bounds;
    const EntryProcess& follower = fixture.AddHost("host-3", "north");
    CHECK(
        fixture.RunUntil([&] { return fixture.Ready(follower); }, seconds(15)));
    fixture.RunFor(seconds(2));
    STRCMP_EQUAL("host-1", fixture.LeaseHolder("north").c_str());
  }

  // Checks that requests by way of the host keep the bound, and that host-3 is
  // fed.
  void CheckBoundAt(const EntryProcess& host) {
    const MonotonicTime evacuated = Evacuate("north");
    while (Now() < evacuated + kEvacuationBound + seconds(1)) {
      fixture.Start(host, "GET", "/price/a", -1);
      fixture.Start(host, "GET", "/lookup/a", 100);
      fixture.RunFor(milliseconds(20));
    }
    CHECK(RunsIn("south", evacuated, Now()) > 0);
    LONGS_EQUAL(0, RunsIn("north", evacuated + kEvacuationBound, Now()));
    fixture.store->Put("config", "main", fixture.Configuration(2));
    fixture.RunFor(kChangeDeadline);
    const std::string log = fixture.HostLog("host-3");
    CHECK(log.find("\"fed\":false") == std::string::npos);
    CHECK(log.find("\"version\":2") != std::string::npos);
    fixture.CheckRecord();
  }
};

TEST_GROUP_BASE(EntryEvacuation, EntryEvacuationTest){};

TEST(EntryEvacuation, AnEvacuatedZoneGetsNothingAfterTheBound) {
  StartDeployment(4);
  SendFor(seconds(1));
  const MonotonicTime evacuated = Evacuate("north");
  SendFor(kEvacuationBound + seconds(2));
  LONGS_EQUAL(0, RunsIn("north", evacuated + kEvacuationBound, Now()));
  CHECK(fixture.EveryKeyIsHeld());
  CHECK_FALSE(ZoneHoldsKeys("north"));
  CheckAllIsServed();
  LONGS_EQUAL(0, RunsIn("north", evacuated + kEvacuationBound, Now()));
  fixture.CheckRecord();
}

TEST(EntryEvacuation, AZoneThatIsTakenBackOwnsKeysAgain) {
  StartDeployment(4);
  Evacuate("north");
  SendFor(kEvacuationBound);
  const MonotonicTime taken_back = Now();
  TakeBack("north");
  SendFor(kReturnTime);
  CHECK(ZoneHoldsKeys("north"));
  CHECK(RunsIn("north", taken_back, Now()) > 0);
  CHECK(fixture.EveryKeyIsHeld());
  CheckAllIsServed();
  fixture.CheckRecord();
}

// The zone's upstreams may have become cold shortly before, and their
// registrations tell it late.
TEST(EntryEvacuation, AZoneThatIsTakenBackGetsTheRateOfColdUpstreamsFirst) {
  fixture.cold_rate = kColdRate;
  StartDeployment(4);
  Evacuate("north");
  SendFor(kEvacuationBound);
  const MonotonicTime taken_back = Now();
  TakeBack("north");
  SendFor(kFirstSeconds);
  const auto cold =
      std::count_if(fixture.upstreams.begin(), fixture.upstreams.end(),
                    [](const auto& entry) {
                      return entry.second->options().zone == "north";
                    });
  CHECK(RunsIn("north", taken_back, Now()) <=
        static_cast<long>(static_cast<double>(cold) * ToSeconds(kFirstSeconds) *
                          kMostColdRequests));
  fixture.CheckRecord();
}

// The holder of the evacuated zone's lease moves its ranges.
TEST(EntryEvacuation, AnEvacuationOutlastsTheLossOfTheLeaseHolder) {
  StartDeployment(6);
  SendFor(seconds(1));
  for (const char* id : {"yard-1", "yard-2"})
    fixture.upstreams.at(id)->faults().ignore_releases = true;
  const MonotonicTime evacuated = Evacuate("north");
  SendFor(milliseconds(200));
  fixture.hosts.at(fixture.LeaseHolder("north"))->process.Signal(SIGKILL);
  for (const char* id : {"yard-1", "yard-2"})
    fixture.upstreams.at(id)->faults().ignore_releases = false;
  SendFor(seconds(10));
  LONGS_EQUAL(0, RunsIn("north", evacuated + kEvacuationBound, Now()));
  CHECK(fixture.EveryKeyIsHeld());
  CHECK_FALSE(ZoneHoldsKeys("north"));
  fixture.CheckRecord();
}

// Guards against two holders that wait for each other's upstreams.
TEST(EntryEvacuation, WithAllZonesEvacuatedNothingIsSentAndNoKeyMoves) {
  StartDeployment(4);
  const std::string owner =
      fixture.upstreams.at("yard-1")->Holds(0) ? "yard-1" : "yard-3";
  const MonotonicTime evacuated = Evacuate("north");
  Evacuate("south");
  SendFor(kEvacuationBound + seconds(1));
  for (const char* zone : {"north", "south"})
    LONGS_EQUAL(0, RunsIn(zone, evacuated + kEvacuationBound, Now()));
  const CallerResponse refused =
      fixture.SendAndWait(Host(1), "GET", "/lookup/a", 0);
  LONGS_EQUAL(503, refused.status);
  CHECK_FALSE(FindHeader(refused.headers, "retry-after").empty());
  TakeBack("south");
  fixture.RunFor(kEvacuationBound);
  CHECK(fixture.EveryKeyIsHeld());
  CHECK_FALSE(ZoneHoldsKeys("north"));
  CheckAllIsServed();
  fixture.CheckRecord();
}

TEST(EntryEvacuation, AnEntryForAnUnknownZoneOrWithoutContentHarmsNothing) {
  StartDeployment(4);
  Evacuate("nowhere");
  fixture.store->Put(kEvacuations, "", "x");
  SendFor(seconds(1));
  CheckAllIsServed();
  CHECK(ZoneHoldsKeys("north"));
  // The name says which zone it is, whatever the content.
  fixture.store->Put(kEvacuations, "north", 7);
  const MonotonicTime evacuated = Now();
  SendFor(kEvacuationBound + seconds(1));
  LONGS_EQUAL(0, RunsIn("north", evacuated + kEvacuationBound, Now()));
  CheckAllIsServed();
  fixture.CheckRecord();
}

// While the store is silent nobody learns of the entry; what is known stays in
// force.
TEST(EntryEvacuation, AnEvacuationStaysInForceWhileTheStoreIsAway) {
  StartDeployment(4);
  const MonotonicTime evacuated = Evacuate("north");
  SendFor(kEvacuationBound);
  fixture.store->faults().silent = true;
  fixture.store->CancelWatches();
  SendFor(seconds(4));
  LONGS_EQUAL(0, RunsIn("north", evacuated + kEvacuationBound, Now()));
  CHECK(RunsIn("south", Now() - seconds(1), Now()) > 0);
  fixture.store->faults().silent = false;
  SendFor(seconds(3));
  LONGS_EQUAL(0, RunsIn("north", evacuated + kEvacuationBound, Now()));
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

// The copy is older than the entry, which the operator writes again.
TEST(EntryEvacuation, AStoreRestoredFromACopyTakesAnEvacuationBackOrRepeatsIt) {
  StartDeployment(4);
  fixture.store->TakeCopy();
  fixture.RunFor(seconds(1));
  Evacuate("north");
  SendFor(kEvacuationBound);
  fixture.store->RestoreCopy();
  fixture.store->RewriteLost();
  const MonotonicTime again = Evacuate("north");
  SendFor(kEvacuationBound + seconds(2));
  LONGS_EQUAL(0, RunsIn("north", again + kEvacuationBound, Now()));
  CHECK(fixture.EveryKeyIsHeld());
  CHECK_FALSE(ZoneHoldsKeys("north"));
  CheckAllIsServed();
  fixture.CheckRecord();
}

// A host without the bound speaks as one of a former build: it states three
// revisions, and has no use for evacuations.
TEST(EntryEvacuation, AFollowerKeepsTheBoundThatItsHolderDoesNotKnow) {
  StartTwoBuilds("", kBounds);
  CheckBoundAt(*fixture.hosts.at("host-3"));
}

TEST(EntryEvacuation, AHolderKeepsTheBoundThatItsFollowerDoesNotKnow) {
  StartTwoBuilds(kBounds, "");
  CheckBoundAt(*fixture.hosts.at("host-1"));
}

}  // namespace
}  // namespace mimosadeal
