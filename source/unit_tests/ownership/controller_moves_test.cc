// Tests of the controller's moves of shards and upstreams, and of the
// conditions that it waits for. They guard against two owners of a shard or two
// dispatchers of an upstream at a time.
#include "ownership/controller_moves.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "configuration/configuration_parser.h"
#include "ownership/controller_leases.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(ControllerMoves) {
  ControllerState state;
  Configuration configuration;
  std::vector<PlatformHost> platform;
  MonotonicTime now{std::chrono::seconds(100)};

  void setup() override {
    state.self = "e1.x";
    state.zone = "a";
    state.term = 1;
    state.members = {"e1", "e2"};
    state.timing.lease_ttl = milliseconds(450);
    state.timing.promise_ttl = milliseconds(600);
    configuration =
        ParseConfiguration(
            nlohmann::json::parse(
                R"({"services": {"yard": {"zones": ["a"], "shards": 8,
                          "default_rank": "r", "ranks": {"r": {}}}}})"),
            1)
            .configuration;
    for (const char* id : {"u1", "u2"}) {
      platform.push_back({id, HostKind::kUpstream, HostState::kLive, "a", "",
                          "yard", "127.0.0.1:1"});
    }
    AdoptTable(state, OwnershipTable{});
    state.stored = state.table.version;
  }

  // Sends a lease request of a host that has the present table and reports its
  // upstreams with the given health. `applied` tells whether the table is in
  // force at the upstreams.
  void Renew(const std::string& process,
             UpstreamHealth health = UpstreamHealth::kHealthy,
             bool applied = true) {
    LeaseRequest request;
    request.host = process;
    request.address = process;
    request.term = 1;
    request.sent_at_ns = now.time_since_epoch().count();
    request.controller_echo_ns = now.time_since_epoch().count();
    request.table = state.table.version;
    request.outage_acknowledged = state.outage && process == state.standby;
    for (const TableUpstream& upstream : state.table.upstreams) {
      const bool own =
          upstream.dispatcher == process ||
          (upstream.dispatcher.empty() && upstream.last_dispatcher == process);
      if (!own) continue;
      const TableVersion version =
          applied ? state.table.version : TableVersion{};
      request.upstreams.push_back(
          {upstream.id, version, static_cast<uint8_t>(health), 0});
    }
    HandleLeaseRequest(state, request, now);
  }

  // Runs passes until the table is stable, while the store is reachable.
  void RunUntilStable() {
    for (int i = 0; i < 20; ++i) {
      Renew("e1.x");
      Renew("e2.x");
      AdvanceTable(state, {platform, configuration}, now);
      state.stored = state.table.version;
      now += milliseconds(50);
    }
  }

  size_t OwnedBy(const std::string& id) {
    return OwnedShards(state.table, *FindUpstream(state.table, id)).Count();
  }
};

TEST(ControllerMoves, GivesEveryShardAnOwnerAndEveryUpstreamADispatcher) {
  RunUntilStable();
  LONGS_EQUAL(4, OwnedBy("u1"));
  LONGS_EQUAL(4, OwnedBy("u2"));
  CHECK_FALSE(FindUpstream(state.table, "u1")->dispatcher.empty());
  CHECK_TRUE(FindUpstream(state.table, "u1")->dispatcher !=
             FindUpstream(state.table, "u2")->dispatcher);
}

TEST(ControllerMoves, NothingTakesEffectBeforeItIsDurable) {
  Renew("e1.x");
  Renew("e2.x");
  for (int i = 0; i < 5; ++i)
    AdvanceTable(state, {platform, configuration}, now);
  LONGS_EQUAL(0, OwnedBy("u1") + OwnedBy("u2"));
  // The first version sets the targets. They become owners only after it is
  // stored.
  state.stored = state.table.version;
  AdvanceTable(state, {platform, configuration}, now);
  LONGS_EQUAL(8, OwnedBy("u1") + OwnedBy("u2"));
}

TEST(ControllerMoves, AShardIsGivenOnOnlyWhenItsFormerOwnerHasStopped) {
  RunUntilStable();
  configuration.drained_upstreams.insert("u1");
  Renew("e1.x");
  Renew("e2.x");
  AdvanceTable(state, {platform, configuration}, now);
  state.stored = state.table.version;
  LONGS_EQUAL(0, OwnedBy("u1"));
  for (int i = 0; i < 5; ++i) {
    now += milliseconds(50);
    Renew("e1.x", UpstreamHealth::kHealthy, false);
    Renew("e2.x", UpstreamHealth::kHealthy, false);
    AdvanceTable(state, {platform, configuration}, now);
    state.stored = state.table.version;
    LONGS_EQUAL(4, OwnedBy("u2"));
  }
  RunUntilStable();
  LONGS_EQUAL(8, OwnedBy("u2"));
}

TEST(ControllerMoves, ALostDispatchersUpstreamsMoveOnlyAfterItsLease) {
  RunUntilStable();
  const std::string dispatcher = FindUpstream(state.table, "u1")->dispatcher;
  const std::string other = dispatcher == "e1.x" ? "e2.x" : "e1.x";
  state.members = {HostIdOf(other)};
  const MonotonicTime lost_at = state.hosts.at(dispatcher).lease_until;
  while (now < lost_at + milliseconds(200)) {
    Renew(other);
    AdvanceTable(state, {platform, configuration}, now);
    state.stored = state.table.version;
    const bool moved = FindUpstream(state.table, "u1")->dispatcher == other;
    if (now < lost_at) CHECK_FALSE(moved);
    now += milliseconds(50);
  }
  STRCMP_EQUAL(other.c_str(),
               FindUpstream(state.table, "u1")->dispatcher.c_str());
  // Only the dispatcher changed.
  LONGS_EQUAL(4, OwnedBy("u1"));
}

TEST(ControllerMoves, NothingMovesWithoutPromisesOfAMajority) {
  RunUntilStable();
  state.members = {"e1", "e2", "e3", "e4", "e5"};
  configuration.drained_upstreams.insert("u1");
  CHECK_FALSE(AdvanceTable(state, {platform, configuration}, now));
}

TEST(ControllerMoves, DuringAnOutageOnlyTablesOfTheStandbyTakeEffect) {
  RunUntilStable();
  state.store_down = true;
  state.standby = "e2.x";
  Renew("e1.x");
  Renew("e2.x");
  CHECK_TRUE(state.outage && state.standby_acknowledged_outage);
  configuration.drained_upstreams.insert("u1");
  const TableVersion stored = state.stored;
  for (int i = 0; i < 10; ++i) {
    Renew("e1.x");
    AdvanceTable(state, {platform, configuration}, now);
    now += milliseconds(20);
  }
  LONGS_EQUAL(4, OwnedBy("u2"));
  for (int i = 0; i < 10; ++i) {
    Renew("e1.x");
    Renew("e2.x");
    AdvanceTable(state, {platform, configuration}, now);
    now += milliseconds(20);
  }
  LONGS_EQUAL(8, OwnedBy("u2"));
  CHECK_TRUE(state.stored == stored);
}

}  // namespace
}  // namespace mimosadeal
