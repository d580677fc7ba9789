// Keeps a copy of this dispatcher's ledger at its replica, and copies of other
// dispatchers' ledgers here.
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
  std::string process;
  LedgerLimits limits;
  Duration retry_interval{};
};

class LedgerReplication {
 public:
  LedgerReplication(EventLoop& loop, InnerTransport& transport,
                    const Ledger& ledger, LedgerReplicationOptions options);

  // Follows the table's choice of replica. A new replica is first sent the
  // whole ledger.
  void OnTable(const OwnershipTable& table);

  // Sends one entry to the replica; `acknowledged` runs when it has it, at once
  // when there is none.
  void Replicate(const LedgerRecord& record,
                 std::function<void()> acknowledged);

  void OnUpdate(ConnectionId connection, const LedgerUpdate& update);
  void OnAck(const LedgerAck& ack);
  void OnDisconnected(ConnectionId connection);

  // Returns the entries that came from `host`, and whether they are all of its
  // entries.
  LedgerEntries CopyFor(const std::string& host,
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
