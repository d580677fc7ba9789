#include "entry/request_flow.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/entry_metrics.h"
#include "entry/request_flow_state.h"
#include "net/event_loop.h"
#include "routing/route_denial.h"

namespace mimosadeal {
namespace {

// Used where a caller states no deadline.
constexpr Duration kDefaultTimeLeft = std::chrono::seconds(5);
// A request waits for an owner for this share of its target latency at most:
// long enough for a planned move, short enough to come back in time.
constexpr int kHoldShare = 3;
// A request with less time left is not sent: no upstream could answer it.
constexpr Duration kLeastTimeToSend = std::chrono::milliseconds(5);
// Calls in flight at upstreams: keeps their connections within the descriptors
// that are reserved for them.
constexpr size_t kMostCalls = 500;
// An upstream that is avoided is tried again within 0.25 to 2 s.
constexpr Duration kRetryAfterNoUpstream = std::chrono::milliseconds(500);
// A host reads its first configuration within about a second of its start.
constexpr Duration kRetryAfterNoConfiguration = std::chrono::milliseconds(500);
// Longer than any caller waits: it should not come back.
constexpr Duration kRetryAfterSuspect = std::chrono::seconds(30);
// Callers honour at most a third of the time that they have left.
constexpr int kRetryAfterShare = 3;
// Spreads the return of callers that were refused together.
constexpr double kRetryAfterSpread = 0.3;
// Until an answer on a route was seen.
constexpr Duration kAssumedServiceTime = std::chrono::milliseconds(100);
// Weight of a new answer in a route's mean service time.
constexpr double kServiceTimeWeight = 0.05;
constexpr double kNanoseconds = 1e9;  // In a second.

}  // namespace

RequestFlow::RequestFlow(EventLoop& loop, const DeploymentProtocol& protocol,
                         const DeploymentView& view, UpstreamPool& pool,
                         EntryMetrics& metrics, EventLog& log,
                         RequestFlowOptions options,
                         RequestFlowHandlers handlers)
    : loop_(loop),
      protocol_(protocol),
      view_(view),
      pool_(pool),
      metrics_(metrics),
      log_(log),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      random_(SystemSeed()),
      suspects_(options_.crash_policy) {}

RequestFlow::~RequestFlow() = default;

void RequestFlow::OnRequest(ExchangeId exchange, HttpRequest&& request) {
  auto owned = std::make_unique<Pending>();
  Pending& pending = *owned;
  pending.exchange = exchange;
  pending.received = loop_.timers().now();
  pending_.emplace(exchange, std::move(owned));
  Result<CallerRequest> read = protocol_.read_request(std::move(request));
  if (!read.has_value()) {
    Refuse(pending, RefusalReason::kMalformed);
    return;
  }
  pending.request = std::move(read.value());
  const Duration time_left =
      pending.request.time_left.value_or(kDefaultTimeLeft);
  pending.deadline = pending.received + time_left;
  pending.give_up_at = pending.deadline;
  pending.routes = view_.routes();
  if (pending.routes == nullptr) {
    Refuse(pending, RefusalReason::kNoConfiguration,
           kRetryAfterNoConfiguration);
    return;
  }
  pending.route =
      FindRoute(*pending.routes, pending.request.host, pending.request.path);
  if (pending.route == nullptr) {
    if (MayDenyRoute(view_.current_at(ViewKind::kConfiguration),
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
  if (suspects_.Refuses(pending.fingerprint, pending.received)) {
    Refuse(pending, RefusalReason::kSuspect, kRetryAfterSuspect);
    return;
  }
  if (share_version_ != pending.routes->version) {
    share_version_ = pending.routes->version;
    share_credit_.clear();
  }
  const std::string& service =
      ChooseShare(pending.route->shares, share_credit_[pending.route->name]);
  const auto found = pending.routes->services.find(service);
  if (found == pending.routes->services.end()) {
    Refuse(pending, RefusalReason::kNoUpstream, kRetryAfterNoUpstream);
    return;
  }
  pending.service = &found->second;
  EarnForRequest(retry_budgets_[service], options_.retry_policy,
                 pending.received);
  pending.give_up_at =
      std::min(pending.deadline, pending.received + pending.route->timeout);
  pending.give_up_timer =
      loop_.timers().After(pending.give_up_at - pending.received,
                           [this, exchange] { OnGiveUp(exchange); });
  if (pending.service->keyed && pending.request.key.has_value()) {
    const auto seconds = route_seconds_.find(pending.route->name);
    handlers_.on_load(
        pending.service->name, *pending.request.key,
        seconds == route_seconds_.end()
            ? kAssumedServiceTime
            : Duration(static_cast<int64_t>(seconds->second * kNanoseconds)));
  }
  Try(pending);
}

void RequestFlow::NoteServiceTime(const Pending& pending,
                                  const UpstreamRecord& upstream,
                                  Duration taken) {
  const int slots = std::max(1, upstream.slots);
  const double rounds =
      1 + std::max(0.0, static_cast<double>(pending.ahead)) / slots;
  const double seconds = ToSeconds(taken) / rounds;
  const auto known = route_seconds_.find(pending.route->name);
  const double before = known == route_seconds_.end() ? seconds : known->second;
  const auto as_duration = [](double value) {
    return Duration(static_cast<int64_t>(value * kNanoseconds));
  };
  handlers_.on_speed(pending.service->name, upstream.id, as_duration(before),
                     as_duration(seconds));
  route_seconds_[pending.route->name] =
      before + kServiceTimeWeight * (seconds - before);
}

void RequestFlow::Try(Pending& pending) {
  pending.waiting = false;
  const MonotonicTime now = loop_.timers().now();
  if (pending.give_up_at - now < kLeastTimeToSend) {
    Refuse(pending, RefusalReason::kOverloaded);
    return;
  }
  const ListedUpstream* upstream = nullptr;
  if (pending.service->keyed) {
    const KeyRange* range = nullptr;
    upstream = FindOwner(pending, &range);
    if (upstream == nullptr) {
      Hold(pending, RefusalReason::kNoOwner, Duration::zero());
      return;
    }
    const UpstreamLoad& load = pool_.Load(upstream->record);
    if (load.rest_until > now) {
      RefuseForRest(pending, load.rest_until);
      return;
    }
    if (load.avoid_until > now) {
      Hold(pending, RefusalReason::kNoOwner, load.avoid_until - now);
      return;
    }
  } else {
    MonotonicTime rest_ends = kForever;
    upstream = FindAnyUpstream(pending, rest_ends);
    if (upstream == nullptr && rest_ends != kForever) {
      RefuseForRest(pending, rest_ends);
      return;
    }
    if (upstream == nullptr) {
      Refuse(pending, RefusalReason::kNoUpstream, kRetryAfterNoUpstream);
      return;
    }
  }
  const bool another = std::find(pending.tried.begin(), pending.tried.end(),
                                 upstream->record.id) == pending.tried.end();
  if (another && pending.tried.size() >=
                     static_cast<size_t>(pending.route->max_upstreams)) {
    Refuse(pending, RefusalReason::kNotExecuted, kRetryAfterNoOwner);
    return;
  }
  if (pool_.calls() >= kMostCalls) {
    Refuse(pending, RefusalReason::kOverloaded, kRetryAfterNoUpstream);
    return;
  }
  const Duration wait = ExpectedWait(pool_.Load(upstream->record), now);
  if (now + wait > pending.give_up_at) {
    Refuse(pending, RefusalReason::kOverloaded, wait);
    return;
  }
  if (pending.sends > 0 && !SpendOnRetry(retry_budgets_[pending.service->name],
                                         options_.retry_policy, now)) {
    Refuse(pending, RefusalReason::kNotExecuted, kRetryAfterNoOwner);
    return;
  }
  Send(pending, *upstream);
}

void RequestFlow::RefuseForRest(Pending& pending, MonotonicTime rest_ends) {
  const double spread = 1 + kRetryAfterSpread * random_.Unit();
  const Duration rest = rest_ends - loop_.timers().now();
  // Longer than callers honour if need be: before, it would be refused again.
  pending.retry_after = Duration(
      static_cast<int64_t>(static_cast<double>(rest.count()) * spread));
  Refuse(pending, RefusalReason::kResting);
}

void RequestFlow::Send(Pending& pending, const ListedUpstream& upstream) {
  const MonotonicTime now = loop_.timers().now();
  const std::string id = upstream.record.id;
  const bool again = std::find(pending.tried.begin(), pending.tried.end(),
                               id) != pending.tried.end();
  if (!again) pending.tried.push_back(id);
  ++pending.sends;
  pending.sent_at = now;
  const UpstreamLoad& load = pool_.Load(upstream.record);
  pending.ahead = static_cast<int>(ExpectedBacklog(load, now)) - load.slots + 1;
  ExchangeRequest request =
      protocol_.write_request(pending.request, pending.give_up_at - now, id);
  request.timeout = pending.give_up_at - now + std::chrono::seconds(1);
  request.await_acceptance = true;
  request.send_by = UsableUntil(upstream);
  request.unused_connection = again && !pending.idempotent();
  const ExchangeId exchange = pending.exchange;
  std::optional<ListedUpstream> leaving;
  if (upstream.leaving_since != kNever) leaving = upstream;
  pending.call = pool_.Send(
      upstream.record, std::move(request),
      [this, exchange, leaving, chosen_at = now,
       record = upstream.record](ExchangeResult result) {
        const auto found = pending_.find(exchange);
        if (leaving.has_value() && found != pending_.end())
          LogSentToLeaving(*found->second, *leaving, chosen_at, result);
        UpstreamLoad* known = pool_.FindLoad(record);
        if (known != nullptr && result.failure == ClientFailure::kNone) {
          OnConnected(*known);
        } else if (known != nullptr &&
                   result.failure == ClientFailure::kNotConnected &&
                   !result.reused) {
          OnConnectFailure(*known, loop_.timers().now());
        }
        OnResult(exchange, record, std::move(result));
      });
}

void RequestFlow::LogSentToLeaving(const Pending& pending,
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

void RequestFlow::Hold(Pending& pending, RefusalReason reason,
                       Duration look_again) {
  const MonotonicTime now = loop_.timers().now();
  if (pending.hold_until == kNever) {
    pending.hold_until =
        std::min(now + pending.route->target_latency / kHoldShare,
                 pending.give_up_at - kLeastTimeToSend);
  }
  pending.hold_reason = reason;
  if (now + look_again >= pending.hold_until) {
    Refuse(pending, reason, kRetryAfterNoOwner);
    return;
  }
  pending.waiting = true;
  const MonotonicTime next =
      look_again > Duration::zero() ? now + look_again : pending.hold_until;
  loop_.timers().Cancel(pending.hold_timer);
  const ExchangeId exchange = pending.exchange;
  pending.hold_timer = loop_.timers().After(next - now, [this, exchange] {
    const auto found = pending_.find(exchange);
    if (found == pending_.end() || !found->second->waiting) return;
    Pending& waiting = *found->second;
    if (loop_.timers().now() >= waiting.hold_until) {
      Refuse(waiting, waiting.hold_reason, kRetryAfterNoOwner);
    } else {
      Try(waiting);
    }
  });
}

void RequestFlow::OnViewChanged() {
  std::vector<ExchangeId> waiting;
  for (const auto& [exchange, pending] : pending_) {
    if (pending->waiting) waiting.push_back(exchange);
  }
  for (const ExchangeId exchange : waiting) {
    const auto found = pending_.find(exchange);
    if (found != pending_.end() && found->second->waiting) Try(*found->second);
  }
}

void RequestFlow::OnGiveUp(ExchangeId exchange) {
  const auto found = pending_.find(exchange);
  if (found == pending_.end()) return;
  Pending& pending = *found->second;
  pending.give_up_timer = 0;
  if (pending.call == 0) {
    Refuse(pending, RefusalReason::kOverloaded);
    return;
  }
  const bool received = pool_.Cancel(pending.call);
  pending.call = 0;
  if (received) {
    Refuse(pending, RefusalReason::kTimeout);
  } else {
    Refuse(pending, RefusalReason::kOverloaded, kRetryAfterNoUpstream);
  }
}

void RequestFlow::OnAbandoned(ExchangeId exchange) {
  const auto found = pending_.find(exchange);
  if (found == pending_.end()) return;
  Pending& pending = *found->second;
  if (pending.call != 0) pool_.Cancel(pending.call);
  log_.LogRequest("request.abandoned",
                  {{"id", pending.request.id},
                   {"age_ms", loop_.timers().now() - pending.received},
                   {"sends", pending.sends}});
  metrics_.ObserveAbandoned();
  Finish(pending);
}

Duration RequestFlow::RetryAfter(const Pending& pending, Duration wanted) {
  const Duration left = pending.deadline - loop_.timers().now();
  const double factor = 1 + kRetryAfterSpread * (2 * random_.Unit() - 1);
  const auto spread = Duration(
      static_cast<int64_t>(static_cast<double>(wanted.count()) * factor));
  return std::clamp(spread, Duration::zero(),
                    std::max(Duration::zero(), left / kRetryAfterShare));
}

void RequestFlow::Deliver(Pending& pending, const HttpResponse& response) {
  const Duration age = loop_.timers().now() - pending.received;
  metrics_.ObserveAnswer(pending.service->name, pending.route->rank,
                         response.status, age);
  if (age > pending.route->target_latency || pending.sends > 1) {
    log_.LogRequest("request.delivered",
                    {{"id", pending.request.id},
                     {"route", pending.route->name},
                     {"upstream", pending.tried.back()},
                     {"status", response.status},
                     {"age_ms", age},
                     {"target_ms", pending.route->target_latency},
                     {"sends", pending.sends},
                     {"configuration", pending.routes->version}});
  }
  handlers_.respond(pending.exchange, response);
  Finish(pending);
}

void RequestFlow::Refuse(Pending& pending, RefusalReason reason,
                         Duration retry_after) {
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

void RequestFlow::Finish(Pending& pending) {
  loop_.timers().Cancel(pending.give_up_timer);
  loop_.timers().Cancel(pending.hold_timer);
  pending_.erase(pending.exchange);
}

}  // namespace mimosadeal
