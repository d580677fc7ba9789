// Upstreams and hosts that leave: a leaving upstream gets no new requests, and
// a planned stop of an entry host aborts no request.

#include <CppUTest/TestHarness.h>

#include <csignal>

#include "test_fixture.h"
#include "traffic.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeed = 7;
// A leaving upstream must receive no new requests after a few seconds.
constexpr Duration kLeavingLimit = seconds(2);

int CountStartsAfter(TestFixture& fixture, const std::string& upstream,
                     MonotonicTime time) {
  int start_count = 0;
  for (const Execution& execution : fixture.Executions()) {
    if (execution.upstream == upstream &&
        execution.started_ns > time.time_since_epoch().count())
      ++start_count;
  }
  return start_count;
}

int CountUnfinishedExecutions(TestFixture& fixture) {
  int unfinished = 0;
  for (const Execution& execution : fixture.Executions()) {
    if (execution.end != Execution::End::kDone) ++unfinished;
  }
  return unfinished;
}

// Few keys and some long requests, so that requests are in progress on the
// shards that move.
TrafficOptions DenseTraffic() {
  TrafficOptions options;
  options.interval = milliseconds(10);
  options.keys = 12;
  options.work_us = 20000;
  options.long_work = 0.05;
  return options;
}

TEST_GROUP(Leaving){};

// Guards against requests to an upstream that an operator drains, and against
// aborting the requests that it runs already.
TEST(Leaving, ADrainedUpstreamGetsNoNewRequestsAndFinishesOpenOnes) {
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
  LONGS_EQUAL(0, CountStartsAfter(fixture, "yard-a1", limit));
  LONGS_EQUAL(0, CountUnfinishedExecutions(fixture));
  traffic.Check();
}

// As above, for an upstream that the platform lists as leaving.
TEST(Leaving, AnUpstreamThatThePlatformListsAsLeavingGetsNoNewRequests) {
  TestFixture fixture(YardLayout({"a"}, 3, 3));
  fixture.Start();
  Traffic traffic(fixture, DenseTraffic(), kSeed);
  traffic.RunFor(seconds(1));
  fixture.deployment().Upstream("yard-a2").state = HostState::kLeaving;
  fixture.deployment().PublishHosts(fixture.client());
  const MonotonicTime limit = BootClock::now() + kLeavingLimit;
  traffic.RunFor(seconds(4));
  traffic.StopAndWait();
  LONGS_EQUAL(0, CountStartsAfter(fixture, "yard-a2", limit));
  LONGS_EQUAL(0, CountUnfinishedExecutions(fixture));
  traffic.Check();
}

// Guards against requests that fail or are aborted during a planned stop. Every
// host stops in turn, so that a follower, the controller and the standby are
// all covered.
TEST(Leaving, APlannedStopOfAnyHostAbortsNoRequest) {
  TestFixture fixture(YardLayout({"a"}, 4, 3));
  fixture.Start();
  const auto& hosts = fixture.deployment().hosts();
  int failed = 0;
  int sent = 0;
  std::string failure;
  size_t leaving = hosts.size();
  TimerService& timers = fixture.client().loop().timers();
  const TimerId timer = timers.Every(milliseconds(4), [&] {
    // As a load balancer does, sends no new requests to a host that is not
    // ready.
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
  LONGS_EQUAL(0, CountUnfinishedExecutions(fixture));
  fixture.CheckRecords();
}

}  // namespace
}  // namespace mimosadeal
