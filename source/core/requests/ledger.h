// The ledger of non-idempotent requests: which ids were dispatched, and what
// came of them. It is what keeps a resent request from running twice.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/boot_clock.h"
#include "inner/request_messages.h"

namespace mimosadeal {

struct LedgerLimits {
  size_t max_entries = 0;
  size_t max_response_bytes = 0;
  Duration retention{};
};

enum class LedgerBeginResult : uint8_t {
  kNew,       // The id was unknown; it is now recorded as dispatched.
  kRunning,   // Dispatched before and not finished.
  kFinished,  // Dispatched before; its outcome is in the record.
  kMismatch,  // The id was used for a different request.
  kFull,      // No room for a new id.
};

class Ledger {
 public:
  explicit Ledger(LedgerLimits limits) : limits_(limits) {}

  // Records `id` if it is new.
  LedgerBeginResult Begin(const std::string& service, const std::string& id,
                          uint32_t shard, uint64_t fingerprint,
                          MonotonicTime now);
  // Removes an entry whose request was certainly not run, so that its caller
  // may try again.
  void Remove(const std::string& service, const std::string& id);
  // Records the outcome of an entry. A body over the limit is not kept.
  void Finish(const std::string& service, const std::string& id,
              RequestOutcome outcome, int32_t http_status,
              const std::string& content_type, const std::string& body);

  // Returns the entry, or null.
  const LedgerRecord* Find(const std::string& service,
                           const std::string& id) const;
  // Returns copies of the entries that `wanted` accepts, with their ages as of
  // `now`.
  std::vector<LedgerRecord> Export(
      const std::function<bool(const LedgerRecord&)>& wanted,
      MonotonicTime now) const;
  // Takes over entries of another dispatcher. What it had not finished has an
  // unknown outcome.
  void Import(const std::vector<LedgerRecord>& records, MonotonicTime now);
  // Takes over entries as they are, as a replica does; later records replace
  // earlier ones.
  void Merge(const std::vector<LedgerRecord>& records, MonotonicTime now);
  // Drops entries past their retention.
  void Expire(MonotonicTime now);

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    LedgerRecord record;
    MonotonicTime created;
  };

  static std::string KeyOf(const std::string& service, const std::string& id) {
    return service + '\n' + id;
  }
  void Insert(LedgerRecord record, MonotonicTime created);

  LedgerLimits limits_;
  std::unordered_map<std::string, Entry> entries_;
  // The keys of entries in the order in which they came, so that expiry looks
  // at the oldest only. May hold keys of entries that are gone, or replaced.
  std::deque<std::string> order_;
};

// True for a request whose id is kept: it is not idempotent and its caller gave
// it an id. An id made by the ingress is never sent again.
bool IsRecordedInLedger(const DispatchRequest& request);

// Returns a fingerprint by which a reused id with another request is
// recognised.
uint64_t LedgerFingerprint(const DispatchRequest& request);

}  // namespace mimosadeal
