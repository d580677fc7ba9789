// The ledger of non-idempotent requests: the ids that were dispatched and their
// outcomes. It prevents a retried request from running twice.
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
  kNew,       // The id was unknown and is now recorded as dispatched.
  kRunning,   // Already dispatched and not finished.
  kFinished,  // Already dispatched; the record contains the outcome.
  kMismatch,  // The id was used for a different request.
  kFull,      // The ledger is full; the id was not recorded.
};

class Ledger {
 public:
  explicit Ledger(LedgerLimits limits) : limits_(limits) {}

  // Looks up `id` and records it if it is new.
  LedgerBeginResult Begin(const std::string& service, const std::string& id,
                          uint32_t shard, uint64_t fingerprint,
                          MonotonicTime now);
  // Removes an entry whose request is known not to have run, so that the caller
  // may retry it.
  void Remove(const std::string& service, const std::string& id);
  // Records the outcome of an entry. A response body over the size limit is not
  // stored.
  void Finish(const std::string& service, const std::string& id,
              RequestOutcome outcome, int32_t http_status,
              const std::string& content_type, const std::string& body);

  // Returns the entry's record, or null if there is none.
  const LedgerRecord* Find(const std::string& service,
                           const std::string& id) const;
  // Returns copies of the records that `filter` accepts, with their ages at
  // `now`.
  std::vector<LedgerRecord> Export(
      const std::function<bool(const LedgerRecord&)>& filter,
      MonotonicTime now) const;
  // Adds records of another dispatcher, except for ids that are already known.
  // Requests that had not finished there have an unknown outcome.
  void Import(const std::vector<LedgerRecord>& records, MonotonicTime now);
  // Adds records unchanged, for a replica. They replace existing records.
  void Merge(const std::vector<LedgerRecord>& records, MonotonicTime now);
  // Removes entries older than the retention time.
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
  // Keys of the entries in insertion order, so that Expire checks only the
  // oldest ones. May contain keys of entries that were removed or replaced.
  std::deque<std::string> insertion_order_;
};

// Returns true if the request's id is recorded: the request is not idempotent
// and its caller provided the id. Ids that the ingress generates are never sent
// again.
bool IsRecordedInLedger(const DispatchRequest& request);

// Returns a fingerprint that detects the reuse of an id for another request.
uint64_t LedgerFingerprint(const DispatchRequest& request);

}  // namespace mimosadeal
