// Tests that each key has at most one owner and that non-idempotent requests
// run at most once, while processes crash, freeze and are partitioned. Checked
// from the records that the upstreams keep of the requests that they ran.

#include <CppUTest/TestHarness.h>

#include <csignal>

#include "test_fixture.h"
#include "traffic.h"

namespace mimosadeal {
namespace {

using std::chrono::seconds;

constexpr uint64_t kSeed = 20261204;
// Longer than any lease in the tests' settings.
constexpr Duration kLongerThanLeases = seconds(3);

// Returns the host id of the upstream's dispatcher as reported by any running
// host, or an empty string.
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

// Returns the id of a host that is not the controller.
std::string FollowerOf(TestFixture& fixture) {
  const std::string controller =
      fixture.deployment().ControllerOf(fixture.client(), "a");
  for (const EntryHost& host : fixture.deployment().hosts()) {
    if (host.id != controller) return host.id;
  }
  return {};
}

// Few keys and some long requests, so that requests for the affected shards are
// running when a fault occurs, and more arrive at once.
TrafficOptions DenseTraffic() {
  TrafficOptions options;
  options.interval = std::chrono::milliseconds(10);
  options.keys = 12;
  options.work_us = 20000;
  options.long_work = 0.05;
  return options;
}

// Runs traffic, applies `fault`, runs traffic for longer than the leases last,
// applies `repair`, runs traffic again, and checks the records.
template <typename Fault, typename Repair>
void RunWithFault(DeploymentLayout layout, Fault fault, Repair repair) {
  TestFixture fixture(std::move(layout));
  fixture.Start();
  Traffic traffic(fixture, DenseTraffic(), kSeed);
  traffic.RunFor(seconds(1));
  fault(fixture);
  traffic.RunFor(kLongerThanLeases);
  repair(fixture);
  traffic.RunFor(seconds(2));
  const int answered_before = traffic.answered();
  traffic.RunFor(seconds(1));
  traffic.StopAndWait();
  // Requests are served again at the end.
  CHECK_TRUE(traffic.answered() > answered_before);
  traffic.Check();
}

DeploymentLayout Layout() { return YardLayout({"a"}, 4, 3); }

DeploymentLayout LayoutWithFaultProxy() {
  DeploymentLayout layout = Layout();
  layout.fault_proxy = true;
  return layout;
}

void NoRepair(TestFixture&) {}

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
      NoRepair);
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
      NoRepair);
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
      NoRepair);
}

TEST(Ownership, HoldsWhenADispatcherIsPartitionedFromItsUpstream) {
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

// Requests arrive and their responses are lost, so the dispatcher does not know
// whether a request ran.
TEST(Ownership, HoldsWhenOnlyAnUpstreamsResponsesAreLost) {
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

TEST(Ownership, HoldsWhenADispatcherIsPartitionedFromAllHostsAndThePlatform) {
  std::string dispatcher;
  const auto set_partition = [&](TestFixture& fixture, bool on) {
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
        set_partition(fixture, true);
      },
      [&](TestFixture& fixture) { set_partition(fixture, false); });
}

TEST(Ownership, HoldsWhenTheControllerIsPartitionedFromAllHostsAndThePlatform) {
  std::string controller;
  const auto set_partition = [&](TestFixture& fixture, bool on) {
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
        set_partition(fixture, true);
      },
      [&](TestFixture& fixture) { set_partition(fixture, false); });
}

// The controller still receives the messages of all other hosts.
TEST(Ownership, HoldsWhenAllMessagesOfTheControllerAreLost) {
  std::string controller;
  const auto set_partition = [&](TestFixture& fixture, bool on) {
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
        set_partition(fixture, true);
      },
      [&](TestFixture& fixture) { set_partition(fixture, false); });
}

TEST(Ownership, HoldsWhenDatagramsAreLostDuplicatedAndReordered) {
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

// Guards against a group without a controller. The first controller stops
// before it can change the members in its control record. If that record named
// only the controller, no other host could take over.
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
