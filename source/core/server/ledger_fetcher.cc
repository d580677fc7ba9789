#include "server/ledger_fetcher.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "net/event_loop.h"

namespace mimosadeal {

LedgerFetcher::LedgerFetcher(EventLoop& loop, InnerTransport& transport,
                             Ledger& ledger, LedgerFetcherOptions options,
                             std::function<void()> on_ready)
    : loop_(loop),
      transport_(transport),
      ledger_(ledger),
      options_(std::move(options)),
      on_ready_(std::move(on_ready)) {}

void LedgerFetcher::OnTable(const OwnershipTable& table, bool lapsed) {
  std::map<ShardId, LedgerReadiness> shards;
  std::map<std::string, std::vector<ShardId>> shards_by_former_dispatcher;
  for (const TableService& service : table.services) {
    for (uint32_t shard = 0; shard < service.owners.size(); ++shard) {
      const uint16_t owner = service.owners[shard];
      if (owner == kNoUpstream ||
          table.upstreams[owner].dispatcher != options_.process)
        continue;
      const ShardId id{service.name, shard};
      const auto known = shards_.find(id);
      if (known != shards_.end() && !lapsed) {
        shards.insert(*known);
        continue;
      }
      const uint16_t former = service.last_dispatchers[shard];
      const bool has_nothing_to_fetch =
          former == kNoHost || table.hosts[former].id == options_.process;
      shards[id] = has_nothing_to_fetch ? LedgerReadiness::kReady
                                        : LedgerReadiness::kFetching;
      if (!has_nothing_to_fetch)
        shards_by_former_dispatcher[table.hosts[former].id].push_back(id);
    }
  }
  shards_ = std::move(shards);
  for (auto& [former, ids] : shards_by_former_dispatcher)
    StartFetch(table, former, std::move(ids));
}

void LedgerFetcher::StartFetch(const OwnershipTable& table,
                               const std::string& former,
                               std::vector<ShardId> shards) {
  const uint64_t id = next_fetch_++;
  LedgerFetch message;
  message.fetch = id;
  message.host = former;
  for (const ShardId& shard : shards)
    message.shards.push_back({shard.first, shard.second});
  Fetch& fetch = fetches_[id];
  fetch.shards = std::move(shards);

  const TableHost* former_host = FindHost(table, former);
  std::vector<std::string> addresses;
  if (former_host->live) addresses.push_back(former_host->address);
  const TableHost* replica = FindHost(table, former_host->ledger_replica);
  if (replica != nullptr && replica->live)
    addresses.push_back(replica->address);
  for (const std::string& address : addresses) {
    if (transport_.Send(transport_.ConnectionTo(address), message))
      ++fetch.pending_replies;
  }
  if (fetch.pending_replies == 0) {
    FinishFetch(id, false);
    return;
  }
  loop_.timers().After(options_.fetch_timeout,
                       [this, id] { FinishFetch(id, false); });
}

void LedgerFetcher::OnEntries(const LedgerEntries& entries) {
  const auto found = fetches_.find(entries.fetch);
  if (found == fetches_.end()) return;
  // Even a partial copy contains requests that did run.
  ledger_.Import(entries.records, loop_.timers().now());
  --found->second.pending_replies;
  if (entries.complete || found->second.pending_replies == 0)
    FinishFetch(entries.fetch, entries.complete);
}

void LedgerFetcher::FinishFetch(uint64_t fetch_id, bool complete) {
  const auto found = fetches_.find(fetch_id);
  if (found == fetches_.end()) return;
  const std::vector<ShardId> fetched = std::move(found->second.shards);
  fetches_.erase(found);
  const MonotonicTime now = loop_.timers().now();
  for (const ShardId& id : fetched) {
    if (!complete) incomplete_until_[id] = now + options_.retention;
    const auto shard = shards_.find(id);
    // A shard that this host lost and gained again meanwhile has a later fetch.
    if (shard == shards_.end() || IsFetching(id)) continue;
    shard->second = IsIncomplete(id, now) ? LedgerReadiness::kIncomplete
                                          : LedgerReadiness::kReady;
  }
  if (!complete) {
    Log(LogPart::kDispatcher)
        .warn(
            "The ledger entries of {} shards are lost. For {} s, the outcome "
            "of repeated requests on them is reported as unknown.",
            fetched.size(), ToMilliseconds(options_.retention) / 1000);
  }
  on_ready_();
}

bool LedgerFetcher::IsFetching(const ShardId& shard) const {
  return std::any_of(fetches_.begin(), fetches_.end(), [&](const auto& entry) {
    const std::vector<ShardId>& shards = entry.second.shards;
    return std::find(shards.begin(), shards.end(), shard) != shards.end();
  });
}

bool LedgerFetcher::IsIncomplete(const ShardId& shard,
                                 MonotonicTime now) const {
  const auto until = incomplete_until_.find(shard);
  return until != incomplete_until_.end() && now < until->second;
}

LedgerReadiness LedgerFetcher::ReadinessOf(const std::string& service,
                                           uint32_t shard,
                                           MonotonicTime now) const {
  const auto found = shards_.find({service, shard});
  if (found == shards_.end()) return LedgerReadiness::kFetching;
  if (found->second != LedgerReadiness::kIncomplete) return found->second;
  return IsIncomplete(found->first, now) ? LedgerReadiness::kIncomplete
                                         : LedgerReadiness::kReady;
}

LedgerReadiness LedgerFetcher::ReadinessToTransfer(
    const std::vector<ShardId>& shards, MonotonicTime now) const {
  LedgerReadiness readiness = LedgerReadiness::kReady;
  for (const ShardId& shard : shards) {
    if (IsFetching(shard)) return LedgerReadiness::kFetching;
    if (IsIncomplete(shard, now)) readiness = LedgerReadiness::kIncomplete;
  }
  return readiness;
}

}  // namespace mimosadeal
