// Scarce room in RequestForwarder: a request of a service without keys is sent
// only to an upstream of which this host has room, and waits in a queue of its
// service while there is none.

#include <algorithm>
#include <string>

#include "balance/upstream_choice.h"
#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/entry_metrics.h"
#include "entry/request_forwarder.h"
#include "entry/request_forwarder_state.h"
#include "entry/room_borrower.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// Requests at once that a host without loans sends to each upstream that it
// prefers.
constexpr int kRoomAlone = 1;
// Waiters are checked at least this often, as upstreams become usable again
// without a message.
constexpr Duration kRoomRecheck = std::chrono::milliseconds(25);
// Requests that wait for room at this host, of one service. They take longer
// than any target latency.
constexpr size_t kMaxRoomWaiters = 64;
// A request that was kept is answered late, rather than refused late, up to
// this multiple of its target latency.
constexpr int kLateTargets = 2;
// So that callers that were refused together do not return together.
constexpr double kReturnSpread = 0.3;
// As within a zone; the room of other zones was lent because it is needed.
constexpr double kNoZonePreference = 0;

}  // namespace

bool RequestForwarder::UsesRoom(const PendingRequest& pending) const {
  return room_ != nullptr && pending.service != nullptr &&
         !pending.service->keyed;
}

void RequestForwarder::NoteRoomArrival(const PendingRequest& pending) {
  if (UsesRoom(pending)) room_->NoteArrival(pending.service->name);
}

const ListedUpstream* RequestForwarder::ChooseWithin(
    const PendingRequest& pending,
    const std::vector<const ListedUpstream*>& upstreams,
    const std::function<int(const UpstreamRecord&)>& room, RoomSearch& search) {
  std::vector<ChoiceCandidate> usable;
  AddCandidates(pending, upstreams, usable, search.next);
  search.any_usable |= !usable.empty();
  std::erase_if(usable, [&](const ChoiceCandidate& candidate) {
    const ListedUpstream* listed = view_.directory().Find(candidate.id);
    return candidate.load.in_flight >= room(listed->record);
  });
  // The same order each time, so that few connections are in use.
  const int chosen =
      ChooseUpstream(usable, kNoZonePreference, 0, loop_.timers().now());
  if (chosen < 0) return nullptr;
  return view_.directory().Find(usable[static_cast<size_t>(chosen)].id);
}

const ListedUpstream* RequestForwarder::FindLent(const PendingRequest& pending,
                                                 RoomSearch& search) {
  std::vector<const ListedUpstream*> lent;
  for (const std::string& id : room_->LentUpstreams(pending.service->name)) {
    const ListedUpstream* listed = view_.directory().Find(id);
    if (listed != nullptr &&
        listed->availability == UpstreamAvailability::kServing &&
        !view_.RateLimitOf(*listed).has_value()) {
      lent.push_back(listed);
    }
  }
  return ChooseWithin(
      pending, lent,
      [this](const UpstreamRecord& record) { return room_->LentRoom(record); },
      search);
}

const ListedUpstream* RequestForwarder::FindAlone(const PendingRequest& pending,
                                                  RoomSearch& search) {
  return ChooseWithin(
      pending, PreferredFor(pending.service->name),
      [](const UpstreamRecord&) { return kRoomAlone; }, search);
}

// Upstreams with a limit are not lent: permits are given for them.
const ListedUpstream* RequestForwarder::FindLimited(
    const PendingRequest& pending, RoomSearch& search) {
  std::vector<const ListedUpstream*> limited;
  for (const ListedUpstream* listed : PreferredFor(pending.service->name)) {
    if (view_.RateLimitOf(*listed).has_value()) limited.push_back(listed);
  }
  if (limited.empty()) return nullptr;
  return ChooseWithin(
      pending, limited,
      [](const UpstreamRecord& record) { return record.slots; }, search);
}

const ListedUpstream* RequestForwarder::FindInRoom(
    const PendingRequest& pending, RoomSearch& search) {
  const RoomQueue& queue = room_queues_[pending.service->name];
  // A retry has had its turn.
  const bool has_turn = pending.room_turn || !pending.tried.empty();
  if (!has_turn && !queue.waiters.empty()) {
    search.any_usable = true;
    return nullptr;
  }
  const ListedUpstream* chosen = FindLent(pending, search);
  if (chosen == nullptr && !search.any_usable) {
    chosen = FindAlone(pending, search);
    search.alone = chosen != nullptr;
  }
  if (chosen == nullptr) chosen = FindLimited(pending, search);
  return chosen;
}

void RequestForwarder::WaitForRoom(PendingRequest& pending,
                                   const RoomSearch& search) {
  const MonotonicTime now = loop_.timers().now();
  const std::string service = pending.service->name;
  RoomQueue& queue = room_queues_[service];
  // A request that was sent before is not kept: its caller was kept already.
  const bool may_wait = search.any_usable && pending.tried.empty() &&
                        queue.waiters.size() < kMaxRoomWaiters;
  if (!may_wait) {
    RemoveWaiter(queue, pending.exchange);
    if (!search.any_usable && search.next.at != kForever) {
      RefuseUntil(pending, search.next);
      return;
    }
    const RefusalReason reason =
        !pending.tried.empty() ? RefusalReason::kNotExecuted
        : search.any_usable    ? RefusalReason::kOverloaded
                               : RefusalReason::kNoUpstream;
    RefuseForRoom(pending, reason, ReturnDelay(queue, RoomRate(service), now),
                  queue.waiters.size());
    return;
  }
  if (pending.room_waiting) return;
  pending.room_waiting = true;
  const Duration needed = room_->ExpectedTime(service);
  AddWaiter(
      queue,
      {pending.exchange, pending.route->rank, pending.route->name, now,
       std::min(pending.received + pending.route->target_latency,
                pending.give_up_at) -
           needed,
       std::min(pending.received + pending.route->target_latency * kLateTargets,
                pending.give_up_at) -
           needed});
  RefuseLateWaiters(service);
  ArmRoomCheck();
}

void RequestForwarder::RefuseForRoom(PendingRequest& pending,
                                     RefusalReason reason, Duration retry_after,
                                     size_t ahead) {
  metrics_.ObserveRoom("refused");
  log_.LogRequest("request.no-room",
                  {{"id", pending.request.id},
                   {"service", pending.service->name},
                   {"route", pending.route->name},
                   {"rank", pending.route->rank},
                   {"ahead", static_cast<uint64_t>(ahead)},
                   {"per_second", RoomRate(pending.service->name)},
                   {"age_ms", loop_.timers().now() - pending.received}});
  // May be longer than callers honour: an earlier retry would be refused again.
  pending.retry_after =
      Duration(static_cast<int64_t>(static_cast<double>(retry_after.count()) *
                                    (1 + kReturnSpread * random_.Unit())));
  Refuse(pending, reason);
}

void RequestForwarder::RefuseLateWaiters(const std::string& service) {
  RoomQueue& queue = room_queues_[service];
  for (const RoomRefusal& refusal :
       TakeRefusals(queue, RoomRate(service), loop_.timers().now())) {
    const auto found = pending_.find(refusal.ticket);
    if (found != pending_.end()) {
      RefuseForRoom(*found->second, RefusalReason::kOverloaded,
                    refusal.retry_after, refusal.ahead);
    }
  }
}

double RequestForwarder::RoomRate(const std::string& service) {
  const double lent = room_->RequestsPerSecond(service);
  if (lent > 0) return lent;
  return static_cast<double>(PreferredFor(service).size()) * kRoomAlone /
         ToSeconds(room_->ExpectedTime(service));
}

void RequestForwarder::ServeRoom(const std::string& service) {
  RoomQueue& queue = room_queues_[service];
  while (const auto ticket = NextWaiter(queue)) {
    const auto found = pending_.find(*ticket);
    if (found == pending_.end()) {
      RemoveWaiter(queue, *ticket);
      continue;
    }
    PendingRequest& pending = *found->second;
    pending.room_turn = true;
    RoomSearch search;
    if (FindInRoom(pending, search) == nullptr && search.any_usable) {
      pending.room_turn = false;
      break;
    }
    TakeWaiter(queue, *ticket);
    pending.room_waiting = false;
    metrics_.ObserveRoom("waited");
    TrySend(pending);
  }
  RefuseLateWaiters(service);
}

void RequestForwarder::OnRoomChanged(const std::string& service) {
  const auto queue = room_queues_.find(service);
  if (queue == room_queues_.end() || queue->second.waiters.empty()) return;
  if (!room_posted_.insert(service).second) return;
  loop_.Post([this, service] {
    room_posted_.erase(service);
    ServeRoom(service);
  });
}

void RequestForwarder::NoteRoomFreed(const PendingRequest& pending) {
  if (UsesRoom(pending)) OnRoomChanged(pending.service->name);
}

void RequestForwarder::LeaveRoomQueue(PendingRequest& pending) {
  if (!UsesRoom(pending)) return;
  RemoveWaiter(room_queues_[pending.service->name], pending.exchange);
  NoteRoomFreed(pending);
}

void RequestForwarder::ArmRoomCheck() {
  if (room_timer_ != 0) return;
  room_timer_ = loop_.timers().After(kRoomRecheck, [this] {
    room_timer_ = 0;
    bool waiting = false;
    for (auto& [service, queue] : room_queues_) {
      if (!queue.waiters.empty()) ServeRoom(service);
      waiting |= !queue.waiters.empty();
    }
    if (waiting) ArmRoomCheck();
  });
}

}  // namespace mimosadeal
