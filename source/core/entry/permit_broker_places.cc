// Places in PermitBroker: for a contended owner of keys a permit comes with a
// place, which counts as used until it is returned or has lapsed. Limits,
// coldness and places are one queue; see TakePlaces.

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/contended_owners.h"
#include "entry/deployment_view.h"
#include "entry/limit_statement.h"
#include "entry/permit_broker.h"
#include "entry/permit_timing.h"
#include "inner/owner_room_messages.h"
#include "net/event_loop.h"
#include "routing/route_table.h"

namespace mimosadeal {
namespace {

// A giver that has not answered for this long is taken for lost: two questions
// or their answers were lost, too.
constexpr Duration kGiverSilence = std::chrono::milliseconds(250);
// Longer than requests wait or run; protects against corrupt messages.
constexpr Duration kMaxTime = std::chrono::seconds(30);
// Permits per second where only places bound them. Stated limits are lower.
constexpr double kNoLimit = 1000;
constexpr Duration kAssumedTarget = std::chrono::seconds(1);

Duration BoundedTime(uint32_t ms) {
  return std::min<Duration>(std::chrono::milliseconds(ms), kMaxTime);
}

uint32_t ToMessageTime(Duration time) {
  return static_cast<uint32_t>(std::max<int64_t>(0, ToMilliseconds(time)));
}

}  // namespace

void PermitBroker::SendPlaceAsk(PendingAsk& ask, const PermitGiver& giver) {
  const MonotonicTime now = loop_.timers().now();
  const uint64_t id = ask.request.id;
  if (now - ask.heard_at >= kGiverSilence) {
    Complete(id, {false, false, kRetryWithoutGiver});
    return;
  }
  OwnerPlaceRequest message;
  message.request = ask.request;
  message.request.wait_ms =
      ToMessageTime(ask.give_up_at - kPermitReplyTime - now);
  message.request.limit = ToStatement(ask.limit, now);
  const ListedUpstream* listed = view_.directory().Find(ask.request.upstream);
  if (listed != nullptr)
    message.cold_ms = ToMessageTime(view_.ColdLeft(*listed));
  message.contended_ms = ToMessageTime(
      handlers_.contended_left(ask.request.upstream, ask.request.incarnation));
  const Duration asked = now - ask.asked_at;
  message.in_time_ms = ToMessageTime(ask.place->in_time - asked);
  message.hold_ms = ToMessageTime(ask.place->hold - asked);
  message.work_us = static_cast<uint32_t>(ToMicroseconds(ask.place->work));
  ask.timer = loop_.timers().After(
      std::min(kPermitResendInterval, ask.give_up_at - now),
      [this, id] { SendAsk(id); });
  if (giver.is_self) {
    DecidePlace(message, giver);
  } else {
    handlers_.send_place_request(giver.address, message);
  }
}

bool PermitBroker::WasHeard(const PendingAsk& ask) const {
  return ask.place.has_value() && ask.heard_at > ask.asked_at &&
         loop_.timers().now() - ask.heard_at < kGiverSilence;
}

void PermitBroker::OnPlaceRequest(const OwnerPlaceRequest& message) {
  const PermitRequest& request = message.request;
  const PermitGiver giver = handlers_.find_giver(request.zone);
  const auto limit = FromStatement(request.limit, loop_.timers().now());
  if (limit.has_value())
    handlers_.on_limit(request.upstream, request.incarnation, *limit);
  if (message.cold_ms > 0) handlers_.on_cold(request.upstream, message.cold_ms);
  if (giver.is_self) {
    DecidePlace(message, giver);
    return;
  }
  // Without an answer the asker goes on alone.
  if (giver.address.empty() || request.hops >= kMaxPermitHops - 1) return;
  OwnerPlaceRequest forwarded = message;
  ++forwarded.request.hops;
  handlers_.send_place_request(giver.address, forwarded);
}

void PermitBroker::DecidePlace(const OwnerPlaceRequest& message,
                               const PermitGiver& giver) {
  const PermitRequest& request = message.request;
  const UpstreamKey upstream{request.upstream, request.incarnation};
  const Asker asker{request.address, request.id, true};
  const ListedUpstream* listed = Find(upstream);
  if (listed == nullptr) {
    // Nothing is known that would count its requests but what the asker knows.
    const bool limited = message.cold_ms > 0 || request.limit.limited;
    Reply(upstream, asker, !limited, kRetryWithoutGiver);
    return;
  }
  GiverState& state = StateFor(request, giver, view_.RateLimitOf(*listed));
  const MonotonicTime now = loop_.timers().now();
  NoteContended(state, *listed, message);
  const uint64_t held = FindTicket(state.holders, asker);
  if (held != 0 && state.places->in_use.contains(held)) {
    Reply(upstream, asker, true, Duration::zero());  // The reply was lost.
    return;
  }
  if (FindTicket(state.askers, asker) == 0) {
    const uint64_t ticket = next_ticket_++;
    state.askers[ticket] = asker;
    PermitWaiter waiter{ticket, request.rank,
                        now + BoundedTime(message.in_time_ms)};
    waiter.keep_until = now + BoundedTime(request.wait_ms);
    waiter.hold = std::max<Duration>(BoundedTime(message.hold_ms),
                                     std::chrono::milliseconds(1));
    AddWaiter(state.queue, waiter);
  }
  Serve(upstream);
  const auto found = given_.find(upstream);
  if (found == given_.end() || FindTicket(found->second.askers, asker) == 0)
    return;
  OwnerPlaceNotice notice;
  notice.id = request.id;
  notice.address = request.address;
  notice.upstream = request.upstream;
  notice.incarnation = request.incarnation;
  notice.zone = request.zone;
  notice.kind = static_cast<uint8_t>(PlaceNoticeKind::kWaiting);
  if (request.address == address_) {
    OnNotice(notice);
  } else {
    handlers_.send_notice(request.address, notice);
  }
}

void PermitBroker::NoteContended(GiverState& state,
                                 const ListedUpstream& upstream,
                                 const OwnerPlaceRequest& message) {
  const MonotonicTime now = loop_.timers().now();
  const Duration left =
      std::min(BoundedTime(message.contended_ms), kContendedTime);
  if (state.contended_until <= now) {
    const Duration work = std::chrono::microseconds(message.work_us);
    state.places = BeginPlaces(upstream.record.slots, work,
                               TargetOf(upstream.record.service), now);
    state.holders.clear();
    log_.LogRequest(
        "owner.places",
        {{"upstream", upstream.record.id},
         {"incarnation", upstream.record.incarnation},
         {"term", state.term},
         {"slots", upstream.record.slots},
         {"work_ms", work},
         {"places", static_cast<uint64_t>(PlaceCount(*state.places, 1, now))}});
  }
  // A request that was under way when its host's mark ended is served as well.
  state.contended_until =
      std::max(state.contended_until,
               now + std::max<Duration>(left, kPermitResendInterval));
}

Duration PermitBroker::TargetOf(const std::string& service) const {
  std::optional<Duration> least;
  if (view_.routes() == nullptr) return kAssumedTarget;
  for (const auto& [host, routes] : view_.routes()->hosts) {
    for (const Route& route : routes) {
      const bool leads_there = std::any_of(
          route.weighted_services.begin(), route.weighted_services.end(),
          [&service](const WeightedService& part) {
            return part.service == service;
          });
      if (leads_there)
        least = std::min(least.value_or(route.target_latency),
                         route.target_latency);
    }
  }
  return least.value_or(kAssumedTarget);
}

uint64_t PermitBroker::FindTicket(const std::map<uint64_t, Asker>& askers,
                                  const Asker& asker) {
  const auto found =
      std::find_if(askers.begin(), askers.end(), [&asker](const auto& entry) {
        return entry.second.address == asker.address &&
               entry.second.id == asker.id;
      });
  return found == askers.end() ? 0 : found->first;
}

void PermitBroker::SetStateRate(GiverState& state,
                                const std::optional<double>& limit,
                                double share) {
  const MonotonicTime now = loop_.timers().now();
  if (limit.has_value()) {
    // Nothing was saved up for it.
    if (!state.limited) state.queue.available = 0;
    SetRate(state.queue, *limit, share, now);
  } else {
    SetRate(state.queue, kNoLimit, 1, now);
    state.queue.available = MaxAvailable(state.queue.rate);
  }
  state.limited = limit.has_value();
}

std::vector<PermitOutcome> PermitBroker::TakeFrom(GiverState& state,
                                                  double share) {
  const MonotonicTime now = loop_.timers().now();
  if (!IsContended(state)) return TakeOutcomes(state.queue, now);
  std::vector<PermitOutcome> outcomes =
      TakePlaces(state.queue, *state.places, share, now);
  std::erase_if(state.holders, [&state](const auto& holder) {
    return !state.places->in_use.contains(holder.first);
  });
  for (const PermitOutcome& outcome : outcomes) {
    if (state.places->in_use.contains(outcome.ticket))
      state.holders[outcome.ticket] = state.askers.at(outcome.ticket);
  }
  return outcomes;
}

bool PermitBroker::IsContended(const GiverState& state) const {
  return state.contended_until > loop_.timers().now();
}

MonotonicTime PermitBroker::NextServiceOf(const GiverState& state,
                                          double share) const {
  return IsContended(state) ? NextPlaceAt(state.queue, *state.places, share,
                                          loop_.timers().now())
                            : NextPermitAt(state.queue);
}

void PermitBroker::KeepContended(const UpstreamKey& upstream, GiverState& state,
                                 double share) {
  if (!IsContended(state)) return;
  const MonotonicTime now = loop_.timers().now();
  if (state.queue.waiters.empty() && !IsNearlyFull(*state.places, share, now))
    return;
  state.contended_until = now + kContendedTime;
  handlers_.on_contended(upstream.first, upstream.second);
}

void PermitBroker::ReturnPlace(OwnerPlaceNotice notice) {
  notice.address = address_;
  notice.kind = static_cast<uint8_t>(PlaceNoticeKind::kReturned);
  OnNotice(notice);
}

void PermitBroker::OnNotice(const OwnerPlaceNotice& notice) {
  const auto kind = static_cast<PlaceNoticeKind>(notice.kind);
  if (kind == PlaceNoticeKind::kWaiting) {
    const auto ask = asks_.find(notice.id);
    if (ask != asks_.end()) ask->second.heard_at = loop_.timers().now();
    return;
  }
  const auto outcome = static_cast<PlaceOutcome>(notice.outcome);
  if (kind != PlaceNoticeKind::kReturned ||
      outcome > PlaceOutcome::kCancelled) {
    log_.LogRequest("datagram.malformed",
                    {{"type", "owner-place-notice"},
                     {"reason", "unknown kind or outcome"}});
    return;
  }
  const PermitGiver giver = handlers_.find_giver(notice.zone);
  if (!giver.is_self) {
    if (giver.address.empty() || notice.hops >= kMaxPermitHops - 1) return;
    OwnerPlaceNotice forwarded = notice;
    ++forwarded.hops;
    handlers_.send_notice(giver.address, forwarded);
    return;
  }
  TakeBack(notice, outcome);
}

void PermitBroker::TakeBack(const OwnerPlaceNotice& notice,
                            PlaceOutcome outcome) {
  const UpstreamKey upstream{notice.upstream, notice.incarnation};
  const auto found = given_.find(upstream);
  if (found == given_.end() || !found->second.places.has_value()) return;
  GiverState& state = found->second;
  const uint64_t ticket =
      FindTicket(state.holders, {notice.address, notice.id, true});
  state.holders.erase(ticket);
  const MonotonicTime now = loop_.timers().now();
  PlaceReturn returned{outcome, std::nullopt};
  if (notice.held >= 0) returned.held = notice.held;
  mimosadeal::ReturnPlace(*state.places, ticket, returned, now);
  if (outcome == PlaceOutcome::kFull) {
    log_.LogRequest(
        "owner.full",
        {{"upstream", notice.upstream},
         {"held", notice.held},
         {"in_use", static_cast<uint64_t>(PlacesInUse(*state.places))},
         {"places", static_cast<uint64_t>(PlaceCount(*state.places, 1, now))}});
  }
  Serve(upstream);
}

}  // namespace mimosadeal
