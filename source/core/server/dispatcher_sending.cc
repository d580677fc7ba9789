// The part of Dispatcher that sends requests to upstreams and takes their
// responses.
#include <string>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "requests/dispatch_reply.h"
#include "server/dispatcher.h"
#include "server/metrics.h"
#include "upstream/upstream_protocol.h"

namespace mimosadeal {
namespace {

constexpr int kConflictStatus = 409;

}  // namespace

void Dispatcher::SendWaiting(const std::string& upstream_id) {
  const MonotonicTime now = environment_.loop.timers().now();
  while (true) {
    // Finishing a request can modify requests_, so nothing is kept across
    // iterations.
    Upstream& upstream = upstreams_.at(upstream_id);
    if (!upstream.link->HasFreeConnection()) return;
    RefuseLateRequests(upstream);
    const auto next = DequeueNext(upstream.scheduler, now);
    if (!next.has_value()) return;
    Request& request = requests_.at(next->ticket);
    request.waiting = *next;
    if (IsRecordedInLedger(request.message) && !request.replicated) {
      request.stage = Stage::kAwaitingReplica;
      continue;
    }
    SendNow(next->ticket, upstream);
  }
}

void Dispatcher::RefuseLateRequests(Upstream& upstream) {
  for (const WaitingRequest& waiting :
       ShedLateRequests(upstream.scheduler, environment_.loop.timers().now())) {
    RemoveLedgerEntry(requests_.at(waiting.ticket).message);
    FinishUnsent(waiting.ticket, DispatchStatus::kRefused,
                 "the request could not be served in time any more",
                 kMinRetryAfter);
  }
}

void Dispatcher::SendNow(uint64_t handle, Upstream& upstream) {
  Request& request = requests_.at(handle);
  const DispatchRequest& message = request.message;
  const MonotonicTime now = BootClock::now();
  request.sent_at = now;
  const bool allowed = LeaseLeft() > Duration::zero() &&
                       upstream.link->MayRun(message.shard, now);
  const bool deadline_passed = now >= request.waiting.deadline;
  if (!allowed || deadline_passed || !upstream.link->HasFreeConnection()) {
    ReleaseSlot(request, false);
    RemoveLedgerEntry(message);
    FinishUnsent(
        handle,
        deadline_passed ? DispatchStatus::kDeadline : DispatchStatus::kNoOwner,
        deadline_passed ? "the deadline passed before the request was sent"
                        : "the key's upstream cannot be used now",
        Duration::zero());
    return;
  }
  environment_.metrics.ObserveWait(message.service, message.rank,
                                   now - request.waiting.arrived);
  request.stage = Stage::kSent;
  ClientRequest outgoing;
  outgoing.method = message.method;
  outgoing.path = message.path;
  for (const WireHeader& header : message.headers)
    outgoing.headers.push_back({header.name, header.value});
  if (message.has_key)
    outgoing.headers.push_back({kIdempotencyKeyHeader, message.id});
  outgoing.body = message.body;
  outgoing.timeout = request.waiting.deadline - now;
  const std::string request_id = message.id + "." + std::to_string(handle);
  upstream.link->Send(
      message.shard, request_id, std::move(outgoing),
      [this, handle,
       upstream_id = upstream.link->upstream()](UpstreamRequestResult result) {
        OnUpstreamResult(handle, upstream_id, std::move(result));
      });
}

// Called when the upstream has a new address. Requests sent to the old address
// get no response.
void Dispatcher::FailSentRequests(const std::string& upstream_id) {
  std::vector<uint64_t> sent;
  for (const auto& [handle, request] : requests_) {
    if (request.stage == Stage::kSent && request.upstream == upstream_id)
      sent.push_back(handle);
  }
  for (const uint64_t handle : sent) {
    const DispatchReply reply = MakeDispatchReply(
        DispatchStatus::kUpstreamLost, RequestOutcome::kUnknown,
        "the upstream was replaced while it ran the request");
    RecordOutcome(requests_.at(handle).message, reply);
    Finish(handle, reply);
  }
}

void Dispatcher::ReleaseSlot(const Request& request, bool completed) {
  const auto upstream = upstreams_.find(request.upstream);
  if (upstream == upstreams_.end()) return;
  const MonotonicTime now = BootClock::now();
  OnFinished(upstream->second.scheduler, request.waiting.rank,
             now - request.sent_at, completed, now);
}

void Dispatcher::OnUpstreamResult(uint64_t handle,
                                  const std::string& upstream_id,
                                  UpstreamRequestResult result) {
  const Request& request = requests_.at(handle);
  ReleaseSlot(request, result.complete);
  DispatchReply reply;
  if (result.complete && result.outcome == RequestOutcome::kRan) {
    reply =
        MakeDispatchReply(DispatchStatus::kAnswered, RequestOutcome::kRan, "");
    reply.http_status = result.response.status;
    for (const HttpHeader& header : result.response.headers) {
      if (header.name == "content-length" || header.name == "transfer-encoding")
        continue;
      if (header.name == kRequestIdHeader) continue;
      reply.headers.push_back({header.name, header.value});
    }
    reply.body = std::move(result.response.body);
  } else if (result.complete) {
    const bool not_owner = result.response.status == kConflictStatus;
    reply = MakeDispatchReply(
        not_owner ? DispatchStatus::kNoOwner : DispatchStatus::kRefused,
        RequestOutcome::kNotRun, "the upstream refused the request unrun");
    reply.retry_after_ms = static_cast<int32_t>(ToMilliseconds(kMinRetryAfter));
  } else if (result.silent) {
    reply = MakeDispatchReply(DispatchStatus::kUpstreamSilent, result.outcome,
                              "the upstream does not answer");
  } else if (result.response.failure == ClientFailure::kTimeout) {
    reply =
        MakeDispatchReply(DispatchStatus::kDeadline, result.outcome,
                          "the deadline passed before the upstream answered");
  } else {
    reply = MakeDispatchReply(
        DispatchStatus::kUpstreamLost, result.outcome,
        "the upstream's connection failed: " +
            std::string(ClientFailureName(result.response.failure)));
  }
  RecordOutcome(request.message, reply);
  Finish(handle, std::move(reply));
  SendWaiting(upstream_id);
}

}  // namespace mimosadeal
