// Replicates this dispatcher's ledger to its replica, another host of the
// group, and stores the ledgers that other dispatchers replicate to this host.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "inner/inner_transport.h"
#include "ownership/ownership_table.h"
#include "requests/ledger.h"

namespace mimosadeal {

class EventLoop;

struct LedgerReplicationOptions {
  std::string process;  // This dispatcher.
  LedgerLimits limits;  // Of each stored copy.
  Duration retry_interval{};
};

class LedgerReplication {
 public:
  LedgerReplication(EventLoop& loop, InnerTransport& transport,
                    const Ledger& ledger, LedgerReplicationOptions options);

  // Switches to the replica that the table names for this host. A new replica
  // first receives the whole ledger.
  void OnTable(const OwnershipTable& table);

  // Sends one entry to the replica. `acknowledged` runs when the replica has
  // stored the entry, or immediately if there is no replica.
  void Replicate(const LedgerRecord& record,
                 std::function<void()> acknowledged);

  void OnUpdate(ConnectionId connection, const LedgerUpdate& update);
  void OnAck(const LedgerAck& ack);
  void OnDisconnected(ConnectionId connection);

  // Returns the entries of `host`'s ledger that `wanted` accepts, from the copy
  // kept here. `complete` is set if the copy holds the whole ledger.
  LedgerEntries ExportCopy(
      const std::string& host,
      const std::function<bool(const LedgerRecord&)>& wanted);

 private:
  // A copy of another dispatcher's ledger.
  struct Copy {
    explicit Copy(LedgerLimits limits) : ledger(limits) {}

    uint64_t stream = 0;
    uint64_t next_sequence = 1;
    bool complete = false;
    Ledger ledger;
  };

  struct Unacknowledged {
    uint64_t sequence = 0;
    std::function<void()> acknowledged;
  };

  // Starts a new stream, which begins with the whole ledger. Retries later if
  // sending fails.
  void StartStream();
  bool SendUpdate(std::vector<LedgerRecord> records, bool complete);

  EventLoop& loop_;
  InnerTransport& transport_;
  const Ledger& ledger_;
  LedgerReplicationOptions options_;

  std::string replica_;  // Empty when there is none.
  std::string replica_address_;
  ConnectionId connection_ = kNoConnection;
  uint64_t stream_ = 0;
  uint64_t sequence_ = 0;
  // In order of sequence.
  std::vector<Unacknowledged> unacknowledged_;

  std::map<std::string, Copy> copies_;
};

}  // namespace mimosadeal
