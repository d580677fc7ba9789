#include "requests/ledger.h"

#include <utility>

#include "common/ids.h"

namespace mimosadeal {

LedgerBeginResult Ledger::Begin(const std::string& service,
                                const std::string& id, uint32_t shard,
                                uint64_t fingerprint, MonotonicTime now) {
  const auto found = entries_.find(KeyOf(service, id));
  if (found != entries_.end()) {
    const LedgerRecord& record = found->second.record;
    if (record.fingerprint != fingerprint) return LedgerBeginResult::kMismatch;
    return record.finished ? LedgerBeginResult::kFinished
                           : LedgerBeginResult::kRunning;
  }
  if (entries_.size() >= limits_.max_entries) return LedgerBeginResult::kFull;
  LedgerRecord record;
  record.service = service;
  record.id = id;
  record.shard = shard;
  record.fingerprint = fingerprint;
  Insert(std::move(record), now);
  return LedgerBeginResult::kNew;
}

void Ledger::Remove(const std::string& service, const std::string& id) {
  entries_.erase(KeyOf(service, id));
}

void Ledger::Finish(const std::string& service, const std::string& id,
                    RequestOutcome outcome, int32_t http_status,
                    const std::string& content_type, const std::string& body) {
  const auto found = entries_.find(KeyOf(service, id));
  if (found == entries_.end()) return;
  LedgerRecord& record = found->second.record;
  record.finished = true;
  record.outcome = static_cast<uint8_t>(outcome);
  record.http_status = http_status;
  record.content_type = content_type;
  record.body_kept = body.size() <= limits_.max_response_bytes;
  if (record.body_kept) record.body = body;
}

const LedgerRecord* Ledger::Find(const std::string& service,
                                 const std::string& id) const {
  const auto found = entries_.find(KeyOf(service, id));
  return found == entries_.end() ? nullptr : &found->second.record;
}

std::vector<LedgerRecord> Ledger::Export(
    const std::function<bool(const LedgerRecord&)>& filter,
    MonotonicTime now) const {
  std::vector<LedgerRecord> records;
  for (const auto& [key, entry] : entries_) {
    if (!filter(entry.record)) continue;
    records.push_back(entry.record);
    records.back().age_ms = ToMilliseconds(now - entry.created);
  }
  return records;
}

void Ledger::Import(const std::vector<LedgerRecord>& records,
                    MonotonicTime now) {
  for (LedgerRecord record : records) {
    const auto found = entries_.find(KeyOf(record.service, record.id));
    if (found != entries_.end()) continue;
    // A request that is known not to have run may be dispatched again.
    if (record.finished &&
        record.outcome == static_cast<uint8_t>(RequestOutcome::kNotRun))
      continue;
    if (!record.finished) {
      record.finished = true;
      record.outcome = static_cast<uint8_t>(RequestOutcome::kUnknown);
    }
    const MonotonicTime created =
        now - std::chrono::milliseconds(record.age_ms);
    Insert(std::move(record), created);
  }
}

void Ledger::Merge(const std::vector<LedgerRecord>& records,
                   MonotonicTime now) {
  for (const LedgerRecord& record : records)
    Insert(record, now - std::chrono::milliseconds(record.age_ms));
}

void Ledger::Expire(MonotonicTime now) {
  while (!insertion_order_.empty()) {
    const auto found = entries_.find(insertion_order_.front());
    if (found != entries_.end()) {
      if (now - found->second.created <= limits_.retention) return;
      entries_.erase(found);
    }
    insertion_order_.pop_front();
  }
}

void Ledger::Insert(LedgerRecord record, MonotonicTime created) {
  std::string key = KeyOf(record.service, record.id);
  const auto inserted =
      entries_.insert_or_assign(key, Entry{std::move(record), created}).second;
  if (inserted) insertion_order_.push_back(std::move(key));
}

bool IsRecordedInLedger(const DispatchRequest& request) {
  return !request.idempotent && request.has_key;
}

uint64_t LedgerFingerprint(const DispatchRequest& request) {
  return HashText(request.body,
                  HashText(request.path, HashText(request.method)));
}

}  // namespace mimosadeal
