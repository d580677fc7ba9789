#include "ownership/controller_moves.h"

#include <algorithm>
#include <map>
#include <set>

#include "ownership/controller_leases.h"
#include "ownership/placement.h"

namespace mimosadeal {
namespace {

// At most one in this many of a service's shards in this zone moves in one pass
// to balance load.
constexpr size_t kBalancingShareDivisor = 8;
constexpr Duration kBalancingInterval = std::chrono::milliseconds(500);
constexpr double kToleratedImbalance = 1.1;
// An upstream moves to another dispatcher for balance only if the dispatchers
// with the most and the fewest upstreams differ by at least this many.
constexpr int kMinDispatcherDifference = 2;

// One pass that computes the next version of the table.
class TableAdvance {
 public:
  TableAdvance(ControllerState& state, const MoveInputs& inputs,
               MonotonicTime now)
      : state_(state), inputs_(inputs), now_(now), next_(state.table) {
    next_.version.sequence += 1;
    for (const PlatformHost& host : inputs.platform_hosts)
      listed_[host.id] = &host;
    durable_ = IsDurable(state.table.version);
  }

  bool Run() {
    UpdateHosts();
    AddUpstreams();
    for (TableUpstream& upstream : next_.upstreams) AdvanceDispatcher(upstream);
    if (InTransit() == 0) BalanceDispatchers();
    for (const auto& [name, service] : inputs_.configuration.services)
      AdvanceService(service);
    if (next_.hosts == state_.table.hosts &&
        next_.upstreams == state_.table.upstreams &&
        next_.services == state_.table.services) {
      return false;
    }
    state_.table = std::move(next_);
    return true;
  }

 private:
  // Returns whether the table survives the loss of the controller: it is in the
  // store or, during a store outage, at the standby. Only then may it take
  // effect.
  bool IsDurable(const TableVersion& version) const {
    if (!state_.outage) return state_.stored >= version;
    const auto standby = state_.hosts.find(state_.standby);
    if (standby == state_.hosts.end() || !state_.standby_acknowledged_outage)
      return false;
    return standby->second.table >= version;
  }

  bool Lost(const std::string& host) const {
    return IsLost(state_, host, now_);
  }

  bool Leaving(const std::string& host) const {
    const auto found = state_.hosts.find(host);
    if (found != state_.hosts.end() && found->second.leaving) return true;
    const auto listed = listed_.find(HostIdOf(host));
    return listed != listed_.end() &&
           listed->second->state == HostState::kLeaving;
  }

  bool CanDispatch(const std::string& host) const {
    return !host.empty() && !Lost(host) && !Leaving(host);
  }

  // Returns whether the holder of the revoked assignment has certainly stopped.
  bool IsReleased(const Revocation& revocation) const {
    if (revocation.dispatcher.empty())
      return EveryHostApplied(revocation.version);
    if (Lost(revocation.dispatcher)) return true;
    const ControllerHost& host = state_.hosts.at(revocation.dispatcher);
    const auto report = host.reports.find(revocation.upstream);
    // A host that has the table and does not report the upstream does not send
    // to it.
    if (report == host.reports.end()) return host.table >= revocation.version;
    return report->second.applied >= revocation.version;
  }

  // Used for revocations of earlier terms, whose holders are not known.
  bool EveryHostApplied(const TableVersion& version) const {
    for (const auto& [id, host] : state_.hosts) {
      if (Lost(id)) continue;
      if (host.table < version) return false;
      for (const auto& [upstream, report] : host.reports) {
        if (report.applied < version) return false;
      }
    }
    return true;
  }

  void UpdateHosts() {
    for (const auto& [id, host] : state_.hosts) {
      if (FindHost(next_, id) != nullptr || Lost(id)) continue;
      next_.hosts.push_back(TableHost{id, host.address, "", true});
    }
    for (TableHost& host : next_.hosts) host.live = !Lost(host.id);
    for (TableHost& host : next_.hosts) {
      // A lost host keeps its replica: its ledger can still be fetched there.
      if (host.live && !ReplicaIsUsable(host))
        host.ledger_replica = ChooseReplica(host.id);
    }
  }

  bool ReplicaIsUsable(const TableHost& host) const {
    return host.ledger_replica != host.id && CanDispatch(host.ledger_replica);
  }

  // Returns the live host with the next higher id or, if there is none, the one
  // with the lowest id.
  std::string ChooseReplica(const std::string& id) const {
    std::string first;
    std::string after;
    for (const TableHost& host : next_.hosts) {
      if (!host.live || host.id == id || Leaving(host.id)) continue;
      if (first.empty() || host.id < first) first = host.id;
      if (host.id > id && (after.empty() || host.id < after)) after = host.id;
    }
    return after.empty() ? first : after;
  }

  void AddUpstreams() {
    for (const PlatformHost& host : inputs_.platform_hosts) {
      if (host.kind != HostKind::kUpstream || host.zone != state_.zone)
        continue;
      if (inputs_.configuration.services.count(host.service) == 0) continue;
      const auto found =
          std::find_if(next_.upstreams.begin(), next_.upstreams.end(),
                       [&](const TableUpstream& upstream) {
                         return upstream.id == host.id;
                       });
      if (found != next_.upstreams.end()) {
        found->address = host.address;
        continue;
      }
      next_.upstreams.push_back(
          TableUpstream{host.id, host.service, host.address, "", "", ""});
    }
  }

  size_t InTransit() const {
    return state_.revoked_shards.size() + state_.revoked_upstreams.size();
  }

  std::map<std::string, int> DispatcherCounts() const {
    std::map<std::string, int> counts;
    for (const TableHost& host : next_.hosts) {
      if (CanDispatch(host.id)) counts[host.id] = 0;
    }
    for (const TableUpstream& upstream : next_.upstreams) {
      const auto found = counts.find(upstream.target_dispatcher);
      if (found != counts.end()) ++found->second;
    }
    return counts;
  }

  // Returns the host with the replica of the old dispatcher's ledger if it can
  // dispatch, otherwise the host with the fewest upstreams.
  std::string ChooseDispatcher(const std::string& old_dispatcher) const {
    const TableHost* old_host = FindHost(next_, old_dispatcher);
    if (old_host != nullptr && CanDispatch(old_host->ledger_replica))
      return old_host->ledger_replica;
    const auto counts = DispatcherCounts();
    const auto least = std::min_element(
        counts.begin(), counts.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    return least == counts.end() ? std::string() : least->first;
  }

  void AdvanceDispatcher(TableUpstream& upstream) {
    if (!CanDispatch(upstream.target_dispatcher)) {
      const std::string& old_dispatcher = upstream.dispatcher.empty()
                                              ? upstream.last_dispatcher
                                              : upstream.dispatcher;
      const std::string chosen = ChooseDispatcher(old_dispatcher);
      if (chosen.empty()) return;
      RevokeDispatcher(upstream, chosen);
      return;
    }
    if (!upstream.dispatcher.empty() || !durable_) return;
    const auto found = state_.revoked_upstreams.find(upstream.id);
    if (found != state_.revoked_upstreams.end() && !IsReleased(found->second))
      return;
    if (found != state_.revoked_upstreams.end())
      state_.revoked_upstreams.erase(found);
    upstream.dispatcher = upstream.target_dispatcher;
  }

  void RevokeDispatcher(TableUpstream& upstream, const std::string& successor) {
    upstream.target_dispatcher = successor;
    if (upstream.dispatcher.empty()) return;
    state_.revoked_upstreams[upstream.id] =
        Revocation{upstream.id, upstream.dispatcher, next_.version};
    SetLastDispatcher(upstream, upstream.dispatcher);
    upstream.last_dispatcher = upstream.dispatcher;
    upstream.dispatcher.clear();
  }

  // Records for every shard of `upstream` which host has its ledger.
  void SetLastDispatcher(const TableUpstream& upstream,
                         const std::string& dispatcher) {
    const auto index =
        static_cast<uint16_t>(&upstream - next_.upstreams.data());
    const uint16_t host = HostIndex(dispatcher);
    for (TableService& service : next_.services) {
      for (size_t shard = 0; shard < service.owners.size(); ++shard) {
        if (service.owners[shard] == index)
          service.last_dispatchers[shard] = host;
      }
    }
  }

  uint16_t HostIndex(const std::string& id) const {
    for (size_t i = 0; i < next_.hosts.size(); ++i) {
      if (next_.hosts[i].id == id) return static_cast<uint16_t>(i);
    }
    return kNoHost;
  }

  void BalanceDispatchers() {
    if (now_ < state_.next_balancing) return;
    const auto counts = DispatcherCounts();
    if (counts.size() < 2) return;
    const auto by_count = [](const auto& a, const auto& b) {
      return a.second < b.second;
    };
    const auto least = std::min_element(counts.begin(), counts.end(), by_count);
    const auto most = std::max_element(counts.begin(), counts.end(), by_count);
    if (most->second - least->second < kMinDispatcherDifference) return;
    for (TableUpstream& upstream : next_.upstreams) {
      // Skips assignments made in this pass, which no host has received yet.
      const TableUpstream* published = FindUpstream(state_.table, upstream.id);
      if (upstream.dispatcher != most->first ||
          published->dispatcher != upstream.dispatcher)
        continue;
      RevokeDispatcher(upstream, least->first);
      state_.next_balancing = now_ + kBalancingInterval;
      return;
    }
  }

  bool Reported(const TableUpstream& upstream, UpstreamHealth health) const {
    const auto host = state_.hosts.find(upstream.dispatcher);
    if (host == state_.hosts.end()) return false;
    const auto report = host->second.reports.find(upstream.id);
    return report != host->second.reports.end() &&
           report->second.health == static_cast<uint8_t>(health);
  }

  bool MayOwn(const TableUpstream& upstream) const {
    if (inputs_.configuration.drained_upstreams.count(upstream.id) != 0)
      return false;
    const auto listed = listed_.find(upstream.id);
    if (listed != listed_.end() && listed->second->state == HostState::kLeaving)
      return false;
    return !Reported(upstream, UpstreamHealth::kUnreachable);
  }

  // Except in a new service, an upstream gets shards only once it is reported
  // healthy, so that no shard moves to one that has never replied.
  bool MayGain(const TableUpstream& upstream, bool is_new_service) const {
    return is_new_service || Reported(upstream, UpstreamHealth::kHealthy);
  }

  TableService& ServiceEntry(const ServiceConfiguration& service) {
    for (TableService& entry : next_.services) {
      if (entry.name == service.name) return entry;
    }
    next_.services.push_back(TableService{
        service.name, std::vector<uint16_t>(service.shards, kNoUpstream),
        std::vector<uint16_t>(service.shards, kNoUpstream),
        std::vector<uint16_t>(service.shards, kNoHost)});
    return next_.services.back();
  }

  void AdvanceService(const ServiceConfiguration& service) {
    if (std::find(service.zones.begin(), service.zones.end(), state_.zone) ==
        service.zones.end())
      return;
    TableService& entry = ServiceEntry(service);
    const std::vector<uint16_t> targets =
        PlaceShards(MakePlacementInput(service, entry));
    for (uint32_t shard = 0; shard < targets.size(); ++shard) {
      if (targets[shard] != entry.targets[shard])
        RevokeShard(entry, shard, targets[shard]);
      ActivateShard(entry, shard);
    }
  }

  const std::vector<bool>& HomeShards(const ServiceConfiguration& service) {
    std::vector<bool>& is_home = state_.home_shards[service.name];
    if (is_home.size() == service.shards) return is_home;
    is_home.resize(service.shards);
    for (uint32_t shard = 0; shard < service.shards; ++shard) {
      is_home[shard] = HomeZone(service, shard) == state_.zone;
    }
    return is_home;
  }

  PlacementInput MakePlacementInput(const ServiceConfiguration& service,
                                    const TableService& entry) {
    PlacementInput input;
    input.targets = entry.targets;
    input.shard_loads.resize(service.shards);
    size_t home_shards = 0;
    bool is_new_service = true;
    const std::vector<bool>& is_home = HomeShards(service);
    for (uint32_t shard = 0; shard < service.shards; ++shard) {
      const bool home = is_home[shard];
      input.shard_loads[shard] = home ? 1.0 : -1.0;
      if (home) ++home_shards;
      if (entry.targets[shard] != kNoUpstream) is_new_service = false;
    }
    std::set<uint16_t> holding(entry.targets.begin(), entry.targets.end());
    for (size_t i = 0; i < next_.upstreams.size(); ++i) {
      const TableUpstream& upstream = next_.upstreams[i];
      const bool holds = holding.count(static_cast<uint16_t>(i)) != 0;
      const bool usable = upstream.service == service.name &&
                          MayOwn(upstream) &&
                          (holds || MayGain(upstream, is_new_service));
      input.upstream_weights.push_back(usable ? 1.0 : 0.0);
    }
    if (InTransit() == 0 && now_ >= state_.next_balancing) {
      input.max_balancing_moves =
          std::max<size_t>(1, home_shards / kBalancingShareDivisor);
      state_.next_balancing = now_ + kBalancingInterval;
    }
    input.tolerated_imbalance = kToleratedImbalance;
    return input;
  }

  void RevokeShard(TableService& entry, uint32_t shard, uint16_t target) {
    entry.targets[shard] = target;
    const uint16_t owner = entry.owners[shard];
    if (owner == kNoUpstream) return;
    const TableUpstream& upstream = next_.upstreams[owner];
    const std::string& dispatcher = upstream.dispatcher.empty()
                                        ? upstream.last_dispatcher
                                        : upstream.dispatcher;
    state_.revoked_shards[{entry.name, shard}] =
        Revocation{upstream.id, dispatcher, next_.version};
    entry.last_dispatchers[shard] = HostIndex(dispatcher);
    entry.owners[shard] = kNoUpstream;
  }

  void ActivateShard(TableService& entry, uint32_t shard) {
    if (entry.owners[shard] != kNoUpstream ||
        entry.targets[shard] == kNoUpstream)
      return;
    // The target must come from an earlier, durable table.
    const TableService* before = FindService(state_.table, entry.name);
    if (!durable_ || before == nullptr ||
        before->targets[shard] != entry.targets[shard])
      return;
    const auto found = state_.revoked_shards.find({entry.name, shard});
    if (found != state_.revoked_shards.end()) {
      if (!IsReleased(found->second)) return;
      state_.revoked_shards.erase(found);
    }
    entry.owners[shard] = entry.targets[shard];
  }

  ControllerState& state_;
  const MoveInputs& inputs_;
  MonotonicTime now_;
  OwnershipTable next_;
  std::map<std::string, const PlatformHost*> listed_;
  bool durable_ = false;
};

}  // namespace

bool AdvanceTable(ControllerState& state, const MoveInputs& inputs,
                  MonotonicTime now) {
  if (!MayMove(state, now)) return false;
  return TableAdvance(state, inputs, now).Run();
}

void AdoptTable(ControllerState& state, OwnershipTable table) {
  state.table = std::move(table);
  state.table.version = TableVersion{state.term, 1};
  state.first_version = state.table.version;
  state.revoked_upstreams.clear();
  state.revoked_shards.clear();
  // It is not known which holders have not yet confirmed revocations of earlier
  // terms, so all such assignments wait for every host.
  for (const TableUpstream& upstream : state.table.upstreams) {
    if (!upstream.dispatcher.empty() || upstream.last_dispatcher.empty())
      continue;
    state.revoked_upstreams[upstream.id] =
        Revocation{upstream.id, "", state.first_version};
  }
  for (const TableService& service : state.table.services) {
    for (uint32_t shard = 0; shard < service.owners.size(); ++shard) {
      if (service.owners[shard] != kNoUpstream ||
          service.last_dispatchers[shard] == kNoHost)
        continue;
      state.revoked_shards[{service.name, shard}] =
          Revocation{"", "", state.first_version};
    }
  }
}

}  // namespace mimosadeal
