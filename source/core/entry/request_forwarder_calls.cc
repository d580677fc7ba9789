// Calls of RequestForwarder to upstreams, by this host or through another one:
// starting and cancelling them, and the log lines about them.

#include <algorithm>
#include <optional>
#include <utility>

#include "balance/owner_places.h"
#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/entry_metrics.h"
#include "entry/path_monitor.h"
#include "entry/request_forwarder.h"
#include "entry/request_forwarder_state.h"
#include "fleet/propagation.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// After a helper did not reach an upstream either. A host notices within this
// time that its own paths are back.
constexpr Duration kRelayBackoff = std::chrono::milliseconds(500);
// While the store is away, every request is sent on an old copy.
constexpr Duration kOldCopyLogInterval = std::chrono::seconds(1);

}  // namespace

void RequestForwarder::Send(PendingRequest& pending,
                            const ListedUpstream& upstream) {
  const MonotonicTime now = loop_.timers().now();
  const std::string id = upstream.record.id;
  const bool tried_before =
      std::find(pending.tried.begin(), pending.tried.end(), id) !=
      pending.tried.end();
  if (!tried_before) pending.tried.push_back(id);
  pending.called = id;
  pending.newly_tried = !tried_before;
  ++pending.sends;
  pending.try_number = ++pending.tries;
  pending.sent_at = now;
  const UpstreamLoad& load = pool_.LoadOf(upstream.record);
  pending.waiting_ahead =
      static_cast<int>(ExpectedBacklog(load, now)) - load.slots + 1;
  ExchangeRequest request =
      protocol_.write_request(pending.request, pending.give_up_at - now, id);
  request.timeout = pending.give_up_at - now + std::chrono::seconds(1);
  request.await_acceptance = true;
  request.send_by = UsableUntil(upstream);
  if (pending.permit.has_value())
    request.send_by = std::min(request.send_by, pending.permit->valid_until);
  pending.permit.reset();
  pending.send_by = request.send_by;
  UsePlace(pending, upstream.record);
  request.require_new_connection = tried_before && !pending.idempotent();
  if (view_.RateLimitOf(upstream).has_value())
    NoteSentToLimited(pending, upstream);
  if (const RegistrationLapse* lapse = view_.directory().FindLapse(id))
    NoteSentToLapsed(pending, *lapse);
  NoteCopyAge(pending, upstream);
  const ExchangeId exchange = pending.exchange;
  std::optional<ListedUpstream> leaving;
  if (upstream.leaving_since != kNever) leaving = upstream;
  const bool evacuated = view_.IsEvacuated(upstream.record.zone);
  const bool relayed = UsesRelay(upstream);
  PlanSecondTry(pending, upstream, relayed);
  StartCall(pending, upstream.record, std::move(request), relayed,
            [this, exchange, number = pending.try_number, leaving, evacuated,
             chosen_at = now, record = upstream.record](ExchangeResult result) {
              const auto found = pending_.find(exchange);
              if (leaving.has_value() && found != pending_.end())
                LogSentToLeaving(*found->second, *leaving, chosen_at, result);
              if (evacuated && found != pending_.end())
                LogSentToEvacuated(*found->second, record, chosen_at, result);
              OnResult(exchange, number, record, std::move(result));
            });
}

void RequestForwarder::StartCall(PendingRequest& pending,
                                 const UpstreamRecord& upstream,
                                 ExchangeRequest request, bool relayed,
                                 std::function<void(ExchangeResult)> callback) {
  if (!relayed) {
    pending.call =
        pool_.Send(upstream, std::move(request), std::move(callback));
    return;
  }
  log_.LogRequest("request.relayed",
                  {{"id", pending.request.id},
                   {"upstream", upstream.id},
                   {"age_ms", loop_.timers().now() - pending.received},
                   {"sends", pending.sends}});
  ++pool_.LoadOf(upstream).in_flight;
  pending.relay_call = relay_.Send(
      upstream, std::move(request), {pending.request.id, pending.fingerprint},
      [this, upstream, callback = std::move(callback)](RelayResult result) {
        UpstreamLoad* load = pool_.FindLoad(upstream);
        if (load != nullptr && load->in_flight > 0) --load->in_flight;
        if (load != nullptr && result.upstream_unreached)
          load->relay_backoff_until = loop_.timers().now() + kRelayBackoff;
        callback(std::move(result.exchange));
      });
}

bool RequestForwarder::CancelCall(PendingRequest& pending) {
  const bool other_received =
      CancelOtherTry(pending, "cancelled") || pending.may_have_run;
  const PoolCallId call = std::exchange(pending.call, 0);
  const RelayCallId relay_call = std::exchange(pending.relay_call, 0);
  if (call != 0) return pool_.Cancel(call) || other_received;
  if (relay_call == 0) return other_received;
  relay_.Cancel(relay_call);
  const ListedUpstream* listed = view_.directory().Find(pending.called);
  UpstreamLoad* load =
      listed == nullptr ? nullptr : pool_.FindLoad(listed->record);
  if (load != nullptr && load->in_flight > 0) --load->in_flight;
  return true;
}

void RequestForwarder::NoteSentToLimited(const PendingRequest& pending,
                                         const ListedUpstream& upstream) {
  const MonotonicTime now = loop_.timers().now();
  const Duration cold = view_.ColdLeft(upstream);
  if (cold > Duration::zero()) {
    metrics_.ObserveSentToCold();
    log_.LogRequest("request.sent-to-cold",
                    {{"id", pending.request.id},
                     {"upstream", upstream.record.id},
                     {"per_second", *view_.RateLimitOf(upstream)},
                     {"cold_ms", cold},
                     {"age_ms", now - pending.received},
                     {"sends", pending.sends}});
    return;
  }
  metrics_.ObserveSentToLimited();
  log_.LogRequest("request.sent-to-limited",
                  {{"id", pending.request.id},
                   {"upstream", upstream.record.id},
                   {"per_second", *upstream.limit.per_second},
                   {"stated_ms_before", now - upstream.limit.stated_at},
                   {"age_ms", now - pending.received},
                   {"sends", pending.sends}});
}

void RequestForwarder::NoteCopyAge(const PendingRequest& pending,
                                   const ListedUpstream& upstream) {
  const MonotonicTime now = loop_.timers().now();
  const Duration age = now - view_.current_at(ViewKind::kRegistry);
  metrics_.ObservePropagation(PropagationPart::kSent, age);
  if (age <= options_.longest_confirmation_age ||
      now - old_copy_logged_at_ < kOldCopyLogInterval) {
    return;
  }
  old_copy_logged_at_ = now;
  log_.LogRequest(
      "request.sent-on-old-copy",
      {{"id", pending.request.id},
       {"upstream", upstream.record.id},
       {"copy_age_ms", age},
       {"fed", view_.fed()},
       {"store_reachable", view_.store_reachable()},
       {"registry",
        view_.Revisions().at(static_cast<size_t>(ViewKind::kRegistry))}});
}

void RequestForwarder::NoteSentToLapsed(const PendingRequest& pending,
                                        const RegistrationLapse& lapse) {
  const MonotonicTime now = loop_.timers().now();
  metrics_.ObserveSentToLapsed(now - lapse.since);
  log_.LogRequest(
      "request.sent-to-lapsed",
      {{"id", pending.request.id},
       {"upstream", pending.tried.back()},
       {"left_ms_before_at_most", now - lapse.changed_after},
       {"heard_ms_before", now - lapse.since},
       {"registry",
        view_.Revisions().at(static_cast<size_t>(ViewKind::kRegistry))}});
}

void RequestForwarder::LogSentToLeaving(const PendingRequest& pending,
                                        const ListedUpstream& upstream,
                                        MonotonicTime chosen_at,
                                        const ExchangeResult& result) {
  if (result.sent_at == kNever) return;
  metrics_.ObserveSentToLeaving(result.sent_at - upstream.leaving_since);
  log_.LogRequest(
      "request.sent-to-leaving",
      {{"id", pending.request.id},
       {"upstream", upstream.record.id},
       {"left_ms_before_at_most", result.sent_at - upstream.left_after},
       {"heard_ms_before", result.sent_at - upstream.leaving_since},
       {"chosen_ms_before", result.sent_at - chosen_at},
       {"sent_ms_ago", loop_.timers().now() - result.sent_at},
       {"registry",
        view_.Revisions().at(static_cast<size_t>(ViewKind::kRegistry))}});
}

void RequestForwarder::NoteUnsent(PendingRequest& pending) {
  --pending.sends;
  if (pending.newly_tried) std::erase(pending.tried, pending.called);
}

bool RequestForwarder::IsUnsent(const PendingRequest& pending) const {
  return pending.call != 0 && pending.hedge.call == 0 &&
         pool_.IsConnecting(pending.call);
}

void RequestForwarder::DecideUnsentAgain() {
  std::vector<ExchangeId> outdated;
  for (const auto& [exchange, pending] : pending_) {
    if (!IsUnsent(*pending)) continue;
    const ListedUpstream* listed = view_.directory().Find(pending->called);
    const MonotonicTime until =
        listed == nullptr ? kNever : UsableUntil(*listed);
    if (until < pending->send_by) outdated.push_back(exchange);
  }
  for (const ExchangeId exchange : outdated) {
    const auto found = pending_.find(exchange);
    if (found == pending_.end() || !IsUnsent(*found->second)) continue;
    PendingRequest& pending = *found->second;
    log_.LogRequest(
        "request.decided-again",
        {{"id", pending.request.id},
         {"upstream", pending.called},
         {"chosen_ms_before", loop_.timers().now() - pending.sent_at}});
    CancelCall(pending);
    NoteUnsent(pending);
    ReturnPlace(pending, PlaceOutcome::kNotSent, std::nullopt);
    TrySend(pending);
  }
}

void RequestForwarder::OnHelper() {
  std::vector<ExchangeId> stuck;
  for (const auto& [exchange, pending] : pending_) {
    if ((IsUnsent(*pending) || pending->waiting) &&
        paths_.IsCutOff(pending->service->name) &&
        relay_.HasHelper(pending->service->name)) {
      stuck.push_back(exchange);
    }
  }
  for (const ExchangeId exchange : stuck) {
    const auto found = pending_.find(exchange);
    if (found == pending_.end()) continue;
    PendingRequest& pending = *found->second;
    if (pending.call != 0) {
      CancelCall(pending);
      NoteUnsent(pending);
    }
    loop_.timers().Cancel(pending.wait_timer);
    TrySend(pending);
  }
}

}  // namespace mimosadeal
