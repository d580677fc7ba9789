#include "entry/request_forwarder.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/entry_metrics.h"
#include "entry/owner_room.h"
#include "entry/request_forwarder_state.h"
#include "net/event_loop.h"
#include "routing/no_route.h"

namespace mimosadeal {
namespace {

// Assumed for a request without a deadline.
constexpr Duration kDefaultTimeLeft = std::chrono::seconds(5);
// A request waits for an owner for at most its target latency divided by this:
// long enough for a planned move of the key, short enough for the caller to
// retry in time.
constexpr int kOwnerWaitDivisor = 3;
// After a failure to connect, an upstream is tried again within 0.25 to 2 s.
constexpr Duration kRetryAfterNoUpstream = std::chrono::milliseconds(500);
// Keys that are still owned in an evacuated zone when its time is up belong to
// an owner that does not release them; they move when its grants have lapsed.
constexpr Duration kRetryAfterEvacuated = std::chrono::milliseconds(1000);
// A host reads its first configuration within about 1 s of its start.
constexpr Duration kRetryAfterNoConfiguration = std::chrono::milliseconds(500);
// Callers honour a Retry-After of at most a third of the time that they have
// left.
constexpr int kRetryAfterDivisor = 3;
// Relative jitter, so that callers that were refused together do not return
// together.
constexpr double kRetryAfterSpread = 0.3;
// Another host can serve the caller at once.
constexpr Duration kRetryAfterStopping = std::chrono::milliseconds(50);
// For the last responses of a stopping process to reach their callers.
constexpr Duration kLastResponseReserve = std::chrono::milliseconds(150);
// Used until a route has had its first response.
constexpr Duration kAssumedServiceTime = std::chrono::milliseconds(100);
// Weight of a new response in a route's mean service time.
constexpr double kServiceTimeWeight = 0.05;
constexpr double kNanosecondsPerSecond = 1e9;

}  // namespace

RequestForwarder::RequestForwarder(
    EventLoop& loop, const DeploymentProtocol& protocol,
    const DeploymentView& view, UpstreamPool& pool, PathMonitor& paths,
    ExchangeRelay& relay, EntryMetrics& metrics, EventLog& log,
    RequestForwarderOptions options, RequestForwarderHandlers handlers)
    : loop_(loop),
      protocol_(protocol),
      view_(view),
      pool_(pool),
      paths_(paths),
      relay_(relay),
      metrics_(metrics),
      log_(log),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      random_(SystemSeed()),
      suspects_(options_.crash_policy) {}

RequestForwarder::~RequestForwarder() { loop_.timers().Cancel(room_timer_); }

void RequestForwarder::OnRequest(ExchangeId exchange, HttpRequest&& request) {
  auto created = std::make_unique<PendingRequest>();
  PendingRequest& pending = *created;
  pending.exchange = exchange;
  pending.received = loop_.timers().now();
  pending_.emplace(exchange, std::move(created));
  Result<CallerRequest> read = protocol_.read_request(std::move(request));
  if (!read.has_value()) {
    Refuse(pending, RefusalReason::kMalformed);
    return;
  }
  pending.request = std::move(read.value());
  if (pending.received >= refuse_from_) {
    Refuse(pending, RefusalReason::kStopping, kRetryAfterStopping);
    return;
  }
  const Duration time_left =
      pending.request.time_left.value_or(kDefaultTimeLeft);
  pending.deadline = pending.received + time_left;
  pending.give_up_at = pending.deadline;
  pending.routes = view_.routes();
  if (pending.routes == nullptr || !view_.evacuations_synced()) {
    Refuse(pending, RefusalReason::kNoConfiguration,
           kRetryAfterNoConfiguration);
    return;
  }
  if (!view_.IsConfirmed(ViewKind::kConfiguration)) {
    Refuse(pending, RefusalReason::kRouteUnconfirmed,
           kRetryAfterNoConfiguration);
    return;
  }
  pending.route =
      FindRoute(*pending.routes, pending.request.host, pending.request.path);
  if (pending.route == nullptr) {
    if (MayReportNoRoute(view_.routes_current_at(),
                         options_.configuration_apply, pending.received)) {
      Refuse(pending, RefusalReason::kNoRoute);
    } else {
      Refuse(pending, RefusalReason::kRouteUnconfirmed,
             kRetryAfterNoConfiguration);
    }
    return;
  }
  pending.fingerprint =
      RequestFingerprint(pending.request.method, pending.request.host,
                         pending.request.target, pending.request.body);
  if (!PassesSuspects(pending)) return;
  if (round_robin_version_ != pending.routes->version) {
    round_robin_version_ = pending.routes->version;
    round_robin_states_.clear();
  }
  const std::string& service =
      ChooseService(pending.route->weighted_services,
                    round_robin_states_[pending.route->name]);
  const auto found = pending.routes->services.find(service);
  if (found == pending.routes->services.end()) {
    Refuse(pending, RefusalReason::kNoUpstream, kRetryAfterNoUpstream);
    return;
  }
  pending.service = &found->second;
  EarnForRequest(retry_budgets_[service], options_.retry_policy,
                 pending.received);
  CountRequest(hedge_limits_[service], pending.received);
  pending.give_up_at =
      std::min(pending.deadline, pending.received + pending.route->timeout);
  ArmGiveUp(pending);
  NoteRoomArrival(pending);
  if (pending.service->keyed && pending.request.key.has_value()) {
    const auto seconds = route_seconds_.find(pending.route->name);
    handlers_.on_load(pending.service->name, *pending.request.key,
                      seconds == route_seconds_.end()
                          ? kAssumedServiceTime
                          : Duration(static_cast<int64_t>(
                                seconds->second * kNanosecondsPerSecond)));
  }
  TrySend(pending);
}

void RequestForwarder::ArmGiveUp(PendingRequest& pending) {
  pending.give_up_at = std::min(pending.give_up_at, respond_by_);
  loop_.timers().Cancel(pending.give_up_timer);
  pending.give_up_timer = loop_.timers().After(
      std::max(Duration::zero(), pending.give_up_at - loop_.timers().now()),
      [this, exchange = pending.exchange] { OnGiveUp(exchange); });
}

void RequestForwarder::BeginStop(MonotonicTime refuse_from,
                                 MonotonicTime end_at) {
  refuse_from_ = refuse_from;
  respond_by_ = end_at - kLastResponseReserve;
  for (const auto& [exchange, pending] : pending_) ArmGiveUp(*pending);
}

void RequestForwarder::NoteServiceTime(const PendingRequest& pending,
                                       const UpstreamRecord& upstream,
                                       Duration taken) {
  const int slots = std::max(1, upstream.slots);
  const double rounds =
      1 + std::max(0.0, static_cast<double>(pending.waiting_ahead)) / slots;
  const double seconds = ToSeconds(taken) / rounds;
  const auto known = route_seconds_.find(pending.route->name);
  const double mean = known == route_seconds_.end() ? seconds : known->second;
  const auto as_duration = [](double value) {
    return Duration(static_cast<int64_t>(value * kNanosecondsPerSecond));
  };
  handlers_.on_service_time(pending.service->name, upstream.id,
                            as_duration(mean), as_duration(seconds));
  route_seconds_[pending.route->name] =
      mean + kServiceTimeWeight * (seconds - mean);
}

void RequestForwarder::TrySend(PendingRequest& pending) {
  pending.waiting = false;
  const MonotonicTime now = loop_.timers().now();
  if (pending.give_up_at - now < kMinTimeToSend) {
    Refuse(pending, RefusalReason::kOverloaded);
    return;
  }
  const ListedUpstream* upstream = nullptr;
  if (pending.service->keyed) {
    const KeyRange* range = nullptr;
    upstream = FindOwner(pending, &range);
    if (upstream == nullptr && IsOwnerEvacuated(range)) {
      Refuse(pending, RefusalReason::kZoneEvacuated, kRetryAfterEvacuated);
      return;
    }
    if (upstream == nullptr) {
      WaitForOwner(pending, RefusalReason::kNoOwner, Duration::zero());
      return;
    }
    if (WaitsForMove(pending, *range)) return;
    const UpstreamLoad& load = pool_.LoadOf(upstream->record);
    if (load.rest_until > now) {
      RefuseUntil(pending, {load.rest_until, RefusalReason::kResting});
      return;
    }
    if (load.limited_until > now && view_.RateLimitOf(*upstream).has_value()) {
      RefuseUntil(pending, {load.limited_until, RefusalReason::kLimited});
      return;
    }
    if (load.connect_backoff_until > now && !UsesRelay(*upstream)) {
      WaitForOwner(pending, RefusalReason::kNoOwner,
                   load.connect_backoff_until - now);
      return;
    }
  } else if (UsesRoom(pending)) {
    RoomSearch search;
    upstream = FindPermitted(pending);
    if (upstream == nullptr) upstream = FindInRoom(pending, search);
    if (search.alone) metrics_.ObserveRoom("alone");
    if (upstream == nullptr) {
      WaitForRoom(pending, search);
      return;
    }
  } else {
    NextChance next;
    upstream = FindPermitted(pending);
    if (upstream == nullptr) upstream = FindBestUpstream(pending, next);
    if (upstream == nullptr && next.at != kForever) {
      RefuseUntil(pending, next);
      return;
    }
    if (upstream == nullptr && IsServiceEvacuated(pending.service->name)) {
      Refuse(pending, RefusalReason::kZoneEvacuated, kRetryAfterEvacuated);
      return;
    }
    if (upstream == nullptr) {
      Refuse(pending, RefusalReason::kNoUpstream, kRetryAfterNoUpstream);
      return;
    }
  }
  const bool untried = std::find(pending.tried.begin(), pending.tried.end(),
                                 upstream->record.id) == pending.tried.end();
  if (untried && pending.tried.size() >=
                     static_cast<size_t>(pending.route->max_upstreams)) {
    Refuse(pending, RefusalReason::kNotExecuted, kRetryAfterNoOwner);
    return;
  }
  if (!pool_.MayCall(upstream->record.service)) {
    Refuse(pending, RefusalReason::kOverloaded, kRetryAfterNoUpstream);
    return;
  }
  const Duration wait = ExpectedWait(pool_.LoadOf(upstream->record), now);
  // For a contended owner the giver of places knows better.
  if (now + wait > pending.give_up_at && !NeedsPlace(*upstream)) {
    Refuse(pending, RefusalReason::kOverloaded, wait);
    return;
  }
  if (!HasPermit(pending, *upstream)) {
    AskForPermit(pending, *upstream);
    return;
  }
  if (pending.sends > 0 && !SpendOnRetry(retry_budgets_[pending.service->name],
                                         options_.retry_policy, now)) {
    Refuse(pending, RefusalReason::kNotExecuted, kRetryAfterNoOwner);
    return;
  }
  Send(pending, *upstream);
}

void RequestForwarder::RefuseUntil(PendingRequest& pending,
                                   const NextChance& next) {
  const double spread = 1 + kRetryAfterSpread * random_.Unit();
  const Duration rest = next.at - loop_.timers().now();
  // May be longer than callers honour: an earlier retry would be refused again.
  pending.retry_after = Duration(
      static_cast<int64_t>(static_cast<double>(rest.count()) * spread));
  Refuse(pending, next.reason);
}

MonotonicTime RequestForwarder::OwnerWaitEnd(
    const PendingRequest& pending) const {
  if (pending.wait_until != kNever) return pending.wait_until;
  return std::min(
      loop_.timers().now() + pending.route->target_latency / kOwnerWaitDivisor,
      pending.give_up_at - kMinTimeToSend);
}

void RequestForwarder::WaitForOwner(PendingRequest& pending,
                                    RefusalReason reason,
                                    Duration recheck_after) {
  const MonotonicTime now = loop_.timers().now();
  pending.wait_until = OwnerWaitEnd(pending);
  pending.wait_reason = reason;
  if (now + recheck_after >= pending.wait_until) {
    Refuse(pending, reason, kRetryAfterNoOwner);
    return;
  }
  pending.waiting = true;
  const MonotonicTime next = recheck_after > Duration::zero()
                                 ? now + recheck_after
                                 : pending.wait_until;
  loop_.timers().Cancel(pending.wait_timer);
  const ExchangeId exchange = pending.exchange;
  pending.wait_timer = loop_.timers().After(next - now, [this, exchange] {
    const auto found = pending_.find(exchange);
    if (found == pending_.end() || !found->second->waiting) return;
    PendingRequest& waiting = *found->second;
    if (loop_.timers().now() >= waiting.wait_until) {
      Refuse(waiting, waiting.wait_reason, kRetryAfterNoOwner);
    } else {
      TrySend(waiting);
    }
  });
}

void RequestForwarder::OnViewChanged() {
  ApplyTablesToMoves();
  DecideUnsentAgain();
  std::vector<ExchangeId> waiting;
  for (const auto& [exchange, pending] : pending_) {
    if (MayTryAgain(*pending)) waiting.push_back(exchange);
  }
  for (const ExchangeId exchange : waiting) {
    const auto found = pending_.find(exchange);
    if (found == pending_.end() || !MayTryAgain(*found->second)) continue;
    found->second->permit_asked_for.clear();
    TrySend(*found->second);
  }
}

void RequestForwarder::OnGiveUp(ExchangeId exchange) {
  const auto found = pending_.find(exchange);
  if (found == pending_.end()) return;
  PendingRequest& pending = *found->second;
  pending.give_up_timer = 0;
  if (pending.call == 0 && pending.relay_call == 0) {
    Refuse(pending, RefusalReason::kOverloaded);
    return;
  }
  NoteLatency(pending);
  NoteOwnerUnanswered(pending);
  if (CancelCall(pending)) {
    Refuse(pending, RefusalReason::kTimeout);
  } else {
    Refuse(pending, RefusalReason::kOverloaded, kRetryAfterNoUpstream);
  }
}

void RequestForwarder::OnAbandoned(ExchangeId exchange) {
  const auto found = pending_.find(exchange);
  if (found == pending_.end()) return;
  PendingRequest& pending = *found->second;
  CancelCall(pending);
  log_.LogRequest("request.abandoned",
                  {{"id", pending.request.id},
                   {"age_ms", loop_.timers().now() - pending.received},
                   {"sends", pending.sends}});
  metrics_.ObserveAbandoned();
  Finish(pending);
}

Duration RequestForwarder::RetryAfter(const PendingRequest& pending,
                                      Duration delay) {
  const Duration left = pending.deadline - loop_.timers().now();
  const double factor = 1 + kRetryAfterSpread * (2 * random_.Unit() - 1);
  const auto spread = Duration(
      static_cast<int64_t>(static_cast<double>(delay.count()) * factor));
  return std::clamp(spread, Duration::zero(),
                    std::max(Duration::zero(), left / kRetryAfterDivisor));
}

void RequestForwarder::Deliver(PendingRequest& pending,
                               HttpResponse&& response) {
  const Duration age = loop_.timers().now() - pending.received;
  metrics_.ObserveAnswer(pending.service->name, pending.route->rank,
                         response.status, age);
  if (age > pending.route->target_latency || pending.sends > 1) {
    log_.LogRequest("request.delivered",
                    {{"id", pending.request.id},
                     {"route", pending.route->name},
                     {"upstream", pending.called},
                     {"status", response.status},
                     {"age_ms", age},
                     {"target_ms", pending.route->target_latency},
                     {"sends", pending.sends},
                     {"configuration", pending.routes->version}});
  }
  handlers_.respond(pending.exchange, std::move(response));
  Finish(pending);
}

void RequestForwarder::Refuse(PendingRequest& pending, RefusalReason reason,
                              Duration retry_after) {
  // An earlier try may have run, so the caller must not be told otherwise.
  if (pending.may_have_run && reason != RefusalReason::kTimeout)
    reason = RefusalReason::kLostAnswer;
  NoteRefusal(pending, reason);
  Refusal refusal;
  refusal.reason = reason;
  refusal.request_id = pending.request.id;
  if (retry_after > Duration::zero())
    refusal.retry_after = RetryAfter(pending, retry_after);
  if (pending.retry_after > Duration::zero())
    refusal.retry_after = pending.retry_after;
  const std::string_view name = NameOf(kRefusalReasonNames, reason);
  metrics_.ObserveRefusal(name);
  const RangeTable* table =
      pending.service == nullptr ? nullptr : view_.table(pending.service->name);
  log_.LogRequest(
      "request.refused",
      {{"id", pending.request.id},
       {"reason", name},
       {"route", pending.route == nullptr ? "" : pending.route->name},
       {"key", pending.request.key.value_or(-1)},
       {"upstream", pending.tried.empty() ? "" : pending.tried.back()},
       {"age_ms", loop_.timers().now() - pending.received},
       {"left_ms", pending.deadline - loop_.timers().now()},
       {"retry_after_ms", refusal.retry_after.value_or(Duration::zero())},
       {"sends", pending.sends},
       {"configuration",
        pending.routes == nullptr ? 0 : pending.routes->version},
       {"table", table == nullptr ? 0 : table->revision}});
  handlers_.respond(pending.exchange, protocol_.write_refusal(refusal));
  Finish(pending);
}

void RequestForwarder::Finish(PendingRequest& pending) {
  loop_.timers().Cancel(pending.give_up_timer);
  loop_.timers().Cancel(pending.wait_timer);
  loop_.timers().Cancel(pending.hedge.timer);
  LeaveRoomQueue(pending);
  EndPlace(pending);
  pending_.erase(pending.exchange);
}

}  // namespace mimosadeal
