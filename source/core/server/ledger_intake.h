// Fetches the ledger of shards that this dispatcher takes over, before it runs
// non-idempotent work on them.
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

enum class LedgerReadiness : uint8_t {
  kReady,
  kFetching,
  // Neither the former dispatcher nor its replica has the entries: what it ran
  // is not known.
  kIncomplete,
};

struct LedgerIntakeOptions {
  std::string process;
  Duration fetch_timeout{};
  Duration retention{};
};

class LedgerIntake {
 public:
  // `on_ready` runs when shards have ceased to be kFetching.
  LedgerIntake(EventLoop& loop, InnerTransport& transport, Ledger& ledger,
               LedgerIntakeOptions options, std::function<void()> on_ready);

  // Starts to fetch for every shard that this dispatcher serves from now on and
  // did not before.
  void OnTable(const OwnershipTable& table);
  void OnEntries(const LedgerEntries& entries);

  LedgerReadiness ReadinessOf(const std::string& service, uint32_t shard,
                              MonotonicTime now) const;

  // Tells whether this host holds every entry of `shards` that it should, as
  // one of their former dispatchers: it may have lost a shard again before its
  // own fetch for it was done.
  LedgerReadiness ReadinessToHandOn(const std::vector<ShardId>& shards,
                                    MonotonicTime now) const;

 private:
  struct Fetch {
    std::vector<ShardId> shards;
    int answers_awaited = 0;
  };

  void StartFetch(const OwnershipTable& table, const std::string& former,
                  std::vector<ShardId> shards);
  bool IsFetching(const ShardId& shard) const;
  bool IsIncomplete(const ShardId& shard, MonotonicTime now) const;
  void FinishFetch(uint64_t fetch_id, bool complete);

  EventLoop& loop_;
  InnerTransport& transport_;
  Ledger& ledger_;
  LedgerIntakeOptions options_;
  std::function<void()> on_ready_;
  uint64_t next_fetch_ = 1;
  std::map<uint64_t, Fetch> fetches_;
  // Invariant: holds the shards that this dispatcher serves by the latest
  // table.
  std::map<ShardId, LedgerReadiness> shards_;
  // Shards whose earlier outcomes are lost, and until when that matters.
  std::map<ShardId, MonotonicTime> incomplete_until_;
};

}  // namespace mimosadeal
