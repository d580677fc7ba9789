// Second tries in RequestForwarder: a repeatable request whose response is late
// is sent once more, and the first whole response goes to the caller. The
// decisions are those of balance/hedge_decision.

#include <algorithm>
#include <string>
#include <utility>

#include "balance/hedge_decision.h"
#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/entry_metrics.h"
#include "entry/request_forwarder.h"
#include "entry/request_forwarder_state.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// After a refusal the service counts as short of room for this long. A queue of
// an upstream is worked off in about a second.
constexpr Duration kShortMemory = std::chrono::seconds(2);
// No second try is sent while calls use this part of the connections.
constexpr size_t kMaxCallsForHedgeDivisor = 2;
constexpr double kMedian = 0.5;

}  // namespace

double RequestForwarder::HedgePercent() const {
  double highest = 0;
  const MonotonicTime now = loop_.timers().now();
  for (const auto& [service, limit] : hedge_limits_) {
    const HedgeCounts counts = RecentCounts(limit, now);
    if (counts.requests > 0)
      highest = std::max(highest, 100.0 * counts.hedges / counts.requests);
  }
  return highest;
}

void RequestForwarder::PlanSecondTry(PendingRequest& pending,
                                     const ListedUpstream& upstream,
                                     bool relayed) {
  loop_.timers().Cancel(std::exchange(pending.hedge.timer, 0));
  if (pending.sends == 1) pending.hedge.first_sent_at = pending.sent_at;
  if (options_.hedge_share <= 0 || !pending.idempotent()) return;
  HedgePlanInput input;
  input.share = options_.hedge_share;
  input.repeatable = pending.idempotent();
  input.first_try = pending.sends == 1 && !pending.hedge.sent;
  input.relayed = relayed;
  input.suspect = !suspects_.CrashedIncarnations(pending.fingerprint).empty();
  input.stopping = refuse_from_ != kForever;
  const auto known = latencies_.find(pending.route->name);
  if (known != latencies_.end())
    input.late_after = LatencyAt(known->second, LateQuantile(input.share));
  input.same_upstream = pending.service->keyed;
  input.upstream_service_time =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          pool_.LoadOf(upstream.record).service_seconds));
  const HedgePlan plan = PlanHedge(input);
  if (plan.refusal != HedgeRefusal::kNone) return;
  pending.hedge.timer = loop_.timers().After(
      plan.after, [this, exchange = pending.exchange] { OnLate(exchange); });
}

void RequestForwarder::OnLate(ExchangeId exchange) {
  const auto found = pending_.find(exchange);
  if (found == pending_.end()) return;
  PendingRequest& pending = *found->second;
  pending.hedge.timer = 0;
  if (pending.call == 0 || pending.hedge.sent) return;
  const ListedUpstream* upstream = nullptr;
  if (pending.service->keyed) {
    const KeyRange* range = nullptr;
    upstream = FindOwner(pending, &range);
  } else {
    NextChance next;
    upstream = FindBestUpstream(pending, next);
  }
  const HedgeRefusal refusal = DecideSecondTry(pending, upstream);
  if (refusal == HedgeRefusal::kNone) {
    SendSecondTry(pending, *upstream);
    return;
  }
  const std::string_view reason = NameOf(kHedgeRefusalNames, refusal);
  metrics_.ObserveHedgeRefusal(reason);
  log_.LogRequest("request.not-hedged",
                  {{"id", pending.request.id},
                   {"route", pending.route->name},
                   {"upstream", pending.called},
                   {"reason", reason},
                   {"late_ms", loop_.timers().now() - pending.sent_at}});
}

HedgeRefusal RequestForwarder::DecideSecondTry(const PendingRequest& pending,
                                               const ListedUpstream* upstream) {
  const MonotonicTime now = loop_.timers().now();
  if (refuse_from_ != kForever) return HedgeRefusal::kStopping;
  if (!suspects_.CrashedIncarnations(pending.fingerprint).empty())
    return HedgeRefusal::kSuspect;
  const std::string& service = pending.service->name;
  const bool tried_before =
      upstream != nullptr &&
      std::find(pending.tried.begin(), pending.tried.end(),
                upstream->record.id) != pending.tried.end();
  HedgeInput input;
  input.time_left = pending.give_up_at - now;
  input.typical =
      LatencyAt(latencies_[pending.route->name], kMedian).value_or(Duration());
  input.service_short =
      IsShort(service) ||
      pool_.calls() >= pool_.max_connections() / kMaxCallsForHedgeDivisor;
  input.attempts_left =
      tried_before ||
      pending.tried.size() < static_cast<size_t>(pending.route->max_upstreams);
  input.target = DescribeTarget(upstream);
  input.share_left =
      AllowsHedge(hedge_limits_[service], options_.hedge_share, now);
  input.budget_left =
      HasTokenForHedge(retry_budgets_[service], options_.retry_policy, now);
  return DecideHedge(input, now);
}

HedgeTarget RequestForwarder::DescribeTarget(
    const ListedUpstream* upstream) const {
  HedgeTarget target;
  if (upstream == nullptr) return target;
  const UpstreamLoad* load = pool_.FindLoad(upstream->record);
  if (load == nullptr) return target;
  const MonotonicTime now = loop_.timers().now();
  const UpstreamRecord& record = upstream->record;
  target.load = *load;
  target.usable = upstream->availability == UpstreamAvailability::kServing &&
                  view_.directory().FindLapse(record.id) == nullptr &&
                  load->connect_backoff_until <= now &&
                  load->rest_until <= now && !UsesRelay(*upstream);
  target.cold = record.warmup_left > now - upstream->availability_since;
  target.limited =
      view_.RateLimitOf(*upstream).has_value() || NeedsPlace(*upstream);
  return target;
}

void RequestForwarder::SendSecondTry(PendingRequest& pending,
                                     const ListedUpstream& upstream) {
  const MonotonicTime now = loop_.timers().now();
  const std::string id = upstream.record.id;
  SpendOnRetry(retry_budgets_[pending.service->name], options_.retry_policy,
               now);
  CountHedge(hedge_limits_[pending.service->name], now);
  metrics_.ObserveHedge("sent");
  log_.LogRequest("request.hedged", {{"id", pending.request.id},
                                     {"route", pending.route->name},
                                     {"first", pending.called},
                                     {"upstream", id},
                                     {"late_ms", now - pending.sent_at},
                                     {"extra_percent", HedgePercent()}});
  const UpstreamLoad& load = pool_.LoadOf(upstream.record);
  HedgeState& hedge = pending.hedge;
  hedge.sent = true;
  hedge.called = id;
  hedge.newly_tried = std::find(pending.tried.begin(), pending.tried.end(),
                                id) == pending.tried.end();
  if (hedge.newly_tried) pending.tried.push_back(id);
  ++pending.sends;
  hedge.second_try = ++pending.tries;
  hedge.try_number = hedge.second_try;
  hedge.sent_at = now;
  hedge.waiting_ahead =
      static_cast<int>(ExpectedBacklog(load, now)) - load.slots + 1;
  ExchangeRequest request =
      protocol_.write_request(pending.request, pending.give_up_at - now, id);
  request.timeout = pending.give_up_at - now + std::chrono::seconds(1);
  request.await_acceptance = true;
  request.send_by = UsableUntil(upstream);
  // The first try's connection may be the cause, and a late response to it must
  // not be taken for the second one's.
  request.require_new_connection = !hedge.newly_tried;
  hedge.call =
      pool_.Send(upstream.record, std::move(request),
                 [this, exchange = pending.exchange, number = hedge.try_number,
                  record = upstream.record](ExchangeResult result) {
                   OnResult(exchange, number, record, std::move(result));
                 });
}

void RequestForwarder::SwapTries(PendingRequest& pending) {
  HedgeState& other = pending.hedge;
  std::swap(pending.try_number, other.try_number);
  std::swap(pending.call, other.call);
  std::swap(pending.called, other.called);
  std::swap(pending.newly_tried, other.newly_tried);
  std::swap(pending.sent_at, other.sent_at);
  std::swap(pending.waiting_ahead, other.waiting_ahead);
}

bool RequestForwarder::ContinuesWithOtherTry(PendingRequest& pending,
                                             const UpstreamRecord& upstream,
                                             const ExchangeResult& result,
                                             const UpstreamResponse* answer) {
  HedgeState& hedge = pending.hedge;
  if (hedge.call == 0) return false;
  const bool stated_not_run =
      answer != nullptr && answer->kind != ResponseKind::kCorrupt;
  const bool written = answer != nullptr || result.request_written;
  if (written && !stated_not_run) pending.may_have_run = true;
  const bool second = pending.try_number == hedge.second_try;
  if (second) metrics_.ObserveHedge("failed");
  log_.LogRequest("request.try-ended",
                  {{"id", pending.request.id},
                   {"upstream", upstream.id},
                   {"second", second},
                   {"failure", ClientFailureName(result.failure)},
                   {"not_run", stated_not_run || !written},
                   {"other", hedge.called}});
  const bool closed_early = result.failure == ClientFailure::kClosed &&
                            !result.response_started && written;
  if (closed_early) CheckForCrash(pending.fingerprint, upstream);
  if (!written && hedge.called == pending.called) {
    --pending.sends;  // The other try is at this upstream.
  } else if (!written) {
    NoteUnsent(pending);
  }
  SwapTries(pending);
  return true;
}

void RequestForwarder::EndOtherTry(PendingRequest& pending) {
  if (!pending.hedge.sent) return;
  const bool second_won = pending.try_number == pending.hedge.second_try;
  const bool other_in_flight = pending.hedge.call != 0;
  if (!second_won && !other_in_flight) return;
  log_.LogRequest("request.hedge-ended",
                  {{"id", pending.request.id},
                   {"winner", pending.called},
                   {"second_won", second_won},
                   {"age_ms", loop_.timers().now() - pending.received}});
  if (!other_in_flight) {
    metrics_.ObserveHedge("won");
    return;
  }
  // Without this a slow upstream whose requests are cancelled would never be
  // known as slow. The owner of a key is judged by its responses alone.
  const ListedUpstream* listed = view_.directory().Find(pending.hedge.called);
  UpstreamLoad* load =
      listed == nullptr ? nullptr : pool_.FindLoad(listed->record);
  const Duration elapsed = loop_.timers().now() - pending.hedge.sent_at;
  if (second_won && load != nullptr && !pending.service->keyed &&
      ToSeconds(elapsed) > load->service_seconds) {
    OnServiceTime(*load, elapsed, pending.hedge.waiting_ahead);
  }
  CancelOtherTry(pending, second_won ? "won" : "lost");
}

bool RequestForwarder::CancelOtherTry(PendingRequest& pending,
                                      std::string_view outcome) {
  if (pending.hedge.call == 0) return false;
  metrics_.ObserveHedge(outcome);
  return pool_.Cancel(std::exchange(pending.hedge.call, 0));
}

void RequestForwarder::NoteLatency(const PendingRequest& pending) {
  if (options_.hedge_share <= 0 || !pending.idempotent()) return;
  if (pending.hedge.first_sent_at == kNever) return;
  const MonotonicTime now = loop_.timers().now();
  ObserveLatency(latencies_[pending.route->name],
                 now - pending.hedge.first_sent_at, now);
}

void RequestForwarder::NoteRefusal(const PendingRequest& pending,
                                   RefusalReason reason) {
  if (pending.service == nullptr) return;
  switch (reason) {
    case RefusalReason::kNoOwner:
    case RefusalReason::kNoUpstream:
    case RefusalReason::kOverloaded:
    case RefusalReason::kNotExecuted:
    case RefusalReason::kResting:
    case RefusalReason::kLimited:
      NoteShort(pending.service->name);
      return;
    default:
      return;
  }
}

void RequestForwarder::NoteShort(const std::string& service) {
  short_until_[service] = loop_.timers().now() + kShortMemory;
}

bool RequestForwarder::IsShort(const std::string& service) const {
  const auto known = short_until_.find(service);
  if (known != short_until_.end() && known->second > loop_.timers().now())
    return true;
  return std::any_of(pending_.begin(), pending_.end(), [&](const auto& entry) {
    const PendingRequest& pending = *entry.second;
    return pending.service != nullptr && pending.service->name == service &&
           (pending.waiting || !pending.permit_asked_for.empty());
  });
}

}  // namespace mimosadeal
