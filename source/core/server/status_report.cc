#include "server/status_report.h"

#include <nlohmann/json.hpp>

#include "common/version.h"
#include "ownership/controller_leases.h"
#include "platform/platform_client.h"
#include "server/configuration_manager.h"
#include "server/dispatcher.h"
#include "server/group_role.h"
#include "server/metrics.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

Json VersionJson(const TableVersion& version) {
  return {{"term", version.term}, {"sequence", version.sequence}};
}

std::string_view HealthName(uint8_t health) {
  switch (static_cast<UpstreamHealth>(health)) {
    case UpstreamHealth::kHealthy:
      return "healthy";
    case UpstreamHealth::kUnreachable:
      return "unreachable";
    case UpstreamHealth::kUnknown:
      break;
  }
  return "unknown";
}

Json UpstreamsJson(const OwnershipTable& table) {
  Json upstreams = Json::array();
  for (const TableUpstream& upstream : table.upstreams) {
    upstreams.push_back({{"id", upstream.id},
                         {"service", upstream.service},
                         {"address", upstream.address},
                         {"dispatcher", upstream.dispatcher},
                         {"target_dispatcher", upstream.target_dispatcher},
                         {"shards", OwnedShards(table, upstream).Count()}});
  }
  return upstreams;
}

// Returns what only the controller knows: the state of all hosts of the group.
// Null on other hosts.
Json ControllerJson(const ControllerRole* controller) {
  if (controller == nullptr) return nullptr;
  const ControllerState& state = controller->state();
  Json hosts = Json::array();
  for (const auto& [process, host] : state.hosts) {
    Json reports = Json::array();
    for (const auto& [id, report] : host.reports) {
      reports.push_back(
          {{"upstream", id}, {"health", HealthName(report.health)}});
    }
    hosts.push_back({{"process", process},
                     {"lost", IsLost(state, process, BootClock::now())},
                     {"leaving", host.leaving},
                     {"configuration_version", host.configuration_version},
                     {"table", VersionJson(host.table)},
                     {"upstreams", reports}});
  }
  return {{"may_move", controller->may_move()},
          {"renew_only", state.renew_only},
          {"store_down", state.store_down},
          {"members", state.members},
          {"in_transit",
           state.revoked_shards.size() + state.revoked_upstreams.size()},
          {"stored_table", VersionJson(state.stored)},
          {"hosts", hosts}};
}

}  // namespace

Json MakeStatus(const StatusSources& sources) {
  const GroupMember& member = sources.group.member();
  const OwnershipTable& table = sources.group.table();
  const Duration lease_left = std::max<Duration>(
      member.lease_until - BootClock::now(), Duration::zero());
  return {{"version", kVersion},
          {"host", sources.settings.host_id},
          {"process", sources.process},
          {"zone", sources.settings.zone},
          {"group", sources.settings.group},
          {"ready", IsReady(sources)},
          {"leaving", sources.leaving},
          {"configuration_version", sources.configuration.version()},
          {"term", member.term},
          {"controller", member.controller},
          {"standby", member.standby},
          {"lease_left_ms", ToMilliseconds(lease_left)},
          {"table", VersionJson(table.version)},
          {"upstreams", UpstreamsJson(table)},
          {"open_requests", sources.dispatcher.open_requests()},
          {"ledger_entries", sources.dispatcher.ledger_size()},
          {"control", ControllerJson(sources.group.controller())}};
}

Json ExplainOwner(const StatusSources& sources, const std::string& service_name,
                  const std::string& key) {
  const auto& services = sources.configuration.configuration().services;
  const auto service = services.find(service_name);
  if (service == services.end()) return nullptr;
  const uint32_t shard = ShardOfKey(service->second, key);
  const std::string& zone = HomeZone(service->second, shard);
  Json owner = {{"service", service_name},
                {"key", key},
                {"shard", shard},
                {"zone", zone}};
  if (zone != sources.settings.zone) {
    owner["explanation"] =
        "the key belongs to zone " + zone + "; ask a host there for its owner";
    return owner;
  }
  const OwnershipTable& table = sources.group.table();
  owner["table"] = VersionJson(table.version);
  const TableUpstream* upstream = OwnerOf(table, service_name, shard);
  if (upstream == nullptr) {
    owner["explanation"] =
        "the key has no owner at present; it is moving or no server is "
        "available";
    return owner;
  }
  owner["upstream"] = upstream->id;
  owner["address"] = upstream->address;
  owner["dispatcher"] = upstream->dispatcher;
  owner["explanation"] = "requests of this key go through " +
                         upstream->dispatcher + " to " + upstream->id;
  return owner;
}

void UpdateGauges(const StatusSources& sources, Metrics& metrics) {
  const GroupMember& member = sources.group.member();
  const OwnershipTable& table = sources.group.table();
  size_t upstreams = 0;
  size_t shards = 0;
  for (const TableUpstream& upstream : table.upstreams) {
    if (upstream.dispatcher != sources.process) continue;
    ++upstreams;
    shards += OwnedShards(table, upstream).Count();
  }
  const PlatformCallCounts& calls = sources.platform.counts();
  metrics.Set(GaugeName::kLeaseValid,
              LeaseIsValid(member, BootClock::now()) ? 1 : 0);
  metrics.Set(GaugeName::kIsController,
              member.controller == sources.process ? 1 : 0);
  metrics.Set(GaugeName::kTerm, static_cast<double>(member.term));
  metrics.Set(GaugeName::kTableSequence,
              static_cast<double>(table.version.sequence));
  metrics.Set(GaugeName::kConfigurationVersion,
              static_cast<double>(sources.configuration.version()));
  metrics.Set(GaugeName::kUpstreamsDispatched, static_cast<double>(upstreams));
  metrics.Set(GaugeName::kShardsDispatched, static_cast<double>(shards));
  metrics.Set(GaugeName::kOpenRequests,
              static_cast<double>(sources.dispatcher.open_requests()));
  metrics.Set(GaugeName::kLedgerEntries,
              static_cast<double>(sources.dispatcher.ledger_size()));
  metrics.Set(GaugeName::kControlBytesSent,
              static_cast<double>(sources.transport.control_bytes_sent()));
  metrics.Set(GaugeName::kPlatformReads, static_cast<double>(calls.reads));
  metrics.Set(GaugeName::kPlatformWrites, static_cast<double>(calls.writes));
  metrics.Set(GaugeName::kPlatformWatches, static_cast<double>(calls.watches));
  metrics.Set(GaugeName::kPlatformFailures,
              static_cast<double>(calls.failures));
}

bool IsReady(const StatusSources& sources) {
  return !sources.leaving && sources.configuration.version() > 0 &&
         sources.group.table().version.term > 0;
}

}  // namespace mimosadeal
