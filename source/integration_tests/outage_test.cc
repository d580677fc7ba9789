// Long outages of the platform's store, during which an upstream or an entry
// host is lost.

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

// Makes the store fail with `faults`, waits until the controller has detected
// the outage, runs `loss` and then traffic, and ends the outage. All keys must
// be served before the loss and after the outage, and during the outage as well
// if `served_meanwhile`.
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

const nlohmann::json kStoreRefuses = {{"refuse", true}};
const nlohmann::json kStoreSilent = {{"silent", true}};
const nlohmann::json kStoreSlow = {{"delay_ms", 600}};

void LoseNothing(TestFixture&) {}

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
  RunOutage(kStoreRefuses, LoseNothing, true);
}

TEST(Outage, EverythingIsServedWhileTheStoreIsSilent) {
  RunOutage(kStoreSilent, LoseNothing, true);
}

TEST(Outage, EverythingIsServedWhileTheStoreIsSlow) {
  RunOutage(kStoreSlow, KillUpstream, true);
}

TEST(Outage, ALostUpstreamIsReplacedWhileTheStoreIsDown) {
  RunOutage(kStoreRefuses, KillUpstream, true);
}

TEST(Outage, ALostEntryHostIsReplacedWhileTheStoreIsDown) {
  RunOutage(kStoreSilent, KillFollower, true);
}

// The standby renews leases but moves nothing, so keys that the lost controller
// dispatched are not served during the outage. All must be served after it.
TEST(Outage, AGroupWithoutItsControllerRecoversAfterTheOutage) {
  RunOutage(kStoreRefuses, KillController, false);
}

}  // namespace
}  // namespace mimosadeal
