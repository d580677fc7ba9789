// Tests of entry hosts whose calls to the store get no response, on connections
// that stay open, while everything else is calm: changes must be in force in
// time all the same.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "common/ids.h"
#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// As in the fixture's settings.
constexpr Duration kDrainBound = seconds(2);
constexpr Duration kWork = milliseconds(5);
// Longer than any watch waits.
constexpr Duration kWatchLimit = seconds(4);
constexpr Duration kObserved = seconds(5);
// A host uses an upstream at least this often while requests are sent.
constexpr Duration kUsedWithin = milliseconds(500);

class EntrySilentWatchTest : public EntryTest {
 public:
  // Starts three hosts in one zone, so that one host reads the store and two
  // are fed.
  void StartZone() {
    fixture.AddDefaultUpstreams();
    for (const auto& [name, upstream] : fixture.upstreams)
      upstream->SetWork(kWork);
    for (const char* name : {"host-1", "host-2", "host-3"})
      fixture.AddHost(name, "north");
    CHECK(fixture.RunUntil([this] { return fixture.EveryKeyIsHeld(); },
                           seconds(15)));
    for (const auto& [name, host] : fixture.hosts)
      CHECK(
          fixture.RunUntil([&] { return fixture.Ready(*host); }, seconds(15)));
    fixture.RunFor(seconds(3));
  }

  // Sends requests of a service without keys to every host for `time`.
  void SendRequests(Duration time) {
    const MonotonicTime end = fixture.loop.timers().now() + time;
    while (fixture.loop.timers().now() < end) {
      for (const auto& [name, host] : fixture.hosts)
        fixture.Start(*host, "GET", "/price/" + name, -1);
      fixture.RunFor(milliseconds(15));
    }
  }

  // Waits until the holder of the lease has a watch of the kind waiting that
  // will get no response.
  void LoseNextWatch(const std::string& kind) {
    const uint64_t before = fixture.store->lost_responses();
    fixture.store->faults().watch_to_lose = kind;
    const MonotonicTime limit = fixture.loop.timers().now() + kWatchLimit;
    while (fixture.store->lost_responses() == before &&
           fixture.loop.timers().now() < limit)
      SendRequests(milliseconds(30));
    CHECK(fixture.store->lost_responses() > before);
  }

  // Returns how long after `since` the last request by way of the host began to
  // run at one of the upstreams; unset if none did.
  std::optional<Duration> LastRun(const std::string& host,
                                  const std::set<std::string>& upstreams,
                                  MonotonicTime since) {
    std::optional<Duration> last;
    for (const UpstreamRun& run : fixture.record.runs) {
      if (run.began_at == kNever || run.target != "/price/" + host ||
          !upstreams.contains(run.upstream)) {
        continue;
      }
      last =
          std::max(last.value_or(run.began_at - since), run.began_at - since);
    }
    return last;
  }

  // Checks that all hosts used one of the upstreams until the change, and none
  // after the bound.
  void CheckBound(const std::set<std::string>& upstreams, MonotonicTime since,
                  Duration bound) {
    std::string late;
    for (const auto& [name, host] : fixture.hosts) {
      const std::optional<Duration> last = LastRun(name, upstreams, since);
      CHECK_TEXT(last.has_value() && *last > -kUsedWithin,
                 (name + " did not use them").c_str());
      if (*last <= bound) continue;
      late += name +
              (name == fixture.LeaseHolder("north") ? " (holder): " : ": ") +
              std::to_string(ToMilliseconds(*last)) + " ms; ";
    }
    CHECK_TEXT(late.empty(), late.c_str());
    fixture.CheckRecord();
  }

  // Makes the change, and checks that no host uses the upstreams after the
  // bound.
  void ChangeAndCheck(const std::set<std::string>& upstreams, Duration bound,
                      const std::function<void()>& change) {
    change();
    const MonotonicTime acknowledged = fixture.loop.timers().now();
    SendRequests(kObserved);
    CheckBound(upstreams, acknowledged, bound);
  }

  // The same while the holder's watch of the kind gets no response.
  void LoseWatchAndCheck(const std::string& kind,
                         const std::set<std::string>& upstreams, Duration bound,
                         const std::function<void()>& change) {
    SendRequests(milliseconds(300));
    LoseNextWatch(kind);
    ChangeAndCheck(upstreams, bound, change);
  }
};

TEST_GROUP_BASE(EntrySilentWatch, EntrySilentWatchTest){};

TEST(EntrySilentWatch, ADrainingUpstreamGetsNothingAfterTheBound) {
  StartZone();
  LoseWatchAndCheck("servers", {"desk-1"}, kDrainBound, [this] {
    fixture.upstreams.at("desk-1")->Report("draining");
  });
}

TEST(EntrySilentWatch, ARemovedUpstreamGetsNothingAfterTheBound) {
  StartZone();
  LoseWatchAndCheck("servers", {"desk-1"}, kDrainBound,
                    [this] { fixture.store->Remove("servers", "desk-1"); });
}

TEST(EntrySilentWatch, ADrainingUpstreamGetsNothingAfterTheBoundIfAllIsLost) {
  StartZone();
  SendRequests(milliseconds(300));
  const uint64_t before = fixture.store->lost_responses();
  fixture.store->LoseWaitingWatches();
  CHECK(fixture.store->lost_responses() >= before + 3);
  ChangeAndCheck({"desk-1"}, kDrainBound, [this] {
    fixture.upstreams.at("desk-1")->Report("draining");
  });
}

// The route's former service must get none of its requests after the bound.
TEST(EntrySilentWatch, AConfigurationIsInForceAfterTheBound) {
  StartZone();
  LoseWatchAndCheck("config", {"desk-1", "desk-2"}, kChangeDeadline, [this] {
    nlohmann::json moved = fixture.Configuration(2);
    nlohmann::json spare = moved["services"][1];
    spare["name"] = "spare";
    moved["services"].push_back(spare);
    moved["virtualHosts"][0]["paths"][3]["service"] = "spare";
    fixture.store->Put("config", "main", moved);
  });
}

// Each round loses another call's response, also of lists and of writes of the
// lease and the tables, and lets an upstream leave at another moment.
TEST(EntrySilentWatch, AnyOneResponseMayBeLost) {
  constexpr uint64_t seed = 20261208;
  constexpr int rounds = 8;
  constexpr uint64_t calls_within_a_second = 6;
  Random random(seed);
  StartZone();
  DeploymentUpstream& upstream = *fixture.upstreams.at("desk-1");
  int used = 0;
  std::string late;
  for (int round = 0; round < rounds; ++round) {
    SendRequests(milliseconds(1000));
    const uint64_t before = fixture.store->lost_responses();
    fixture.store->faults().call_to_lose =
        1 + static_cast<int>(random.Below(calls_within_a_second));
    while (fixture.store->lost_responses() == before)
      SendRequests(milliseconds(15));
    SendRequests(milliseconds(random.Below(1000)));
    upstream.Report("draining");
    const MonotonicTime left = fixture.loop.timers().now();
    SendRequests(milliseconds(3500));
    for (const auto& [name, host] : fixture.hosts) {
      const std::optional<Duration> last = LastRun(name, {"desk-1"}, left);
      if (!last.has_value() || *last < -seconds(2)) continue;
      ++used;
      if (*last <= kDrainBound) continue;
      late += "round " + std::to_string(round) + ", " + name + ": " +
              std::to_string(ToMilliseconds(*last)) + " ms; ";
    }
    upstream.Report("ready");
  }
  CHECK_TEXT(late.empty(), late.c_str());
  CHECK_TEXT(used >= rounds, "the upstream was hardly used");
  fixture.CheckRecord();
}

// The time up to which a lost watch is noticed follows from the bound.
TEST(EntrySilentWatch, ADrainingUpstreamGetsNothingAfterALongerBound) {
  fixture.extra_bounds = ",drain=3000ms";
  StartZone();
  LoseWatchAndCheck("servers", {"desk-1"}, seconds(3), [this] {
    fixture.upstreams.at("desk-1")->Report("draining");
  });
}

// An outage of the store for all, with every answer lost, ends no service.
TEST(EntrySilentWatch, UpstreamsAreUsedWhileTheStoreRespondsToNobody) {
  StartZone();
  fixture.store->faults().silent = true;
  fixture.store->LoseWaitingWatches();
  SendRequests(seconds(6));
  const size_t before = fixture.record.runs.size();
  std::vector<std::shared_ptr<CallerResponse>> responses;
  for (int i = 0; i < 50; ++i) {
    for (const auto& [name, host] : fixture.hosts)
      responses.push_back(fixture.Start(*host, "GET", "/price/a", -1));
    fixture.RunFor(milliseconds(20));
  }
  fixture.RunFor(seconds(1));
  CHECK(fixture.record.runs.size() > before);
  for (const auto& response : responses) LONGS_EQUAL(200, response->status);
}

// A holder whose watch was lost hears of the change from the other zone's
// holder, long before it would notice the loss by itself.
TEST(EntrySilentWatch, AChangeThatAnotherZonesHolderReadIsAskedFor) {
  constexpr Duration noticed_by_itself = milliseconds(1050);
  fixture.StartDefaultDeployment(4);
  for (const auto& [name, upstream] : fixture.upstreams)
    upstream->SetWork(kWork);
  fixture.RunFor(seconds(3));
  SendRequests(milliseconds(300));
  LoseNextWatch("servers");
  fixture.upstreams.at("desk-1")->Report("draining");
  const MonotonicTime left = fixture.loop.timers().now();
  SendRequests(seconds(3));
  for (const auto& [name, host] : fixture.hosts) {
    const std::optional<Duration> last = LastRun(name, {"desk-1"}, left);
    CHECK(!last.has_value() || *last < noticed_by_itself);
  }
  const std::string logs = fixture.HostLog(fixture.LeaseHolder("north")) +
                           fixture.HostLog(fixture.LeaseHolder("south"));
  STRCMP_CONTAINS("another host read a later change", logs.c_str());
}

// A request that waits for a connection to an upstream which then leaves goes
// to another one at once.
TEST(EntrySilentWatch, ARequestWhoseConnectionOpensIsDecidedAgainAtNews) {
  fixture.AddDefaultUpstreams();
  fixture.link_upstreams = true;
  fixture.StartHosts(1);
  LinkFaults faults;
  faults.connecting = LinkConnecting::kUnanswered;
  fixture.hosts.at("host-1")->upstream_links.at("desk-1")->SetFaults(faults);
  // The link listens again.
  fixture.RunFor(milliseconds(200));
  std::vector<std::shared_ptr<CallerResponse>> responses;
  for (int i = 0; i < 4; ++i)
    responses.push_back(fixture.Start(Host(1), "POST", "/charge/a", -1));
  fixture.RunFor(milliseconds(40));
  fixture.upstreams.at("desk-1")->Report("draining");
  fixture.RunUntil(
      [&] {
        return std::all_of(responses.begin(), responses.end(),
                           [](const auto& r) { return r->status != 0; });
      },
      seconds(3));
  for (const auto& response : responses) LONGS_EQUAL(200, response->status);
  STRCMP_CONTAINS("request.decided-again", fixture.HostLog("host-1").c_str());
  fixture.CheckRecord();
}

}  // namespace
}  // namespace mimosadeal
