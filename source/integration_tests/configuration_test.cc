// Patches of the configuration. Of several concurrent patches against one
// version only one is applied, no patch is applied twice, and neither a host
// nor the store reverts to an older version.

#include <CppUTest/TestHarness.h>

#include <csignal>

#include "test_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Json = nlohmann::json;

Json TargetPatch(int target_ms) {
  return {{"services",
           {{"yard", {{"ranks", {{"holds", {{"target_ms", target_ms}}}}}}}}}};
}

ClientRequest MakePatch(uint64_t version, const std::string& id,
                        const Json& patch) {
  ClientRequest request{
      "PATCH", "/configuration", {}, patch.dump(), seconds(10)};
  request.headers = {{"if-match", "\"" + std::to_string(version) + "\""},
                     {"mimosa-patch-id", id}};
  return request;
}

uint64_t VersionAt(TestFixture& fixture, const EntryHost& host) {
  const Json status = fixture.deployment().Status(fixture.client(), host);
  return status.is_object() ? status["configuration_version"].get<uint64_t>()
                            : 0;
}

bool AllHave(TestFixture& fixture, uint64_t version) {
  for (const EntryHost& host : fixture.deployment().hosts()) {
    if (VersionAt(fixture, host) < version) return false;
  }
  return true;
}

TEST_GROUP(Configuration){};

// Guards against lost updates: hosts that patch the same version concurrently
// must not overwrite each other's patches.
TEST(Configuration, OnlyOneOfSeveralConcurrentPatchesIsApplied) {
  TestFixture fixture(YardLayout({"a"}, 3, 1));
  fixture.Start();
  const auto& hosts = fixture.deployment().hosts();
  uint64_t version = 1;
  for (int round = 0; round < 10; ++round) {
    int applied = 0;
    int stale = 0;
    for (size_t i = 0; i < hosts.size(); ++i) {
      const std::string id =
          "race-" + std::to_string(round) + "-" + std::to_string(i);
      fixture.client().Start(
          hosts[i].operators,
          MakePatch(version, id,
                    TargetPatch(1000 + round * 10 + static_cast<int>(i))),
          [&, version](const ClientResponse& response) {
            if (response.status == 200) ++applied;
            if (response.status != 412) return;
            const Json body = Json::parse(response.body, nullptr, false);
            // The response to a rejected patch contains the present version
            // and its configuration.
            if (body["version"] == version + 1 &&
                body["configuration"].is_object())
              ++stale;
          });
    }
    fixture.client().RunUntil([&] { return fixture.client().in_flight() == 0; },
                              seconds(10));
    LONGS_EQUAL(1, applied);
    LONGS_EQUAL(2, stale);
    ++version;
  }
}

TEST(Configuration, AnInvalidPatchChangesNothingAndListsEachFault) {
  TestFixture fixture(YardLayout({"a"}, 2, 1));
  fixture.Start();
  const EntryHost& host = fixture.deployment().hosts()[0];
  const Json patch = {
      {"services",
       {{"yard", {{"slots", 0}, {"shards", 128}, {"colour", "red"}}}}}};
  const ClientResponse response =
      fixture.client().Call(host.operators, MakePatch(1, "bad", patch));
  LONGS_EQUAL(422, response.status);
  const Json body = Json::parse(response.body, nullptr, false);
  LONGS_EQUAL(2, body["faults"].size());
  LONGS_EQUAL(1, VersionAt(fixture, host));
}

// Guards against a patch that is applied twice or reported as failed, because
// the store's reply or the response to the operator was lost.
TEST(Configuration, APatchWhoseReplyWasLostIsAppliedOnce) {
  TestFixture fixture(YardLayout({"a"}, 3, 1));
  fixture.Start();
  const auto& hosts = fixture.deployment().hosts();
  fixture.deployment().SetPlatformFaults(fixture.client(),
                                         {{"lose_replies", true}});
  // The host reads the store again and finds its patch there.
  const ClientResponse response = fixture.client().Call(
      hosts[0].operators, MakePatch(1, "lost", TargetPatch(1234)));
  fixture.deployment().SetPlatformFaults(fixture.client(), Json::object());
  LONGS_EQUAL(200, response.status);
  LONGS_EQUAL(2, Json::parse(response.body)["version"].get<int>());
  // An operator that did not get the response repeats the patch at another
  // host.
  const ClientResponse again = fixture.client().Call(
      hosts[1].operators, MakePatch(1, "lost", TargetPatch(1234)));
  LONGS_EQUAL(200, again.status);
  CHECK_TRUE(Json::parse(again.body)["already_applied"].get<bool>());
  LONGS_EQUAL(2, Json::parse(again.body)["version"].get<int>());
}

// Guards against a return to an old configuration after the store was restored
// from a backup.
TEST(Configuration, APatchReachesAllHostsAndARestoredStoreDoesNotRevertIt) {
  TestFixture fixture(YardLayout({"a", "b"}, 3, 1));
  fixture.Start();
  const std::string name = "/admin/objects/configuration";
  const std::string old = fixture.client()
                              .Call(fixture.deployment().platform_address(),
                                    {"GET", name, {}, "", seconds(2)})
                              .body;
  const EntryHost& host = fixture.deployment().hosts()[0];
  LONGS_EQUAL(200,
              fixture.client()
                  .Call(host.operators, MakePatch(1, "next", TargetPatch(1234)))
                  .status);
  CHECK_TRUE(fixture.client().RunUntil([&] { return AllHave(fixture, 2); },
                                       seconds(10)));
  fixture.client().Call(fixture.deployment().platform_address(),
                        {"POST", name, {}, old, seconds(2)});
  // A host that reads the old version from the restored store at its start must
  // not put it in force either.
  EntryHost& restarted = fixture.deployment().hosts()[1];
  restarted.process.Kill();
  fixture.deployment().StartHost(restarted);
  CHECK_TRUE(fixture.client().RunUntil([&] { return AllHave(fixture, 2); },
                                       seconds(10)));
  const bool repaired = fixture.client().RunUntil(
      [&] {
        const ClientResponse stored =
            fixture.client().Call(fixture.deployment().platform_address(),
                                  {"GET", name, {}, "", seconds(2)});
        return Json::parse(stored.body, nullptr, false)["version"] == 2;
      },
      seconds(10));
  CHECK_TRUE(repaired);
}

// Guards against hosts that keep an old configuration: one that was suspended
// while the patch was applied, and one that starts while the store is down and
// can get the configuration only from its group.
TEST(Configuration, SuspendedAndRestartedHostsGetTheNewestConfiguration) {
  TestFixture fixture(YardLayout({"a"}, 4, 1));
  fixture.Start();
  auto& hosts = fixture.deployment().hosts();
  const std::string controller =
      fixture.deployment().ControllerOf(fixture.client(), "a");
  EntryHost* frozen = nullptr;
  EntryHost* restarted = nullptr;
  for (EntryHost& host : hosts) {
    if (host.id == controller) continue;
    if (frozen == nullptr) {
      frozen = &host;
    } else {
      restarted = &host;
    }
  }
  frozen->process.Signal(SIGSTOP);
  LONGS_EQUAL(200, fixture.client()
                       .Call(fixture.deployment().Host(controller).operators,
                             MakePatch(1, "next", TargetPatch(1234)))
                       .status);
  frozen->process.Signal(SIGCONT);
  CHECK_TRUE(fixture.client().RunUntil([&] { return AllHave(fixture, 2); },
                                       seconds(10)));
  fixture.deployment().SetPlatformFaults(fixture.client(), {{"refuse", true}});
  restarted->process.Kill();
  fixture.client().RunFor(milliseconds(200));
  fixture.deployment().StartHost(*restarted);
  const bool caught_up = fixture.client().RunUntil(
      [&] { return VersionAt(fixture, *restarted) == 2; }, seconds(10));
  CHECK_TRUE(caught_up);
}

}  // namespace
}  // namespace mimosadeal
