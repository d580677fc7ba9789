#include "server/ledger_replication.h"

#include <algorithm>
#include <utility>

#include "common/ids.h"
#include "common/log.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// Limits the size of one frame when the whole ledger is sent.
constexpr size_t kRecordsPerUpdate = 64;

}  // namespace

LedgerReplication::LedgerReplication(EventLoop& loop, InnerTransport& transport,
                                     const Ledger& ledger,
                                     LedgerReplicationOptions options)
    : loop_(loop),
      transport_(transport),
      ledger_(ledger),
      options_(std::move(options)) {}

void LedgerReplication::OnTable(const OwnershipTable& table) {
  const TableHost* self = FindHost(table, options_.process);
  const std::string replica =
      self == nullptr ? std::string() : self->ledger_replica;
  if (replica == replica_) return;
  replica_ = replica;
  const TableHost* host = FindHost(table, replica);
  replica_address_ = host == nullptr ? std::string() : host->address;
  if (replica_.empty()) {
    // This host is alone in the group, so there is nowhere to replicate to.
    std::vector<Unacknowledged> pending = std::move(unacknowledged_);
    unacknowledged_.clear();
    for (const Unacknowledged& entry : pending) entry.acknowledged();
    return;
  }
  Log(LogPart::kDispatcher).info("Replicating the ledger to {}.", replica_);
  StartStream();
}

void LedgerReplication::StartStream() {
  stream_ = SystemSeed();
  sequence_ = 0;
  connection_ = transport_.ConnectionTo(replica_address_);
  // Entries that await acknowledgement are part of the whole ledger, so the
  // acknowledgement of its last update covers them.
  std::vector<LedgerRecord> all = ledger_.Export(
      [](const LedgerRecord&) { return true; }, loop_.timers().now());
  size_t sent = 0;
  bool delivered = true;
  do {
    const size_t count = std::min(kRecordsPerUpdate, all.size() - sent);
    std::vector<LedgerRecord> part(
        all.begin() + static_cast<std::ptrdiff_t>(sent),
        all.begin() + static_cast<std::ptrdiff_t>(sent + count));
    sent += count;
    delivered = SendUpdate(std::move(part), sent == all.size());
  } while (delivered && sent < all.size());
  for (Unacknowledged& entry : unacknowledged_) entry.sequence = sequence_;
  if (delivered) return;
  loop_.timers().After(options_.retry_interval, [this, stream = stream_] {
    if (stream_ == stream && !replica_.empty()) StartStream();
  });
}

bool LedgerReplication::SendUpdate(std::vector<LedgerRecord> records,
                                   bool complete) {
  LedgerUpdate update;
  update.host = options_.process;
  update.stream = stream_;
  update.sequence = ++sequence_;
  update.complete = complete;
  update.records = std::move(records);
  return transport_.Send(connection_, update);
}

void LedgerReplication::Replicate(const LedgerRecord& record,
                                  std::function<void()> acknowledged) {
  if (replica_.empty()) {
    acknowledged();
    return;
  }
  SendUpdate({record}, true);
  unacknowledged_.push_back({sequence_, std::move(acknowledged)});
}

void LedgerReplication::OnAck(const LedgerAck& ack) {
  if (ack.stream != stream_) return;
  size_t count = 0;
  while (count < unacknowledged_.size() &&
         unacknowledged_[count].sequence <= ack.sequence)
    ++count;
  std::vector<Unacknowledged> done(
      std::make_move_iterator(unacknowledged_.begin()),
      std::make_move_iterator(unacknowledged_.begin() +
                              static_cast<std::ptrdiff_t>(count)));
  unacknowledged_.erase(
      unacknowledged_.begin(),
      unacknowledged_.begin() + static_cast<std::ptrdiff_t>(count));
  for (const Unacknowledged& entry : done) entry.acknowledged();
}

void LedgerReplication::OnDisconnected(ConnectionId connection) {
  if (connection != connection_ || replica_.empty()) return;
  connection_ = kNoConnection;
  loop_.timers().After(options_.retry_interval, [this, stream = stream_] {
    if (stream_ == stream && !replica_.empty()) StartStream();
  });
}

void LedgerReplication::OnUpdate(ConnectionId connection,
                                 const LedgerUpdate& update) {
  auto found = copies_.find(update.host);
  const bool starts =
      update.sequence == 1 &&
      (found == copies_.end() || found->second.stream != update.stream);
  if (starts) {
    copies_.erase(update.host);
    found = copies_.emplace(update.host, Copy(options_.limits)).first;
    found->second.stream = update.stream;
  }
  // A gap means that the sender's connection broke. The sender then starts a
  // new stream.
  if (found == copies_.end() || found->second.stream != update.stream ||
      found->second.next_sequence != update.sequence) {
    return;
  }
  Copy& copy = found->second;
  ++copy.next_sequence;
  copy.complete = update.complete;
  copy.ledger.Merge(update.records, loop_.timers().now());
  copy.ledger.Expire(loop_.timers().now());
  transport_.Send(connection, LedgerAck{update.stream, update.sequence});
}

LedgerEntries LedgerReplication::ExportCopy(
    const std::string& host,
    const std::function<bool(const LedgerRecord&)>& wanted) {
  LedgerEntries entries;
  const auto found = copies_.find(host);
  if (found == copies_.end()) return entries;
  entries.complete = found->second.complete;
  entries.records = found->second.ledger.Export(wanted, loop_.timers().now());
  return entries;
}

}  // namespace mimosadeal
