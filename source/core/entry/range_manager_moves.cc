// The part of RangeManager that plans and carries out moves of ranges: releases
// and writes of the table.

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/lease_manager.h"
#include "entry/range_manager.h"
#include "entry/range_manager_state.h"
#include "net/event_loop.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

constexpr Duration kReleaseRetryDelay = std::chrono::milliseconds(400);
// Moves that balance load start only if the store confirmed the lease within
// this time.
constexpr Duration kMaxConfirmationAge = std::chrono::milliseconds(400);
// Keys are unserved while they wait to be written. A release is answered when
// the owner's running work has ended, after 0.6 s in half of all moves; those
// of owners without work come within the first milliseconds.
constexpr TableWriteTiming kTableWriteTiming = {std::chrono::milliseconds(15),
                                                std::chrono::milliseconds(100)};

}  // namespace

RangeTable RangeManager::PlannedTable(const Service& service) const {
  RangeTable table = *view_.table(service.name);
  for (const std::shared_ptr<Move>& move : service.moves)
    ApplyMove(table, move->planned);
  return table;
}

void RangeManager::Evacuate(Service& service, RangeTable& planned,
                            const UpstreamIncarnation& owner,
                            const char* reason) {
  const bool left = std::any_of(
      planned.ranges.begin(), planned.ranges.end(), [&](const KeyRange& range) {
        return range.owner == owner.id &&
               range.owner_incarnation == owner.incarnation;
      });
  if (!left) return;
  const auto moves = PlanEvacuation(planned, loads_[service.name], owner,
                                    Candidates(service.name), options_.zone);
  for (const PlannedMove& move : moves) {
    StartMove(service, move, reason);
    ApplyMove(planned, move);
  }
}

std::shared_ptr<RangeManager::Move> RangeManager::StartMove(
    Service& service, const PlannedMove& planned, const char* reason) {
  if (IsMoving(service, planned.first, planned.last)) return nullptr;
  const KeyRange* range = FindRange(*view_.table(service.name), planned.first);
  if (range == nullptr) return nullptr;
  auto move = std::make_shared<Move>();
  move->planned = planned;
  move->from = {range->owner, range->owner_incarnation};
  move->reason = reason;
  move->started_at = loop_.timers().now();
  service.moves.push_back(move);
  log_.LogStateChange("range.moving", {{"service", service.name},
                                       {"first", planned.first},
                                       {"last", planned.last},
                                       {"from", planned.from},
                                       {"to", planned.to.id},
                                       {"generation", range->generation},
                                       {"reason", reason}});
  return move;
}

void RangeManager::AdvanceMoves(Service& service) {
  const MonotonicTime now = loop_.timers().now();
  size_t unreleased = 0;
  for (const std::shared_ptr<Move>& move : service.moves) {
    if (!move->released && now >= holds_.FreeAt(move->from)) {
      move->released = true;
      log_.LogStateChange("range.expired",
                          {{"service", service.name},
                           {"first", move->planned.first},
                           {"last", move->planned.last},
                           {"from", move->from.id},
                           {"waited_ms", now - move->started_at}});
    }
    if (move->released) continue;
    ++unreleased;
    // The first release stops the old owner's work. A later one waits until its
    // answer counts.
    const bool waits = move->release_answered && MayTakeKeys(*move);
    if (!move->release_pending && !waits && now >= move->next_release_at)
      SendRelease(service, move);
  }
  AnnounceMoves(service);
  TableWriteState& state = service.write_state;
  if (unreleased == service.moves.size()) {
    state.released_since = kNever;
    return;
  }
  if (state.released_since == kNever) state.released_since = now;
  ScheduleTableWrite(service);
}

void RangeManager::ScheduleTableWrite(Service& service) {
  const MonotonicTime now = loop_.timers().now();
  const auto unreleased = static_cast<size_t>(std::count_if(
      service.moves.begin(), service.moves.end(),
      [](const std::shared_ptr<Move>& move) { return !move->released; }));
  const MonotonicTime at =
      NextTableWrite(service.write_state, unreleased, kTableWriteTiming);
  loop_.timers().Cancel(std::exchange(service.write_timer, 0));
  if (now >= at) {
    WriteTable(service);
    return;
  }
  service.write_timer =
      loop_.timers().After(at - now, [this, name = service.name] {
        Service* current = Find(name);
        if (current == nullptr) return;
        current->write_timer = 0;
        WriteTable(*current);
      });
}

void RangeManager::SendRelease(Service& service,
                               const std::shared_ptr<Move>& move) {
  const ListedUpstream* listed = view_.directory().Find(move->from.id);
  if (listed == nullptr) return;
  // A grant that was sent before this host learned of the restart may have
  // reached the new incarnation, which has the same id. It must release the
  // keys as well.
  const bool restarted = listed->record.incarnation != move->from.incarnation;
  move->release_pending = true;
  // The higher generation makes the upstream refuse delayed renewals of older
  // grants.
  const uint64_t generation = view_.table(service.name)->last_generation + 1;
  // A grant that is on its way may be taken after this release.
  const bool overtakes = MayTakeKeys(*move);
  commands_.Release(
      listed->record, {move->planned.first, move->planned.last, generation},
      options_.longest_hold,
      [this, name = service.name, move, restarted, overtakes,
       epoch = epoch_](const KeyCommandResult& result) {
        if (epoch != epoch_) return;
        const MonotonicTime now = loop_.timers().now();
        move->release_pending = false;
        move->next_release_at = now + kReleaseRetryDelay;
        if (result.reply.handover_unreadable) {
          log_.LogStateChange("handover.rejected",
                              {{"service", name},
                               {"upstream", move->from.id},
                               {"first", move->planned.first},
                               {"last", move->planned.last},
                               {"reason", "it is no UTF-8"}});
        }
        if (result.replied && result.reply.outcome == CommandOutcome::kDone) {
          // A grant without a response may still take effect at the upstream.
          move->released =
              !overtakes &&
              (restarted || now >= holds_.FreeAfterRelease(move->from));
          if (overtakes) move->next_release_at = now;
          // A handover from the new incarnation does not describe the state of
          // the old one.
          if (!restarted && !result.reply.handover.empty())
            move->handover = result.reply.handover;
          move->release_answered = true;
        } else if (Service* current = Find(name)) {
          WithdrawMove(*current, *move);
        }
        if (Service* current = Find(name)) AdvanceMoves(*current);
      });
}

bool RangeManager::MayTakeKeys(const Move& move) const {
  return holds_.MayTake(move.from, {move.planned.first, move.planned.last});
}

void RangeManager::WriteTable(Service& service) {
  const MonotonicTime now = loop_.timers().now();
  if (service.write_pending || now < service.next_write_at ||
      !lease_.active()) {
    return;
  }
  RangeTable table = *view_.table(service.name);
  std::vector<std::shared_ptr<Move>> written;
  std::erase_if(service.moves, [&](const std::shared_ptr<Move>& move) {
    if (!move->released) return false;
    const KeyRange* range = FindRange(table, move->planned.first);
    const bool still_valid =
        range->owner == move->from.id &&
        range->owner_incarnation == move->from.incarnation &&
        range->last >= move->planned.last;
    if (!still_valid) return true;
    KeyRange part;
    part.first = move->planned.first;
    part.last = move->planned.last;
    part.owner = move->planned.to.id;
    part.owner_incarnation = move->planned.to.incarnation;
    part.zone = move->planned.to.zone;
    part.generation = ++table.last_generation;
    part.handover = move->handover;
    AssignPart(table, part);
    written.push_back(move);
    return false;
  });
  if (written.empty()) return;
  // A handover is no longer needed after its grant was acknowledged.
  for (KeyRange& range : table.ranges) {
    const auto grant =
        service.grants.find({range.first, range.last, range.generation});
    if (grant != service.grants.end() && grant->second.acknowledged)
      range.handover.clear();
  }
  MergeNeighbours(table, options_.zone);
  service.write_pending = true;
  service.write_state = {now, kNever};
  store_.Write({kRangeTableKind, service.name,
                view_.stored_revision(service.name), EncodeRangeTable(table)},
               [this, name = service.name, written,
                epoch = epoch_](Result<StoredObject> result) {
                 if (epoch == epoch_)
                   OnTableWritten(name, written, std::move(result));
               });
}

void RangeManager::OnTableWritten(
    const std::string& name, const std::vector<std::shared_ptr<Move>>& moves,
    Result<StoredObject> result) {
  Service* service = Find(name);
  if (service == nullptr) return;
  if (!result.has_value()) {
    // Retries later, and first reads the table again unless the write certainly
    // had no effect.
    OnTableClaimed(name, std::move(result));
    return;
  }
  service->write_pending = false;
  const auto table = DecodeTable(result.value());
  if (!table.has_value()) return;
  for (const std::shared_ptr<Move>& move : moves) {
    std::erase(service->moves, move);
    log_.LogStateChange("range.moved",
                        {{"service", name},
                         {"first", move->planned.first},
                         {"last", move->planned.last},
                         {"from", move->from.id},
                         {"to", move->planned.to.id},
                         {"handover", !move->handover.empty()},
                         {"revision", table->revision},
                         {"took_ms", loop_.timers().now() - move->started_at}});
  }
  if (on_table_written_) on_table_written_(*table);
  view_.ApplyTable(*table);
  RenewGrants(*service);
}

void RangeManager::ReplaceRetired(Service& service) {
  for (const KeyRange& part : PartsThatStay(
           *view_.table(service.name), options_.zone, MovingSpans(service))) {
    if (IsRetired(service.retired, part))
      ReplaceGeneration(service, part, "the upstream may have restarted");
  }
}

void RangeManager::ReplaceGeneration(Service& service, const KeyRange& part,
                                     const char* reason) {
  // The reply to a grant may come after the range has moved.
  if (!IsInForce(*view_.table(service.name), part)) return;
  const PlannedMove regrant{part.first,
                            part.last,
                            part.owner,
                            {part.owner, part.owner_incarnation, part.zone, 1}};
  const auto move = StartMove(service, regrant, reason);
  if (move != nullptr) move->released = true;
}

void RangeManager::Balance(Service& service) {
  const MonotonicTime now = loop_.timers().now();
  if (!service.moves.empty() || now < service.next_balance_at) return;
  // During an outage of the store a move cannot be recorded, and its keys would
  // have no owner.
  if (now - lease_.confirmed_at() > kMaxConfirmationAge) return;
  service.next_balance_at = now + options_.balance_interval;
  const auto planned =
      PlanBalance(*view_.table(service.name), loads_[service.name],
                  Candidates(service.name), options_.zone, options_.balance,
                  noise_[service.name]);
  for (const PlannedMove& move : planned)
    StartMove(service, move, "to balance the load");
}

}  // namespace mimosadeal
