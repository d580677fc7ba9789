// Servers and hosts that leave: drained upstreams get no new work, and a
// planned stop of an entry host cuts off no request.

#include <CppUTest/TestHarness.h>

#include <csignal>

#include "test_fixture.h"
#include "traffic.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeed = 7;
// The brief: a server that is leaving receives no new work after a few seconds.
constexpr Duration kLeavingLimit = seconds(2);

int StartsAfter(TestFixture& fixture, const std::string& upstream,
                MonotonicTime time) {
  int starts = 0;
  for (const Execution& execution : fixture.Executions()) {
    if (execution.upstream == upstream &&
        execution.started_ns > time.time_since_epoch().count())
      ++starts;
  }
  return starts;
}

int CutOff(TestFixture& fixture) {
  int cut_off = 0;
  for (const Execution& execution : fixture.Executions()) {
    if (execution.end != Execution::End::kDone) ++cut_off;
  }
  return cut_off;
}

// Few keys and some long work, so that work is in progress on what moves.
TrafficOptions DenseTraffic() {
  TrafficOptions options;
  options.interval = milliseconds(10);
  options.keys = 12;
  options.work_us = 20000;
  options.long_work = 0.05;
  return options;
}

TEST_GROUP(Leaving){};

TEST(Leaving, ADrainedUpstreamGetsNoNewWorkAndKeepsWhatItHas) {
  TestFixture fixture(YardLayout({"a"}, 3, 3));
  fixture.Start();
  Traffic traffic(fixture, DenseTraffic(), kSeed);
  traffic.RunFor(seconds(1));
  const EntryHost& host = fixture.deployment().hosts()[0];
  ClientRequest patch{"PATCH",
                      "/configuration",
                      {},
                      R"({"drains":{"yard-a1":true}})",
                      seconds(5)};
  patch.headers = {{"if-match", "1"}, {"mimosa-patch-id", "drain"}};
  LONGS_EQUAL(200, fixture.client().Call(host.operators, patch).status);
  const MonotonicTime limit = BootClock::now() + kLeavingLimit;
  traffic.RunFor(seconds(4));
  traffic.StopAndWait();
  LONGS_EQUAL(0, StartsAfter(fixture, "yard-a1", limit));
  LONGS_EQUAL(0, CutOff(fixture));
  traffic.Check();
}

TEST(Leaving, AnUpstreamOnThePlatformsLeavingListGetsNoNewWork) {
  TestFixture fixture(YardLayout({"a"}, 3, 3));
  fixture.Start();
  Traffic traffic(fixture, DenseTraffic(), kSeed);
  traffic.RunFor(seconds(1));
  fixture.deployment().Upstream("yard-a2").state = HostState::kLeaving;
  fixture.deployment().PublishHosts(fixture.client());
  const MonotonicTime limit = BootClock::now() + kLeavingLimit;
  traffic.RunFor(seconds(4));
  traffic.StopAndWait();
  LONGS_EQUAL(0, StartsAfter(fixture, "yard-a2", limit));
  LONGS_EQUAL(0, CutOff(fixture));
  traffic.Check();
}

// Each host in turn: a follower, the controller and the standby are all among
// them.
TEST(Leaving, APlannedStopOfEachHostCutsOffNoRequest) {
  TestFixture fixture(YardLayout({"a"}, 4, 3));
  fixture.Start();
  const auto& hosts = fixture.deployment().hosts();
  int failed = 0;
  int sent = 0;
  std::string failure;
  size_t leaving = hosts.size();
  TimerService& timers = fixture.client().loop().timers();
  const TimerId timer = timers.Every(milliseconds(4), [&] {
    // The balancer sends nothing new to a host that is not ready.
    const size_t to = static_cast<size_t>(sent) % hosts.size();
    ++sent;
    if (to == leaving) return;
    const std::string id = "stop-" + std::to_string(sent);
    fixture.client().Start(
        hosts[to].callers,
        MakeHold(std::to_string(sent % 50), id, "?work_us=20000"),
        [&, id](const ClientResponse& response) {
          if (response.status == 200 && response.body.ends_with(id)) return;
          ++failed;
          failure =
              id + ": " + std::to_string(response.status) + " " + response.body;
        });
  });
  fixture.client().RunFor(milliseconds(500));
  for (size_t i = 0; i < hosts.size(); ++i) {
    EntryHost& host = fixture.deployment().hosts()[i];
    leaving = i;
    host.process.Signal(SIGTERM);
    int exit_code = -1;
    const bool ended = fixture.client().RunUntil(
        [&] { return host.process.TryWait(exit_code); }, seconds(20));
    CHECK_TRUE(ended);
    LONGS_EQUAL(0, exit_code);
    fixture.client().RunFor(seconds(1));
    fixture.deployment().StartHost(host);
    fixture.client().RunFor(seconds(3));
    leaving = hosts.size();
    fixture.client().RunFor(milliseconds(500));
  }
  timers.Cancel(timer);
  fixture.client().RunUntil([&] { return fixture.client().in_flight() == 0; },
                            seconds(10));
  STRCMP_EQUAL("", failure.c_str());
  LONGS_EQUAL(0, failed);
  LONGS_EQUAL(0, CutOff(fixture));
  fixture.CheckRecords();
}

}  // namespace
}  // namespace mimosadeal
