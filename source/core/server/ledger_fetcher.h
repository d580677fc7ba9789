// Fetches the ledger entries of shards that this dispatcher takes over. Until a
// fetch has ended, no non-idempotent request of its shards is sent, because the
// former dispatcher may have run it already.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "inner/inner_transport.h"
#include "ownership/controller_state.h"
#include "ownership/ownership_table.h"
#include "requests/ledger.h"

namespace mimosadeal {

class EventLoop;

// Whether this host's ledger holds the entries of a shard.
enum class LedgerReadiness : uint8_t {
  kReady,
  kFetching,
  // Neither the former dispatcher nor its replica returned all entries, so it
  // is unknown which requests the former dispatcher ran.
  kIncomplete,
};

struct LedgerFetcherOptions {
  std::string process;  // This dispatcher.
  Duration fetch_timeout{};
  Duration retention{};  // How long ledger entries are kept.
};

class LedgerFetcher {
 public:
  // `on_ready` runs whenever a fetch has ended.
  LedgerFetcher(EventLoop& loop, InnerTransport& transport, Ledger& ledger,
                LedgerFetcherOptions options, std::function<void()> on_ready);

  // Starts a fetch for every shard that `table` newly assigns to this
  // dispatcher. `lapsed`: its lease has ended since the last table, so it may
  // have missed tables by which another dispatcher served its shards.
  void OnTable(const OwnershipTable& table, bool lapsed);
  void OnEntries(const LedgerEntries& entries);

  LedgerReadiness ReadinessOf(const std::string& service, uint32_t shard,
                              MonotonicTime now) const;

  // Returns whether this host, a former dispatcher of `shards`, holds all of
  // their entries. It may have lost a shard before its own fetch was complete.
  LedgerReadiness ReadinessToTransfer(const std::vector<ShardId>& shards,
                                      MonotonicTime now) const;

 private:
  struct Fetch {
    std::vector<ShardId> shards;
    int pending_replies = 0;
  };

  // Fetches from the former dispatcher and from its replica.
  void StartFetch(const OwnershipTable& table, const std::string& former,
                  std::vector<ShardId> shards);
  bool IsFetching(const ShardId& shard) const;
  bool IsIncomplete(const ShardId& shard, MonotonicTime now) const;
  void FinishFetch(uint64_t fetch_id, bool complete);

  EventLoop& loop_;
  InnerTransport& transport_;
  Ledger& ledger_;
  LedgerFetcherOptions options_;
  std::function<void()> on_ready_;
  uint64_t next_fetch_ = 1;
  std::map<uint64_t, Fetch> fetches_;
  // Invariant: holds the shards that this dispatcher serves by the latest
  // table.
  std::map<ShardId, LedgerReadiness> shards_;
  // Shards whose entries are lost, and the time at which the lost entries would
  // have expired.
  std::map<ShardId, MonotonicTime> incomplete_until_;
};

}  // namespace mimosadeal
