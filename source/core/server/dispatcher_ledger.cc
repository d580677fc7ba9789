// The part of Dispatcher that prevents a non-idempotent request from running
// twice. It looks up each request's id before sending, records the outcome, and
// transfers ledger entries to other dispatchers.
#include <algorithm>
#include <utility>

#include "net/event_loop.h"
#include "requests/dispatch_reply.h"
#include "server/dispatcher.h"

namespace mimosadeal {

bool Dispatcher::CheckLedger(uint64_t handle) {
  Request& request = requests_.at(handle);
  const DispatchRequest& message = request.message;
  const MonotonicTime now = environment_.loop.timers().now();
  const LedgerReadiness readiness =
      fetcher_.ReadinessOf(message.service, message.shard, now);
  if (readiness == LedgerReadiness::kFetching) {
    request.stage = Stage::kAwaitingLedger;
    return false;
  }
  if (readiness == LedgerReadiness::kIncomplete &&
      ledger_.Find(message.service, message.id) == nullptr) {
    Finish(handle, MakeDispatchReply(
                       DispatchStatus::kUpstreamLost, RequestOutcome::kUnknown,
                       "the record of earlier requests with this key was lost "
                       "with the hosts that kept it"));
    return false;
  }
  switch (ledger_.Begin(message.service, message.id, message.shard,
                        LedgerFingerprint(message), now)) {
    case LedgerBeginResult::kNew:
      return true;
    case LedgerBeginResult::kRunning:
      request.stage = Stage::kDuplicate;
      duplicates_.emplace(std::pair(message.service, message.id), handle);
      return false;
    case LedgerBeginResult::kFinished:
      ReplyFromLedger(handle, *ledger_.Find(message.service, message.id));
      return false;
    case LedgerBeginResult::kMismatch:
      Finish(handle,
             MakeDispatchReply(
                 DispatchStatus::kConflict, RequestOutcome::kNotRun,
                 "this Idempotency-Key was used for a different request"));
      return false;
    case LedgerBeginResult::kFull:
      FinishUnsent(handle, DispatchStatus::kRefused,
                   "the record of non-idempotent requests is full",
                   std::chrono::seconds(1));
      return false;
  }
  return false;
}

void Dispatcher::ReplyFromLedger(uint64_t handle, const LedgerRecord& record) {
  const auto outcome = static_cast<RequestOutcome>(record.outcome);
  DispatchReply reply =
      MakeDispatchReply(DispatchStatus::kAnswered, outcome, "");
  if (outcome != RequestOutcome::kRan) {
    reply.status = static_cast<uint8_t>(DispatchStatus::kUpstreamLost);
    reply.detail =
        "an earlier request with this Idempotency-Key has an unknown outcome";
  }
  reply.replayed = true;
  reply.http_status = record.http_status;
  if (!record.content_type.empty())
    reply.headers.push_back({"content-type", record.content_type});
  reply.body = record.body;
  if (!record.body_kept)
    reply.detail = "the earlier request ran; its response is not kept";
  Finish(handle, std::move(reply));
}

void Dispatcher::RecordOutcome(const DispatchRequest& message,
                               const DispatchReply& reply) {
  if (!IsRecordedInLedger(message)) return;
  const auto outcome = static_cast<RequestOutcome>(reply.outcome);
  if (outcome == RequestOutcome::kNotRun) {
    RemoveLedgerEntry(message);
    return;
  }
  std::string content_type;
  for (const WireHeader& header : reply.headers) {
    if (header.name == "content-type") content_type = header.value;
  }
  ledger_.Finish(message.service, message.id, outcome, reply.http_status,
                 content_type, reply.body);
  replication_.Replicate(*ledger_.Find(message.service, message.id), [] {});
}

void Dispatcher::RemoveLedgerEntry(const DispatchRequest& message) {
  if (!IsRecordedInLedger(message)) return;
  const LedgerRecord* found = ledger_.Find(message.service, message.id);
  if (found == nullptr) return;
  // The replica must learn of the removal too. Otherwise the next dispatcher
  // would report the outcome as unknown.
  LedgerRecord record = *found;
  record.finished = true;
  record.outcome = static_cast<uint8_t>(RequestOutcome::kNotRun);
  ledger_.Remove(message.service, message.id);
  replication_.Replicate(record, [] {});
}

void Dispatcher::ReadmitDuplicates(const DispatchRequest& message) {
  const auto range = duplicates_.equal_range({message.service, message.id});
  std::vector<uint64_t> handles;
  for (auto it = range.first; it != range.second; ++it)
    handles.push_back(it->second);
  duplicates_.erase(range.first, range.second);
  // If the earlier request was not run, the first of these runs in its place.
  for (const uint64_t handle : handles) {
    if (requests_.count(handle) != 0) Admit(handle);
  }
}

void Dispatcher::RetryRequestsAwaitingLedger() {
  ProcessDeferredFetches();
  std::vector<uint64_t> awaiting;
  for (const auto& [handle, request] : requests_) {
    if (request.stage == Stage::kAwaitingLedger) awaiting.push_back(handle);
  }
  for (const uint64_t handle : awaiting) {
    if (requests_.count(handle) != 0) Admit(handle);
  }
}

void Dispatcher::OnLedgerUpdate(ConnectionId connection,
                                const LedgerUpdate& update) {
  replication_.OnUpdate(connection, update);
}

void Dispatcher::OnLedgerAck(const LedgerAck& ack) { replication_.OnAck(ack); }

void Dispatcher::OnLedgerFetch(ConnectionId connection,
                               const LedgerFetch& fetch) {
  const MonotonicTime now = environment_.loop.timers().now();
  std::vector<ShardId> shards;
  for (const ShardReference& shard : fetch.shards)
    shards.emplace_back(shard.service, shard.shard);
  std::sort(shards.begin(), shards.end());
  const auto matches = [&](const LedgerRecord& record) {
    return std::binary_search(shards.begin(), shards.end(),
                              ShardId{record.service, record.shard});
  };
  LedgerEntries entries;
  if (fetch.host == environment_.process) {
    const LedgerReadiness readiness = fetcher_.ReadinessToTransfer(shards, now);
    if (readiness == LedgerReadiness::kFetching) {
      // Served when this host's own fetch is complete.
      deferred_fetches_.push_back({connection, fetch});
      return;
    }
    entries.complete = readiness == LedgerReadiness::kReady;
    entries.records = ledger_.Export(matches, now);
  } else {
    entries = replication_.ExportCopy(fetch.host, matches);
  }
  entries.fetch = fetch.fetch;
  environment_.transport.Send(connection, entries);
}

void Dispatcher::ProcessDeferredFetches() {
  std::vector<DeferredFetch> deferred = std::move(deferred_fetches_);
  deferred_fetches_.clear();
  for (const DeferredFetch& entry : deferred)
    OnLedgerFetch(entry.connection, entry.fetch);
}

void Dispatcher::OnLedgerEntries(const LedgerEntries& entries) {
  fetcher_.OnEntries(entries);
}

void Dispatcher::OnDisconnected(ConnectionId connection) {
  replication_.OnDisconnected(connection);
}

}  // namespace mimosadeal
