// Tests of entry hosts that lose their paths to all upstreams, while the store,
// the other hosts and their callers still reach them.
#include <CppUTest/TestHarness.h>

#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time after which a host that lost its paths has to serve its callers again.
constexpr Duration kNoticeTime = seconds(3);

// Of grants, by the deployment's bounds.
constexpr Duration kLongestHold = seconds(10);

// Longer than a host reuses an idle connection.
constexpr Duration kIdleTime = seconds(6);

size_t Count(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

class EntryPathsTest : public EntryTest {
 public:
  void StartLinkedDeployment(int hosts) {
    fixture.AddDefaultUpstreams();
    fixture.link_upstreams = true;
    // Leaves room for the requests that the tests send at once.
    for (auto& [id, upstream] : fixture.upstreams)
      upstream->SetWork(milliseconds(5));
    fixture.StartHosts(hosts);
    CheckServedFor(seconds(1));
  }

  // Starts one host and upstreams of one zone.
  void StartOnlyZone() {
    fixture.store->Put("config", "main", fixture.Configuration(1));
    for (int i = 1; i <= 3; ++i)
      fixture.AddUpstream("yard-" + std::to_string(i), "yard", "north", i);
    fixture.AddUpstream("desk-1", "desk", "north", 4);
    fixture.link_upstreams = true;
    fixture.StartHosts(1);
  }

  void Cut(const std::vector<std::string>& names, UpstreamCut cut) {
    for (const std::string& name : names)
      fixture.SetUpstreamPartition(name, cut);
  }

  std::vector<std::string> HostsOf(const std::string& zone) {
    std::vector<std::string> names;
    for (const auto& [name, host] : fixture.hosts) {
      if (host->zone == zone) names.push_back(name);
    }
    return names;
  }

  std::string FollowerOf(const std::string& zone) {
    for (const std::string& name : HostsOf(zone)) {
      if (name != fixture.LeaseHolder(zone)) return name;
    }
    return "";
  }

  // Sends requests of all kinds to all hosts for `time`. Returns the number of
  // requests that failed.
  int FailuresFor(Duration time) {
    int failures = 0;
    const MonotonicTime end = fixture.loop.timers().now() + time;
    while (fixture.loop.timers().now() < end) {
      failures += CountFailures("GET", "/lookup/");
      failures += CountFailures("POST", "/hold/");
      for (const auto& [name, host] : fixture.hosts) {
        const CallerResponse response =
            fixture.SendAndWait(*host, "POST", "/charge/x", -1);
        if (response.status == 200) continue;
        NoteFailure(
            "POST /charge/x, " + fixture.last_request_id + " at " + name,
            response);
        ++failures;
      }
    }
    return failures;
  }

  // Sends requests for `time`, all of which must be served.
  void CheckServedFor(Duration time) {
    failed_requests.clear();
    const int failures = FailuresFor(time);
    for (const std::string& failed : failed_requests) UT_PRINT(failed.c_str());
    LONGS_EQUAL(0, failures);
  }

  size_t CountInLogs(const std::string& part) {
    size_t count = 0;
    for (const auto& [name, host] : fixture.hosts)
      count += Count(fixture.HostLog(name), part);
    return count;
  }

  void CheckCallersAreServed(const std::vector<std::string>& names,
                             UpstreamCut cut) {
    Cut(names, cut);
    FailuresFor(kNoticeTime);
    CheckServedFor(seconds(8));
    Cut(names, UpstreamCut::kNone);
    FailuresFor(kNoticeTime);
    CheckServedFor(seconds(2));
    CHECK(fixture.EveryKeyIsHeld());
    fixture.CheckRecord();
  }
};

TEST_GROUP_BASE(EntryPaths, EntryPathsTest){};

// A group of its own, because each takes up to 45 s.
TEST_GROUP_BASE(EntryLongCuts, EntryPathsTest){};

// A host without paths refused all requests, though other hosts had paths.
TEST(EntryPaths, CallersOfAHostWithRefusedPathsAreServed) {
  StartLinkedDeployment(4);
  CheckCallersAreServed({FollowerOf("north")}, UpstreamCut::kRefused);
}

// As above, while connections hang.
TEST(EntryPaths, CallersOfAHostWithSilentPathsAreServed) {
  StartLinkedDeployment(4);
  CheckCallersAreServed({FollowerOf("north")}, UpstreamCut::kSilent);
}

// As above, while open connections live on.
TEST(EntryPaths, CallersOfAHostThatCanOpenNoConnectionAreServed) {
  StartLinkedDeployment(4);
  const std::string host = FollowerOf("north");
  CheckCallersAreServed({host}, UpstreamCut::kNewOnly);
  Cut({host}, UpstreamCut::kNewOnly);
  fixture.RunFor(kIdleTime);
  CheckServedFor(seconds(4));
  fixture.CheckRecord();
}

// Without paths the holder renewed its lease, and no grant.
TEST(EntryPaths, KeysStayServedWhenALeaseHolderLosesItsPaths) {
  StartLinkedDeployment(4);
  CheckCallersAreServed({fixture.LeaseHolder("north")}, UpstreamCut::kSilent);
  LONGS_EQUAL(0, CountInLogs("the upstream does not respond"));
}

// No host of the zone can renew its grants, so another zone's has to.
TEST(EntryPaths, AZoneIsServedWhenAllItsHostsLoseTheirPaths) {
  StartLinkedDeployment(4);
  CheckCallersAreServed(HostsOf("north"), UpstreamCut::kRefused);
  LONGS_EQUAL(0, CountInLogs("the upstream does not respond"));
}

// Holders handed keys to upstreams that they did not reach, and on, without
// end.
TEST(EntryPaths, MovesEndSoonAfterHoldersLostTheirPaths) {
  StartLinkedDeployment(4);
  std::vector<std::string> holders = {fixture.LeaseHolder("north"),
                                      fixture.LeaseHolder("south")};
  Cut(holders, UpstreamCut::kRefused);
  FailuresFor(seconds(8));
  Cut(holders, UpstreamCut::kNone);
  fixture.RunFor(kNoticeTime);
  const size_t moves = CountInLogs("\"event\":\"range.moving\"");
  CheckServedFor(seconds(4));
  LONGS_EQUAL(moves, CountInLogs("\"event\":\"range.moving\""));
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

// The silence of an earlier ownership counted against the next one at once.
TEST(EntryLongCuts, AnUpstreamThatWasSilentBeforeKeepsTheKeysThatItGetsLater) {
  StartLinkedDeployment(4);
  const auto set_silent = [this](bool silent) {
    for (const char* id : {"yard-1", "yard-2"})
      fixture.upstreams.at(id)->faults().ignore_grants = silent;
  };
  set_silent(true);
  CHECK(fixture.RunUntil(
      [this] { return OwnedKey("yard-1") < 0 && OwnedKey("yard-2") < 0; },
      seconds(20)));
  FailuresFor(seconds(4));
  set_silent(false);
  FailuresFor(seconds(11));
  const std::string silent = "\"reason\":\"the upstream does not respond\"";
  const size_t before = CountInLogs(silent);
  for (const char* id : {"yard-3", "yard-4"})
    fixture.upstreams.at(id)->Report("draining");
  FailuresFor(seconds(4));
  CHECK(fixture.EveryKeyIsHeld());
  for (int key = 0; key < 65536; key += 4096)
    CheckServed(fixture.SendAndWait(Host(1), "GET", "/lookup/x", key));
  LONGS_EQUAL(before, CountInLogs(silent));
  fixture.CheckRecord();
}

// Owners that were silent for longer than their holds got no grant any more,
// and as all were silent, no other upstream got their keys.
TEST(EntryLongCuts, KeysAreServedSoonAfterAllHostsLostTheirPathsForLong) {
  StartLinkedDeployment(4);
  std::vector<std::string> all;
  for (const auto& [name, host] : fixture.hosts) all.push_back(name);
  for (const UpstreamCut cut : {UpstreamCut::kSilent, UpstreamCut::kRefused}) {
    Cut(all, cut);
    FailuresFor(kLongestHold + seconds(4));
    Cut(all, UpstreamCut::kNone);
    FailuresFor(kNoticeTime);
    CheckServedFor(seconds(2));
    CHECK(fixture.EveryKeyIsHeld());
  }
  fixture.CheckRecord();
}

// As above, with a zone that has no other to give its keys to.
TEST(EntryLongCuts, KeysOfAnOnlyZoneAreServedSoonAfterItsHostLostItsPaths) {
  StartOnlyZone();
  for (const UpstreamCut cut : {UpstreamCut::kSilent, UpstreamCut::kRefused}) {
    Cut({"host-1"}, cut);
    FailuresFor(kLongestHold + seconds(4));
    Cut({"host-1"}, UpstreamCut::kNone);
    FailuresFor(kNoticeTime);
    CheckServedFor(seconds(2));
    CHECK(fixture.EveryKeyIsHeld());
  }
  fixture.CheckRecord();
}

// As above, while the upstreams accept connections and do not respond.
TEST(EntryLongCuts, KeysOfAnOnlyZoneAreServedSoonAfterItsOwnersWereSilent) {
  StartOnlyZone();
  const auto set_silent = [this](bool silent) {
    for (auto& [id, upstream] : fixture.upstreams)
      upstream->faults().ignore_grants = silent;
  };
  set_silent(true);
  FailuresFor(kLongestHold + seconds(4));
  set_silent(false);
  FailuresFor(kNoticeTime);
  CheckServedFor(seconds(2));
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

// What was passed on may have run, whatever becomes of the other host.
TEST(EntryPaths, ARelayedRequestWhoseHelperDiesIsNotSentAgain) {
  StartLinkedDeployment(2);
  Cut({"host-1"}, UpstreamCut::kRefused);
  FailuresFor(kNoticeTime);
  for (auto& [id, upstream] : fixture.upstreams)
    upstream->SetWork(milliseconds(600));
  const auto response = fixture.Start(Host(1), "POST", "/charge/once", -1);
  const std::string id = fixture.last_request_id;
  CHECK(fixture.RunUntil([&] { return RunCount(id) > 0; }, seconds(1)));
  Host(2).process.Kill();
  fixture.RunUntil([&] { return response->status != 0; }, seconds(3));
  LONGS_EQUAL(502, response->status);
  fixture.RunFor(seconds(1));
  LONGS_EQUAL(1, RunCount(id));
}

TEST(EntryPaths, ACallersCloseReachesTheUpstreamOfARelayedRequest) {
  StartLinkedDeployment(2);
  Cut({"host-1"}, UpstreamCut::kRefused);
  FailuresFor(kNoticeTime);
  for (auto& [id, upstream] : fixture.upstreams) upstream->SetWork(seconds(2));
  fixture.Start(Host(1), "GET", "/price/left", -1);
  const auto running = [this] {
    int count = 0;
    for (const auto& [id, upstream] : fixture.upstreams)
      count += upstream->running();
    return count;
  };
  CHECK(fixture.RunUntil([&] { return running() == 1; }, seconds(1)));
  fixture.AbortLastRequest();
  CHECK(fixture.RunUntil([&] { return running() == 0; }, milliseconds(500)));
}

// Requests that were in flight when the paths were lost counted as dangerous.
TEST(EntryPaths, ALostPathDoesNotCountAsACrashOfTheUpstream) {
  StartLinkedDeployment(4);
  for (auto& [id, upstream] : fixture.upstreams)
    upstream->SetWork(milliseconds(500));
  const std::string host = FollowerOf("north");
  for (int i = 0; i < 8; ++i)
    fixture.Start(*fixture.hosts.at(host), "GET", "/lookup/same", 8192 * i);
  fixture.RunFor(milliseconds(200));
  Cut({host}, UpstreamCut::kRefused);
  fixture.RunFor(seconds(2));
  Cut({host}, UpstreamCut::kNone);
  FailuresFor(seconds(3));
  CHECK(CountInLogs("request.failed-at-upstream") > 0);
  LONGS_EQUAL(0, CountInLogs("suspect.noted"));
}

}  // namespace
}  // namespace mimosadeal
