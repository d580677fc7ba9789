// The answers of upstreams in the request flow: what is passed on, what is sent
// again, and what a lost one says of its upstream.

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/request_flow.h"
#include "entry/request_flow_state.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"

namespace mimosadeal {
namespace {

// A process that dies closes its sockets one after the other; its listener is
// gone by then.
constexpr Duration kCrashProbeDelay = std::chrono::milliseconds(50);

}  // namespace

void RequestFlow::OnResult(ExchangeId exchange, const UpstreamRecord& upstream,
                           ExchangeResult result) {
  const auto found = pending_.find(exchange);
  if (found == pending_.end()) return;
  Pending& pending = *found->second;
  pending.call = 0;
  if (result.failure != ClientFailure::kNone) {
    OnFailure(pending, upstream, result);
    return;
  }
  const MonotonicTime now = loop_.timers().now();
  UpstreamAnswer answer = protocol_.read_answer(std::move(result.response));
  UpstreamLoad* load = pool_.FindLoad(upstream);
  if (load != nullptr && answer.load.has_value())
    OnLoadReport(*load, *answer.load, now);
  if (load != nullptr && answer.rest.has_value()) {
    load->rest_until = now + *answer.rest;
    log_.LogStateChange("upstream.rests",
                        {{"upstream", upstream.id}, {"rest_ms", *answer.rest}});
  }
  if (answer.leaving) handlers_.on_leaving(upstream.id, upstream.incarnation);
  switch (answer.kind) {
    case AnswerKind::kAnswer:
      if (load != nullptr)
        OnServiceTime(*load, now - pending.sent_at, pending.ahead);
      if (pending.service->keyed)
        NoteServiceTime(pending, upstream, now - pending.sent_at);
      Deliver(pending, answer.response);
      return;
    case AnswerKind::kNotRun:
    case AnswerKind::kMisdirected:
      OnNotRun(pending, answer);
      return;
    case AnswerKind::kSpoiled:
      result.failure = ClientFailure::kMalformed;
      result.request_written = true;
      OnFailure(pending, upstream, result);
      return;
  }
}

void RequestFlow::OnNotRun(Pending& pending, const UpstreamAnswer& answer) {
  const bool misdirected = answer.kind == AnswerKind::kMisdirected;
  log_.LogRequest(
      "request.not-run",
      {{"id", pending.request.id},
       {"upstream", pending.tried.back()},
       {"misdirected", misdirected},
       {"waiting", answer.load.has_value() ? answer.load->waiting : -1},
       {"sends", pending.sends}});
  if (pending.service->keyed) {
    if (misdirected) {
      Hold(pending, RefusalReason::kNoOwner, kMisdirectedPause);
      return;
    }
    if (answer.rest.has_value()) {
      RefuseForRest(pending, loop_.timers().now() + *answer.rest);
      return;
    }
    const ListedUpstream* owner = view_.directory().Find(pending.tried.back());
    const Duration wait =
        owner == nullptr
            ? kRetryAfterNoOwner
            : ExpectedWait(pool_.Load(owner->record), loop_.timers().now());
    Refuse(pending, RefusalReason::kNotExecuted,
           std::max(wait, kRetryAfterNoOwner));
    return;
  }
  Try(pending);
}

void RequestFlow::OnFailure(Pending& pending, const UpstreamRecord& upstream,
                            const ExchangeResult& result) {
  log_.LogRequest("request.failed-at-upstream",
                  {{"id", pending.request.id},
                   {"upstream", upstream.id},
                   {"failure", ClientFailureName(result.failure)},
                   {"end", StreamEndName(result.end)},
                   {"written", result.request_written},
                   {"reused", result.reused},
                   {"sends", pending.sends}});
  if (!result.request_written) {
    --pending.sends;  // Nothing arrived that a retry budget would count.
    // A kept connection that has just ended says nothing of the upstream.
    if (pending.service->keyed && !result.reused) {
      Hold(pending, RefusalReason::kNoOwner, kMisdirectedPause);
    } else {
      Try(pending);
    }
    return;
  }
  if (result.failure == ClientFailure::kClosed && !result.response_started)
    CheckForCrash(pending, upstream);
  if (pending.idempotent() && pending.sends < pending.route->max_upstreams) {
    Try(pending);
    return;
  }
  Refuse(pending, RefusalReason::kLostAnswer);
}

void RequestFlow::CheckForCrash(const Pending& pending,
                                const UpstreamRecord& upstream) {
  loop_.timers().After(
      kCrashProbeDelay,
      [this, fingerprint = pending.fingerprint, address = upstream.address,
       life = upstream.id + "/" + std::to_string(upstream.incarnation)] {
        ProbeForCrash(fingerprint, address, life);
      });
}

void RequestFlow::ProbeForCrash(uint64_t fingerprint,
                                const SocketAddress& address,
                                const std::string& life) {
  // The upstream has probably died if nothing listens at its address any more;
  // a connection that was merely reset says nothing.
  auto probe = std::make_shared<std::unique_ptr<TcpStream>>();
  TcpStreamHandlers handlers;
  handlers.on_connected = [this, probe] {
    loop_.Post([probe] { probe->reset(); });
  };
  handlers.on_data = [](std::string_view) {};
  handlers.on_end = [this, probe, fingerprint, life](StreamEnd end) {
    loop_.Post([probe] { probe->reset(); });
    if (end != StreamEnd::kRefused) return;
    NoteCrash(fingerprint, life);
    // Earlier deaths too: a report about them may have been lost.
    for (const std::string& known : suspects_.LivesOf(fingerprint))
      handlers_.on_crash(fingerprint, known);
  };
  auto stream = TcpStream::Connect(loop_, address, std::move(handlers));
  if (stream.has_value()) *probe = std::move(stream.value());
}

void RequestFlow::NoteCrash(uint64_t fingerprint,
                            const std::string& upstream_life) {
  const MonotonicTime now = loop_.timers().now();
  if (!suspects_.Note(fingerprint, upstream_life, now)) return;
  log_.LogStateChange("suspect.noted",
                      {{"fingerprint", fingerprint},
                       {"upstream_life", upstream_life},
                       {"refused", suspects_.Refuses(fingerprint, now)}});
}

}  // namespace mimosadeal
