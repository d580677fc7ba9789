// The platform's store is down or slow for long, and something else is lost
// meanwhile.

#include <CppUTest/TestHarness.h>

#include <csignal>

#include "test_fixture.h"
#include "traffic.h"

namespace mimosadeal {
namespace {

using std::chrono::seconds;

constexpr uint64_t kSeed = 11;

bool AllServed(TestFixture& fixture) {
  for (const EntryHost& host : fixture.deployment().hosts()) {
    if (!host.process.running()) continue;
    for (int key = 0; key < 20; ++key) {
      if (fixture.Lookup(host, std::to_string(key)).status != 200) return false;
    }
  }
  return true;
}

// Starts an outage, lets the controller see it, runs `loss`, and then traffic.
// The store comes back.
template <typename Loss>
void RunOutage(const nlohmann::json& faults, Loss loss, bool served_meanwhile) {
  TestFixture fixture(YardLayout({"a"}, 4, 3));
  fixture.Start();
  Traffic traffic(fixture, TrafficOptions{}, kSeed);
  traffic.RunFor(seconds(1));
  fixture.deployment().SetPlatformFaults(fixture.client(), faults);
  traffic.RunFor(seconds(5));
  CHECK_TRUE(AllServed(fixture));
  loss(fixture);
  traffic.RunFor(seconds(4));
  if (served_meanwhile) CHECK_TRUE(AllServed(fixture));
  fixture.deployment().SetPlatformFaults(fixture.client(),
                                         nlohmann::json::object());
  CHECK_TRUE(fixture.client().RunUntil([&] { return AllServed(fixture); },
                                       seconds(20)));
  traffic.RunFor(seconds(2));
  traffic.StopAndWait();
  traffic.Check();
}

const nlohmann::json kRefuses = {{"refuse", true}};
const nlohmann::json kSilent = {{"silent", true}};
const nlohmann::json kSlow = {{"delay_ms", 600}};

void Nothing(TestFixture&) {}

void KillUpstream(TestFixture& fixture) {
  fixture.deployment().Upstream("yard-a1").process.Kill();
}

void KillController(TestFixture& fixture) {
  TestDeployment& deployment = fixture.deployment();
  deployment.Host(deployment.ControllerOf(fixture.client(), "a"))
      .process.Kill();
}

// A host that is neither controller nor standby.
void KillFollower(TestFixture& fixture) {
  TestDeployment& deployment = fixture.deployment();
  const std::string controller = deployment.ControllerOf(fixture.client(), "a");
  const nlohmann::json status =
      deployment.Status(fixture.client(), deployment.Host(controller));
  const auto standby = status["standby"].get<std::string>();
  for (EntryHost& host : deployment.hosts()) {
    if (host.id == controller || standby.starts_with(host.id + ".")) continue;
    host.process.Kill();
    return;
  }
}

TEST_GROUP(Outage){};

TEST(Outage, EverythingIsServedWhileTheStoreRefuses) {
  RunOutage(kRefuses, Nothing, true);
}

TEST(Outage, EverythingIsServedWhileTheStoreIsSilent) {
  RunOutage(kSilent, Nothing, true);
}

TEST(Outage, EverythingIsServedWhileTheStoreIsSlow) {
  RunOutage(kSlow, KillUpstream, true);
}

TEST(Outage, ALostUpstreamIsReplacedWhileTheStoreIsDown) {
  RunOutage(kRefuses, KillUpstream, true);
}

TEST(Outage, ALostEntryHostIsReplacedWhileTheStoreIsDown) {
  RunOutage(kSilent, KillFollower, true);
}

// The standby renews what stands but moves nothing: what the lost host
// dispatched waits.
TEST(Outage, ALostControllersGroupGoesOnAndRecoversWithTheStore) {
  RunOutage(kRefuses, KillController, false);
}

}  // namespace
}  // namespace mimosadeal
