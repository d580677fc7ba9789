// Permits in RequestForwarder: a request is sent to an upstream with a limit
// only with a permit, which one host of the deployment gives.

#include <algorithm>
#include <string>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/entry_metrics.h"
#include "entry/path_monitor.h"
#include "entry/permit_broker.h"
#include "entry/request_forwarder.h"
#include "entry/request_forwarder_state.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// A request waits for a permit for its owner for at most its target latency
// divided by this, so that its caller can retry in time.
constexpr int kPermitWaitDivisor = 3;
// A permit counts as used when it is given. It expires before a connection that
// takes longer could carry the request into a later second's share.
constexpr Duration kPermitLifetime = std::chrono::milliseconds(500);

}  // namespace

bool RequestForwarder::HasPermit(const PendingRequest& pending,
                                 const ListedUpstream& upstream) const {
  if (!view_.RateLimitOf(upstream).has_value() && !NeedsPlace(upstream))
    return true;
  return pending.permit.has_value() &&
         pending.permit->upstream == upstream.record.id &&
         pending.permit->incarnation == upstream.record.incarnation &&
         pending.permit->valid_until > loop_.timers().now();
}

const ListedUpstream* RequestForwarder::FindPermitted(
    const PendingRequest& pending) const {
  if (!pending.permit.has_value()) return nullptr;
  const ListedUpstream* listed =
      view_.directory().Find(pending.permit->upstream);
  const bool usable = listed != nullptr &&
                      listed->availability == UpstreamAvailability::kServing &&
                      view_.RateLimitOf(*listed).has_value() &&
                      HasPermit(pending, *listed);
  return usable ? listed : nullptr;
}

void RequestForwarder::AskForPermit(PendingRequest& pending,
                                    const ListedUpstream& upstream) {
  if (NeedsPlace(upstream)) {
    AskForPlace(pending, upstream);
    return;
  }
  const MonotonicTime now = loop_.timers().now();
  if (pending.permit_wait_until == kNever) {
    pending.permit_wait_until =
        std::min(now + pending.route->target_latency / kPermitWaitDivisor,
                 pending.give_up_at - kMinTimeToSend);
  }
  if (now >= pending.permit_wait_until) {
    Refuse(pending, RefusalReason::kLimited, kRetryAfterNoOwner);
    return;
  }
  // The owner of a key is the only one to wait for. Other services have
  // upstreams that may take the request at once.
  const Duration wait = pending.service->keyed ? pending.permit_wait_until - now
                                               : Duration::zero();
  pending.permit_asked_for = upstream.record.id;
  handlers_.ask_for_permit(
      upstream, pending.route->rank, wait,
      [this, exchange = pending.exchange,
       record = upstream.record](const PermitDecision& decision) {
        OnPermit(exchange, record, decision);
      });
}

void RequestForwarder::OnPermit(ExchangeId exchange,
                                const UpstreamRecord& upstream,
                                const PermitDecision& decision) {
  const MonotonicTime now = loop_.timers().now();
  const auto found = pending_.find(exchange);
  const bool waits =
      found != pending_.end() && found->second->permit_asked_for == upstream.id;
  metrics_.ObservePermit(decision.granted
                             ? (waits ? "granted" : "granted too late")
                             : (decision.answered ? "refused" : "no answer"));
  if (!waits) return;
  PendingRequest& pending = *found->second;
  pending.permit_asked_for.clear();
  // Without an answer no host gives permits. Otherwise the next permit for a
  // key's owner may be this host's, if its request is more urgent.
  UpstreamLoad* load = pool_.FindLoad(upstream);
  const bool none_for_others = !decision.answered || !pending.service->keyed;
  if (load != nullptr && !decision.granted && none_for_others)
    load->limited_until = now + decision.retry_after;
  if (decision.granted) {
    pending.permit =
        SendPermit{upstream.id, upstream.incarnation, now + kPermitLifetime};
    TrySend(pending);
    return;
  }
  NoteShort(upstream.service);
  log_.LogRequest("request.permit-refused",
                  {{"id", pending.request.id},
                   {"upstream", upstream.id},
                   {"rank", pending.route->rank},
                   {"answered", decision.answered},
                   {"age_ms", now - pending.received},
                   {"retry_after_ms", decision.retry_after}});
  if (pending.service->keyed) {
    Refuse(pending, RefusalReason::kLimited, decision.retry_after);
  } else {
    TrySend(pending);
  }
}

// A host without paths learns nothing of upstreams from refusals.
void RequestForwarder::NoteRefused(const UpstreamRecord& upstream,
                                   StreamEnd end) {
  if (end == StreamEnd::kRefused && !paths_.IsCutOff(upstream.service))
    handlers_.on_refused(upstream.id);
}

bool RequestForwarder::MayTryAgain(PendingRequest& pending) {
  if (pending.waiting) return true;
  if (pending.permit_asked_for.empty() || !pending.service->keyed) return false;
  const KeyRange* range = nullptr;
  const ListedUpstream* owner = FindOwner(pending, &range);
  return owner == nullptr || owner->record.id != pending.permit_asked_for;
}

}  // namespace mimosadeal
