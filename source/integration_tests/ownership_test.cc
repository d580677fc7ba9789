// One owner for each key, and non-idempotent work at most once, while processes
// die, freeze and are cut off from one another. Checked from the upstreams' own
// records.

#include <CppUTest/TestHarness.h>

#include <csignal>

#include "test_fixture.h"
#include "traffic.h"

namespace mimosadeal {
namespace {

using std::chrono::seconds;

constexpr uint64_t kSeed = 20261204;
// Longer than any lease of the tests' settings.
constexpr Duration kPastLeases = seconds(3);

// Returns the dispatcher's host id of an upstream, by the table of any host.
std::string DispatcherOf(TestFixture& fixture, const std::string& upstream_id) {
  for (const EntryHost& host : fixture.deployment().hosts()) {
    if (!host.process.running()) continue;
    const nlohmann::json status =
        fixture.deployment().Status(fixture.client(), host);
    if (!status.is_object()) continue;
    for (const auto& upstream : status["upstreams"]) {
      if (upstream["id"] != upstream_id) continue;
      const auto process = upstream["dispatcher"].get<std::string>();
      return process.substr(0, process.rfind('.'));
    }
  }
  return {};
}

// A host of the zone that is not the controller.
std::string FollowerOf(TestFixture& fixture) {
  const std::string controller =
      fixture.deployment().ControllerOf(fixture.client(), "a");
  for (const EntryHost& host : fixture.deployment().hosts()) {
    if (host.id != controller) return host.id;
  }
  return {};
}

// Few keys and some long work: whatever breaks, work on the shards concerned is
// in progress, and more of it comes at once.
TrafficOptions DenseTraffic() {
  TrafficOptions options;
  options.interval = std::chrono::milliseconds(10);
  options.keys = 12;
  options.work_us = 20000;
  options.long_work = 0.05;
  return options;
}

// Runs traffic, then `fault`, then traffic for a while, then `repair`, then
// traffic again, and checks.
template <typename Fault, typename Repair>
void RunWithFault(DeploymentLayout layout, Fault fault, Repair repair) {
  TestFixture fixture(std::move(layout));
  fixture.Start();
  Traffic traffic(fixture, DenseTraffic(), kSeed);
  traffic.RunFor(seconds(1));
  fault(fixture);
  traffic.RunFor(kPastLeases);
  repair(fixture);
  traffic.RunFor(seconds(2));
  const int before = traffic.answered();
  traffic.RunFor(seconds(1));
  traffic.StopAndWait();
  // Everything is served again at the end.
  CHECK_TRUE(traffic.answered() > before);
  traffic.Check();
}

DeploymentLayout Layout() { return YardLayout({"a"}, 4, 3); }

DeploymentLayout LayoutWithFaultProxy() {
  DeploymentLayout layout = Layout();
  layout.fault_proxy = true;
  return layout;
}

void Nothing(TestFixture&) {}

TEST_GROUP(Ownership){};

TEST(Ownership, HoldsWhenAnUpstreamIsKilled) {
  RunWithFault(
      Layout(),
      [](TestFixture& fixture) {
        fixture.deployment().Upstream("yard-a1").process.Kill();
      },
      [](TestFixture& fixture) {
        UpstreamHost& upstream = fixture.deployment().Upstream("yard-a1");
        fixture.deployment().StartUpstream(upstream);
      });
}

TEST(Ownership, HoldsWhenAnUpstreamFreezesPastItsGrant) {
  RunWithFault(
      Layout(),
      [](TestFixture& fixture) {
        fixture.deployment().Upstream("yard-a1").process.Signal(SIGSTOP);
      },
      [](TestFixture& fixture) {
        fixture.deployment().Upstream("yard-a1").process.Signal(SIGCONT);
      });
}

TEST(Ownership, HoldsWhenADispatcherIsKilled) {
  RunWithFault(
      Layout(),
      [](TestFixture& fixture) {
        fixture.deployment()
            .Host(DispatcherOf(fixture, "yard-a1"))
            .process.Kill();
      },
      Nothing);
}

TEST(Ownership, HoldsWhenADispatcherFreezesPastItsLease) {
  std::string frozen;
  RunWithFault(
      Layout(),
      [&](TestFixture& fixture) {
        frozen = DispatcherOf(fixture, "yard-a1");
        fixture.deployment().Host(frozen).process.Signal(SIGSTOP);
      },
      [&](TestFixture& fixture) {
        fixture.deployment().Host(frozen).process.Signal(SIGCONT);
      });
}

TEST(Ownership, HoldsWhenTheControllerIsKilled) {
  RunWithFault(
      Layout(),
      [](TestFixture& fixture) {
        TestDeployment& deployment = fixture.deployment();
        deployment.Host(deployment.ControllerOf(fixture.client(), "a"))
            .process.Kill();
      },
      Nothing);
}

TEST(Ownership, HoldsWhenTheControllerFreezesPastItsTerm) {
  std::string frozen;
  RunWithFault(
      Layout(),
      [&](TestFixture& fixture) {
        frozen = fixture.deployment().ControllerOf(fixture.client(), "a");
        fixture.deployment().Host(frozen).process.Signal(SIGSTOP);
      },
      [&](TestFixture& fixture) {
        fixture.deployment().Host(frozen).process.Signal(SIGCONT);
      });
}

TEST(Ownership, HoldsWhenAControllerAndAnUpstreamAreKilledAtOnce) {
  RunWithFault(
      Layout(),
      [](TestFixture& fixture) {
        TestDeployment& deployment = fixture.deployment();
        const std::string controller =
            deployment.ControllerOf(fixture.client(), "a");
        deployment.Upstream("yard-a2").process.Kill();
        deployment.Host(controller).process.Kill();
      },
      Nothing);
}

TEST(Ownership, HoldsWhenADispatcherIsCutFromItsUpstream) {
  std::string dispatcher;
  RunWithFault(
      LayoutWithFaultProxy(),
      [&](TestFixture& fixture) {
        dispatcher = DispatcherOf(fixture, "yard-a1");
        fixture.deployment().SetPartition(fixture.client(), dispatcher,
                                          "yard-a1", true);
      },
      [&](TestFixture& fixture) {
        fixture.deployment().SetPartition(fixture.client(), dispatcher,
                                          "yard-a1", false);
      });
}

// The request arrives and its answer does not: the case in which a sender does
// not know what ran.
TEST(Ownership, HoldsWhenOnlyAnUpstreamsAnswersAreCut) {
  std::string dispatcher;
  RunWithFault(
      LayoutWithFaultProxy(),
      [&](TestFixture& fixture) {
        dispatcher = DispatcherOf(fixture, "yard-a1");
        fixture.deployment().SetLinkFaults(fixture.client(), dispatcher,
                                           "yard-a1", {{"cut_backward", true}});
      },
      [&](TestFixture& fixture) {
        fixture.deployment().SetLinkFaults(fixture.client(), dispatcher,
                                           "yard-a1", nlohmann::json::object());
      });
}

TEST(Ownership, HoldsWhenADispatcherIsCutFromAllOtherHostsAndThePlatform) {
  std::string dispatcher;
  const auto cut = [&](TestFixture& fixture, bool on) {
    TestDeployment& deployment = fixture.deployment();
    for (const EntryHost& host : deployment.hosts()) {
      if (host.id != dispatcher)
        deployment.SetPartition(fixture.client(), dispatcher, host.id, on);
    }
    deployment.SetPartition(fixture.client(), dispatcher, "platform", on);
  };
  RunWithFault(
      LayoutWithFaultProxy(),
      [&](TestFixture& fixture) {
        dispatcher = FollowerOf(fixture);
        cut(fixture, true);
      },
      [&](TestFixture& fixture) { cut(fixture, false); });
}

TEST(Ownership, HoldsWhenTheControllerIsCutFromAllOtherHostsAndThePlatform) {
  std::string controller;
  const auto cut = [&](TestFixture& fixture, bool on) {
    TestDeployment& deployment = fixture.deployment();
    for (const EntryHost& host : deployment.hosts()) {
      if (host.id != controller)
        deployment.SetPartition(fixture.client(), controller, host.id, on);
    }
    deployment.SetPartition(fixture.client(), controller, "platform", on);
  };
  RunWithFault(
      LayoutWithFaultProxy(),
      [&](TestFixture& fixture) {
        controller = fixture.deployment().ControllerOf(fixture.client(), "a");
        cut(fixture, true);
      },
      [&](TestFixture& fixture) { cut(fixture, false); });
}

// What the controller sends is lost, while it still hears everyone.
TEST(Ownership, HoldsWhenTheControllerIsHeardByNobody) {
  std::string controller;
  const auto cut = [&](TestFixture& fixture, bool on) {
    TestDeployment& deployment = fixture.deployment();
    for (const EntryHost& host : deployment.hosts()) {
      if (host.id == controller) continue;
      deployment.SetLinkFaults(fixture.client(), controller, host.id,
                               {{"cut_forward", on}});
    }
  };
  RunWithFault(
      LayoutWithFaultProxy(),
      [&](TestFixture& fixture) {
        controller = fixture.deployment().ControllerOf(fixture.client(), "a");
        cut(fixture, true);
      },
      [&](TestFixture& fixture) { cut(fixture, false); });
}

TEST(Ownership, HoldsWhenDatagramsAreLostDoubledAndReordered) {
  const auto set = [](TestFixture& fixture, const nlohmann::json& faults) {
    TestDeployment& deployment = fixture.deployment();
    for (const EntryHost& from : deployment.hosts()) {
      for (const EntryHost& to : deployment.hosts()) {
        if (from.id != to.id)
          deployment.SetLinkFaults(fixture.client(), from.id, to.id, faults);
      }
    }
  };
  RunWithFault(
      LayoutWithFaultProxy(),
      [&](TestFixture& fixture) {
        set(fixture, {{"datagram_loss", 0.3},
                      {"datagram_duplication", 0.3},
                      {"datagram_reorder_ms", 200}});
        fixture.deployment().Upstream("yard-a1").process.Kill();
      },
      [&](TestFixture& fixture) { set(fixture, nlohmann::json::object()); });
}

// Before it could change the members that its record names.
TEST(Ownership, HoldsWhenTheFirstControllerIsKilledRightAfterTheStart) {
  TestFixture fixture(Layout());
  fixture.Start();
  TestDeployment& deployment = fixture.deployment();
  const std::string controller = deployment.ControllerOf(fixture.client(), "a");
  deployment.Host(controller).process.Kill();
  const bool served = fixture.client().RunUntil(
      [&] {
        for (const EntryHost& host : deployment.hosts()) {
          if (!host.process.running()) continue;
          for (int key = 0; key < 20; ++key) {
            if (fixture.Lookup(host, std::to_string(key)).status != 200)
              return false;
          }
        }
        return true;
      },
      seconds(15));
  CHECK_TRUE(served);
  fixture.CheckRecords();
}

}  // namespace
}  // namespace mimosadeal
