// Availability zones that are partitioned from one another or from the
// platform. Each must continue to serve its own keys.

#include <CppUTest/TestHarness.h>

#include "test_fixture.h"
#include "traffic.h"

namespace mimosadeal {
namespace {

using std::chrono::seconds;

constexpr uint64_t kSeed = 13;

DeploymentLayout ThreeZones() {
  DeploymentLayout layout = YardLayout({"a", "b", "c"}, 2, 2);
  layout.fault_proxy = true;
  return layout;
}

// Partitions `zone` from the other zones, the platform or both, or heals the
// partition if `partitioned` is false.
void SetZonePartition(TestFixture& fixture, const std::string& zone,
                      bool from_zones, bool from_platform, bool partitioned) {
  TestDeployment& deployment = fixture.deployment();
  for (const EntryHost& inside : deployment.hosts()) {
    if (inside.zone != zone) continue;
    if (from_platform)
      deployment.SetPartition(fixture.client(), inside.id, "platform",
                              partitioned);
    if (!from_zones) continue;
    for (const EntryHost& outside : deployment.hosts()) {
      if (outside.zone != zone)
        deployment.SetPartition(fixture.client(), inside.id, outside.id,
                                partitioned);
    }
  }
}

// Returns a key whose home is `zone`.
std::string KeyOfZone(TestFixture& fixture, const std::string& zone) {
  const EntryHost& host = fixture.deployment().hosts()[0];
  for (int key = 0; key < 200; ++key) {
    const ClientResponse response = fixture.client().Call(
        host.operators,
        {"GET", "/owner/yard/" + std::to_string(key), {}, "", seconds(2)});
    if (nlohmann::json::parse(response.body)["zone"] == zone)
      return std::to_string(key);
  }
  FAIL("no key of the zone");
  return {};
}

// Partitions zone "c" while traffic runs, and checks that zone "c" and the
// others serve their own keys. Then heals the partition and checks that keys of
// other zones are served again.
void RunPartition(bool from_zones, bool from_platform) {
  TestFixture fixture(ThreeZones());
  fixture.Start();
  Traffic traffic(fixture, TrafficOptions{}, kSeed);
  traffic.RunFor(seconds(1));
  const std::string key_a = KeyOfZone(fixture, "a");
  const std::string key_b = KeyOfZone(fixture, "b");
  SetZonePartition(fixture, "c", from_zones, from_platform, true);
  const std::string key_c = KeyOfZone(fixture, "c");
  traffic.RunFor(seconds(4));
  const EntryHost& host_a = fixture.deployment().Host("entry-a1");
  const EntryHost& host_c = fixture.deployment().Host("entry-c1");
  LONGS_EQUAL(200, fixture.Lookup(host_a, key_a).status);
  LONGS_EQUAL(200, fixture.Lookup(host_a, key_b).status);
  LONGS_EQUAL(200, fixture.Lookup(host_c, key_c).status);
  SetZonePartition(fixture, "c", from_zones, from_platform, false);
  const bool recovered = fixture.client().RunUntil(
      [&] {
        return fixture.Lookup(host_a, key_c).status == 200 &&
               fixture.Lookup(host_c, key_a).status == 200;
      },
      seconds(20));
  CHECK_TRUE(recovered);
  traffic.RunFor(seconds(1));
  traffic.StopAndWait();
  traffic.Check();
}

TEST_GROUP(Zones){};

TEST(Zones, AZonePartitionedFromTheOthersServesItsOwnKeys) {
  RunPartition(true, false);
}

TEST(Zones, AZonePartitionedFromThePlatformServesItsOwnKeys) {
  RunPartition(false, true);
}

TEST(Zones, AZonePartitionedFromBothServesItsOwnKeys) {
  RunPartition(true, true);
}

}  // namespace
}  // namespace mimosadeal
