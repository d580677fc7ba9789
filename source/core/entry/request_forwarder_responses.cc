// Upstreams' responses in RequestForwarder: which are returned to the caller,
// which requests are retried, and how a crash of the upstream is detected.

#include <algorithm>
#include <optional>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/path_monitor.h"
#include "entry/request_forwarder.h"
#include "entry/request_forwarder_state.h"
#include "entry/room_borrower.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"

namespace mimosadeal {
namespace {

// A process that crashes closes its sockets one after the other. After this
// time its listening socket is closed, too.
constexpr Duration kCrashProbeDelay = std::chrono::milliseconds(50);
// In this time the path monitor finds out whether other upstreams of the
// service accept connections.
constexpr Duration kPathCheckTime = std::chrono::milliseconds(500);
// The registration of an upstream that crashed goes within three of its
// reports.
constexpr Duration kCrashConfirmTime = std::chrono::seconds(3);
// Longer than any caller waits, because the request should not be retried.
constexpr Duration kRetryAfterSuspect = std::chrono::seconds(30);
// A higher limit, per second, counts as none: an upstream gets fewer requests,
// and asking for permits would only cost time.
constexpr double kMaxLimit = 1000;
// Failures come sooner than other responses and say nothing about their times.
constexpr int kServerErrors = 500;

}  // namespace

void RequestForwarder::OnResult(ExchangeId exchange, int try_number,
                                const UpstreamRecord& upstream,
                                ExchangeResult result) {
  const auto found = pending_.find(exchange);
  if (found == pending_.end()) return;
  PendingRequest& pending = *found->second;
  if (pending.hedge.call != 0 && pending.hedge.try_number == try_number)
    SwapTries(pending);
  loop_.timers().Cancel(std::exchange(pending.hedge.timer, 0));
  pending.call = 0;
  const bool relayed = std::exchange(pending.relay_call, 0) != 0;
  NoteRoomFreed(pending);
  if (result.failure != ClientFailure::kNone) {
    NoteOwnerFailure(pending, upstream, result);
    if (ContinuesWithOtherTry(pending, upstream, result, nullptr)) return;
    OnFailure(pending, upstream, result, relayed);
    return;
  }
  const MonotonicTime now = loop_.timers().now();
  UpstreamResponse answer = protocol_.read_response(std::move(result.response));
  UpstreamLoad* load = pool_.FindLoad(upstream);
  if (load != nullptr && answer.load.has_value())
    OnLoadReport(*load, *answer.load, now);
  if (load != nullptr && answer.rest.has_value()) {
    load->rest_until = now + *answer.rest;
    log_.LogStateChange("upstream.rests",
                        {{"upstream", upstream.id}, {"rest_ms", *answer.rest}});
  }
  NoteStatedLimit(pending, upstream, answer);
  NoteOwnerAnswer(pending, upstream, answer);
  if (answer.leaving) handlers_.on_leaving(upstream.id, upstream.incarnation);
  if (answer.kind == ResponseKind::kNotRun) NoteShort(upstream.service);
  if (answer.kind != ResponseKind::kUpstreamResponse &&
      ContinuesWithOtherTry(pending, upstream, result, &answer)) {
    return;
  }
  switch (answer.kind) {
    case ResponseKind::kUpstreamResponse:
      EndOtherTry(pending);
      if (pending.trial) {
        suspects_.Clear(pending.fingerprint);
        log_.LogStateChange(
            "suspect.cleared",
            {{"fingerprint", pending.fingerprint}, {"upstream", upstream.id}});
      }
      if (answer.response.status < kServerErrors) NoteLatency(pending);
      if (load != nullptr)
        OnServiceTime(*load, now - pending.sent_at, pending.waiting_ahead);
      if (pending.service->keyed)
        NoteServiceTime(pending, upstream, now - pending.sent_at);
      if (UsesRoom(pending))
        room_->NoteServed(pending.service->name, now - pending.sent_at);
      Deliver(pending, std::move(answer.response));
      return;
    case ResponseKind::kNotRun:
    case ResponseKind::kMisdirected:
      OnNotRun(pending, answer);
      return;
    case ResponseKind::kCorrupt:
      result.failure = ClientFailure::kMalformed;
      result.request_written = true;
      OnFailure(pending, upstream, result, relayed);
      return;
  }
}

// A refusal does not show that the limit has ended, and a misdirected request
// may have reached another upstream. Neither does the response to a request
// that was sent before the limit was stated.
void RequestForwarder::NoteStatedLimit(const PendingRequest& pending,
                                       const UpstreamRecord& upstream,
                                       const UpstreamResponse& answer) {
  const bool ran = answer.kind == ResponseKind::kUpstreamResponse;
  if (!ran && answer.kind != ResponseKind::kNotRun) return;
  if (!answer.limit.malformed.empty()) {
    log_.LogRequest("upstream.limit-malformed",
                    {{"id", pending.request.id},
                     {"upstream", upstream.id},
                     {"limit", answer.limit.malformed}});
    return;
  }
  const ListedUpstream* listed = view_.directory().Find(upstream.id);
  const bool ended = ran && listed != nullptr &&
                     listed->limit.per_second.has_value() &&
                     pending.sent_at > listed->limit.stated_at;
  std::optional<double> limit = answer.limit.per_second;
  if (limit.has_value() && *limit > kMaxLimit) limit.reset();
  if (!limit.has_value() && !ended) return;
  handlers_.on_limit(upstream.id, upstream.incarnation,
                     {limit, loop_.timers().now()});
}

void RequestForwarder::OnNotRun(PendingRequest& pending,
                                const UpstreamResponse& answer) {
  const bool misdirected = answer.kind == ResponseKind::kMisdirected;
  log_.LogRequest(
      "request.not-run",
      {{"id", pending.request.id},
       {"upstream", pending.called},
       {"misdirected", misdirected},
       {"waiting", answer.load.has_value() ? answer.load->waiting : -1},
       {"sends", pending.sends}});
  if (pending.service->keyed) {
    if (misdirected) {
      WaitForOwner(pending, RefusalReason::kNoOwner, kOwnerRecheckDelay);
      return;
    }
    if (answer.rest.has_value()) {
      RefuseUntil(pending, {loop_.timers().now() + *answer.rest,
                            RefusalReason::kResting});
      return;
    }
    const ListedUpstream* owner = view_.directory().Find(pending.called);
    const Duration wait =
        owner == nullptr
            ? kRetryAfterNoOwner
            : ExpectedWait(pool_.LoadOf(owner->record), loop_.timers().now());
    Refuse(pending, RefusalReason::kNotExecuted,
           std::max(wait, kRetryAfterNoOwner));
    return;
  }
  TrySend(pending);
}

void RequestForwarder::OnFailure(PendingRequest& pending,
                                 const UpstreamRecord& upstream,
                                 const ExchangeResult& result, bool relayed) {
  log_.LogRequest("request.failed-at-upstream",
                  {{"id", pending.request.id},
                   {"upstream", upstream.id},
                   {"failure", ClientFailureName(result.failure)},
                   {"end", StreamEndName(result.end)},
                   {"written", result.request_written},
                   {"reused", result.reused},
                   {"relayed", relayed},
                   {"sends", pending.sends}});
  if (!result.request_written) {
    if (!relayed) NoteRefused(upstream, result.end);
    if (paths_.IsCutOff(upstream.service) && !relayed) {
      NoteUnsent(pending);  // Another host may reach the upstream.
    } else {
      --pending.sends;  // A retry uses no retry budget.
    }
    // That an idle connection was closed does not show that the upstream
    // failed.
    if (result.reused && UsesRoom(pending) && pending.newly_tried)
      std::erase(pending.tried, pending.called);
    if (pending.service->keyed && !result.reused) {
      WaitForOwner(pending, RefusalReason::kNoOwner, kOwnerRecheckDelay);
    } else {
      TrySend(pending);
    }
    return;
  }
  pending.may_have_run = true;
  // A host that relayed the request checks that itself.
  const bool ended_early = result.failure == ClientFailure::kClosed &&
                           !result.response_started && !relayed;
  if (ended_early) CheckForCrash(pending.fingerprint, upstream);
  if (pending.idempotent() && !pending.trial &&
      pending.sends < pending.route->max_upstreams) {
    TrySend(pending);
    return;
  }
  Refuse(pending, RefusalReason::kLostAnswer);
}

bool RequestForwarder::PassesSuspects(PendingRequest& pending) {
  const SuspectDecision decision =
      suspects_.Decide(pending.fingerprint, pending.received);
  if (decision.verdict == SuspectVerdict::kRefuse) {
    const Duration retry_after = decision.next_trial == kNever
                                     ? kRetryAfterSuspect
                                     : decision.next_trial - pending.received;
    Refuse(pending, RefusalReason::kSuspect, retry_after);
    return false;
  }
  pending.trial = decision.verdict == SuspectVerdict::kTrial;
  if (pending.trial) {
    log_.LogStateChange("suspect.trial", {{"fingerprint", pending.fingerprint},
                                          {"id", pending.request.id}});
  }
  return true;
}

void RequestForwarder::CheckForCrash(uint64_t fingerprint,
                                     const UpstreamRecord& upstream) {
  loop_.timers().After(kCrashProbeDelay, [this, fingerprint, upstream] {
    ProbeForCrash(fingerprint, upstream);
  });
}

void RequestForwarder::ProbeForCrash(uint64_t fingerprint,
                                     const UpstreamRecord& upstream) {
  // If a new connection is refused, the upstream has crashed, or this host has
  // lost its path to it. The reset of a connection alone shows neither.
  auto probe = std::make_shared<std::unique_ptr<TcpStream>>();
  TcpStreamHandlers handlers;
  handlers.on_connected = [this, probe] {
    loop_.Post([probe] { probe->reset(); });
  };
  handlers.on_data = [](std::string_view) {};
  handlers.on_end = [this, probe, fingerprint, upstream](StreamEnd end) {
    loop_.Post([probe] { probe->reset(); });
    if (end != StreamEnd::kRefused) return;
    paths_.OnConnectFailed(upstream, true);
    NoteRefused(upstream, end);
    loop_.timers().After(kPathCheckTime, [this, fingerprint, upstream,
                                          refused_at = loop_.timers().now()] {
      DecideOnCrash(fingerprint, upstream, refused_at);
    });
  };
  auto stream =
      TcpStream::Connect(loop_, upstream.address, std::move(handlers));
  if (stream.has_value()) *probe = std::move(stream.value());
}

void RequestForwarder::DecideOnCrash(uint64_t fingerprint,
                                     const UpstreamRecord& upstream,
                                     MonotonicTime refused_at) {
  const MonotonicTime now = loop_.timers().now();
  const std::string incarnation =
      upstream.id + "/" + std::to_string(upstream.incarnation);
  const ListedUpstream* listed = view_.directory().Find(upstream.id);
  const bool ended = listed == nullptr ||
                     listed->record.incarnation != upstream.incarnation ||
                     listed->availability == UpstreamAvailability::kMissing;
  // Later, the paths may be back.
  const bool others_reached =
      now - refused_at < 2 * kPathCheckTime &&
      paths_.ConnectedSince(upstream.service, refused_at);
  if (!ended && !others_reached) {
    if (now - refused_at < kCrashConfirmTime) {
      loop_.timers().After(kPathCheckTime,
                           [this, fingerprint, upstream, refused_at] {
                             DecideOnCrash(fingerprint, upstream, refused_at);
                           });
      return;
    }
    log_.LogStateChange(
        "suspect.unconfirmed",
        {{"fingerprint", fingerprint}, {"upstream_life", incarnation}});
    return;
  }
  NoteCrash(fingerprint, incarnation);
  // Also reports earlier crashes, because a report about them may have been
  // lost.
  for (const std::string& known : suspects_.CrashedIncarnations(fingerprint))
    handlers_.on_crash(fingerprint, known);
}

void RequestForwarder::NoteCrash(uint64_t fingerprint,
                                 const std::string& upstream_incarnation) {
  const MonotonicTime now = loop_.timers().now();
  if (!suspects_.RecordCrash(fingerprint, upstream_incarnation, now)) return;
  log_.LogStateChange("suspect.noted",
                      {{"fingerprint", fingerprint},
                       {"upstream_life", upstream_incarnation},
                       {"refused", suspects_.ShouldRefuse(fingerprint, now)}});
}

}  // namespace mimosadeal
