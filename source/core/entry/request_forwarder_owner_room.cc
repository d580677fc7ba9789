// Contended owners of keys in RequestForwarder: a request is sent to such an
// owner only with a place, which it returns when it has ended. Responses and
// their absence show which owners are contended.

#include <algorithm>
#include <string>
#include <utility>

#include "balance/owner_places.h"
#include "common/event_log.h"
#include "entry/contended_owners.h"
#include "entry/deployment_view.h"
#include "entry/entry_metrics.h"
#include "entry/owner_room.h"
#include "entry/request_forwarder.h"
#include "entry/request_forwarder_state.h"
#include "inner/owner_room_messages.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// A permit expires before a connection that takes longer could carry the
// request into a later one's place.
constexpr Duration kPlacePermitLifetime = std::chrono::milliseconds(500);
// A request ends this long after its time, as its cancellation must arrive.
constexpr Duration kPlaceTail = std::chrono::milliseconds(100);
// So that callers that were refused together do not return together.
constexpr double kReturnSpread = 0.3;

}  // namespace

void RequestForwarder::SetOwnerRoom(ContendedOwners& contended,
                                    OwnerRoomHandlers handlers) {
  contended_ = &contended;
  owner_room_ = std::make_unique<OwnerRoomHandlers>(std::move(handlers));
}

bool RequestForwarder::NeedsPlace(const ListedUpstream& upstream) const {
  return contended_ != nullptr && contended_->NeedsPlace(upstream);
}

Duration RequestForwarder::WorkOf(const PendingRequest& pending,
                                  const UpstreamRecord& upstream) const {
  const UpstreamLoad* load = pool_.FindLoad(upstream);
  double seconds = load == nullptr ? 0 : load->service_seconds;
  const auto mean = route_seconds_.find(pending.route->name);
  if (seconds <= 0 && mean != route_seconds_.end()) seconds = mean->second;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

void RequestForwarder::AskForPlace(PendingRequest& pending,
                                   const ListedUpstream& upstream) {
  ReturnPlace(pending, PlaceOutcome::kNotSent, std::nullopt);
  const MonotonicTime now = loop_.timers().now();
  const UpstreamRecord& record = upstream.record;
  const Duration work = WorkOf(pending, record);
  const PlaceWait wait = DecidePlaceWait(
      pending.received, pending.route->target_latency,
      pending.give_up_at - kMinTimeToSend, work, record.slots, now);
  pending.permit_asked_for = record.id;
  owner_room_->ask_for_place(
      upstream, pending.route->rank, wait.longest,
      {wait.in_time, pending.give_up_at - now + kPlaceTail, work},
      [this, exchange = pending.exchange,
       record](const PermitDecision& decision) {
        OnPlace(exchange, record, decision);
      });
}

void RequestForwarder::OnPlace(ExchangeId exchange,
                               const UpstreamRecord& upstream,
                               const PermitDecision& decision) {
  const auto found = pending_.find(exchange);
  const bool waits =
      found != pending_.end() && found->second->permit_asked_for == upstream.id;
  metrics_.ObserveOwnerRoom(
      decision.granted ? (waits ? "granted" : "granted too late")
                       : (decision.answered ? "refused" : "no answer"));
  const HeldPlace place{decision.place, upstream.id, upstream.incarnation,
                        upstream.zone};
  if (!waits) {
    if (decision.place != 0)
      SendReturn(place, PlaceOutcome::kNotSent, std::nullopt);
    return;
  }
  PendingRequest& pending = *found->second;
  pending.permit_asked_for.clear();
  if (decision.granted) {
    if (decision.place != 0) pending.place = place;
    pending.permit = SendPermit{upstream.id, upstream.incarnation,
                                loop_.timers().now() + kPlacePermitLifetime};
    TrySend(pending);
    return;
  }
  if (!decision.answered) {
    contended_->NoteSilentGiver(upstream.zone);
    TrySend(pending);
    return;
  }
  NoteShort(upstream.service);
  log_.LogRequest("request.place-refused",
                  {{"id", pending.request.id},
                   {"upstream", upstream.id},
                   {"rank", pending.route->rank},
                   {"age_ms", loop_.timers().now() - pending.received},
                   {"retry_after_ms", decision.retry_after}});
  // May be longer than callers honour: an earlier retry would be refused again.
  pending.retry_after = Duration(
      static_cast<int64_t>(static_cast<double>(decision.retry_after.count()) *
                           (1 + kReturnSpread * random_.Unit())));
  Refuse(pending, RefusalReason::kLimited);
}

void RequestForwarder::UsePlace(PendingRequest& pending,
                                const UpstreamRecord& upstream) {
  if (!pending.place.has_value()) return;
  if (pending.place->upstream == upstream.id &&
      pending.place->incarnation == upstream.incarnation) {
    pending.place->used = true;
  } else {
    ReturnPlace(pending, PlaceOutcome::kNotSent, std::nullopt);
  }
}

void RequestForwarder::ReturnPlace(PendingRequest& pending,
                                   PlaceOutcome outcome,
                                   std::optional<int> held) {
  if (!pending.place.has_value()) return;
  const HeldPlace place = *std::exchange(pending.place, std::nullopt);
  SendReturn(place, outcome, held);
}

void RequestForwarder::SendReturn(const HeldPlace& place, PlaceOutcome outcome,
                                  std::optional<int> held) {
  OwnerPlaceNotice notice;
  notice.id = place.id;
  notice.upstream = place.upstream;
  notice.incarnation = place.incarnation;
  notice.zone = place.zone;
  notice.outcome = static_cast<uint8_t>(outcome);
  notice.held = held.value_or(-1);
  owner_room_->return_place(notice);
}

void RequestForwarder::EndPlace(PendingRequest& pending) {
  if (!pending.place.has_value()) return;
  ReturnPlace(
      pending,
      pending.place->used ? PlaceOutcome::kCancelled : PlaceOutcome::kNotSent,
      std::nullopt);
}

void RequestForwarder::NoteContended(const UpstreamRecord& upstream,
                                     std::string_view reason) {
  metrics_.ObserveOwnerRoom(reason);
  owner_room_->on_contended(upstream.id, upstream.incarnation, reason);
}

void RequestForwarder::NoteOwnerAnswer(PendingRequest& pending,
                                       const UpstreamRecord& upstream,
                                       const UpstreamResponse& answer) {
  if (contended_ == nullptr || !pending.service->keyed) return;
  std::optional<int> held;
  if (answer.load.has_value())
    held = answer.load->running + answer.load->waiting;
  const int slots = std::max(1, upstream.slots);
  const bool full = answer.kind == ResponseKind::kNotRun &&
                    !answer.rest.has_value() && held.value_or(0) >= slots;
  if (full) {
    NoteContended(upstream, "full");
    ReturnPlace(pending, PlaceOutcome::kFull, held);
    return;
  }
  const bool ran = answer.kind == ResponseKind::kUpstreamResponse ||
                   answer.kind == ResponseKind::kCorrupt;
  if (held.has_value() && answer.kind == ResponseKind::kUpstreamResponse &&
      IsOwnerContended(*held, slots, WorkOf(pending, upstream),
                       pending.route->target_latency)) {
    NoteContended(upstream, "queue");
  }
  ReturnPlace(pending, ran ? PlaceOutcome::kServed : PlaceOutcome::kNotSent,
              held);
}

void RequestForwarder::NoteOwnerFailure(PendingRequest& pending,
                                        const UpstreamRecord& upstream,
                                        const ExchangeResult& result) {
  if (contended_ == nullptr || !pending.service->keyed) return;
  const bool reset = result.request_written && !result.response_started &&
                     result.failure == ClientFailure::kClosed;
  if (reset) NoteContended(upstream, "reset");
  const PlaceOutcome outcome = !result.request_written ? PlaceOutcome::kNotSent
                               : reset                 ? PlaceOutcome::kFull
                                       : PlaceOutcome::kCancelled;
  ReturnPlace(pending, outcome, std::nullopt);
}

void RequestForwarder::NoteOwnerUnanswered(const PendingRequest& pending) {
  const bool waited =
      contended_ != nullptr && pending.service != nullptr &&
      pending.service->keyed && pending.call != 0 &&
      loop_.timers().now() - pending.sent_at >= pending.route->target_latency;
  if (!waited) return;
  const ListedUpstream* listed = view_.directory().Find(pending.called);
  if (listed != nullptr) NoteContended(listed->record, "unanswered");
}

}  // namespace mimosadeal
