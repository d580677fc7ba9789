// The moves of a range keeper: releases, writes of the table, and the plans
// that lead to them.

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/lease_keeper.h"
#include "entry/range_keeper.h"
#include "entry/range_keeper_state.h"
#include "net/event_loop.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

// Pause between attempts to release a range.
constexpr Duration kReleaseRetry = std::chrono::milliseconds(400);
// A move that can wait begins only this soon after the store confirmed the
// lease.
constexpr Duration kFreshConfirmation = std::chrono::milliseconds(400);

}  // namespace

RangeTable RangeKeeper::PlannedTable(const Service& service) const {
  RangeTable table = *view_.table(service.name);
  for (const std::shared_ptr<Move>& move : service.moves)
    ApplyMove(table, move->planned);
  return table;
}

void RangeKeeper::Evacuate(Service& service, RangeTable& planned,
                           const UpstreamLife& owner, const char* reason) {
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

void RangeKeeper::StartMove(Service& service, const PlannedMove& planned,
                            const char* reason) {
  if (IsMoving(service, planned.first, planned.last)) return;
  const KeyRange* range = FindRange(*view_.table(service.name), planned.first);
  if (range == nullptr) return;
  auto move = std::make_shared<Move>();
  move->planned = planned;
  move->from = {range->owner, range->owner_incarnation};
  move->reason = reason;
  move->started_at = loop_.timers().now();
  service.moves.push_back(move);
  log_.Belief("range.moving", {{"service", service.name},
                               {"first", planned.first},
                               {"last", planned.last},
                               {"from", planned.from},
                               {"to", planned.to.id},
                               {"generation", range->generation},
                               {"reason", reason}});
}

void RangeKeeper::AdvanceMoves(Service& service) {
  const MonotonicTime now = loop_.timers().now();
  bool any_released = false;
  for (const std::shared_ptr<Move>& move : service.moves) {
    if (!move->released && now >= holds_.FreeAt(move->from))
      move->released = true;
    if (move->released) {
      any_released = true;
    } else if (!move->release_pending && now >= move->next_release_at) {
      SendRelease(service, move);
    }
  }
  if (any_released) WriteTable(service);
}

void RangeKeeper::SendRelease(Service& service,
                              const std::shared_ptr<Move>& move) {
  const ListedUpstream* listed = view_.directory().Find(move->from.id);
  if (listed == nullptr) return;
  // A grant that was sent before the restart was known may have reached the new
  // life, which has the old one's id: it must let go as well.
  const bool restarted = listed->record.incarnation != move->from.incarnation;
  move->release_pending = true;
  // The higher number makes the upstream refuse older renewals that come late.
  const uint64_t generation = view_.table(service.name)->last_generation + 1;
  orders_.Release(
      listed->record, {move->planned.first, move->planned.last, generation},
      options_.longest_hold,
      [this, name = service.name, move, restarted,
       epoch = epoch_](const OrderResult& result) {
        if (epoch != epoch_) return;
        const MonotonicTime now = loop_.timers().now();
        move->release_pending = false;
        move->next_release_at = now + kReleaseRetry;
        if (result.answered && result.reply.outcome == CommandOutcome::kDone) {
          // A grant without an answer may still take effect at the upstream.
          move->released =
              restarted || now >= holds_.FreeAfterRelease(move->from);
          // What a new life says of the keys is not the old one's to hand on.
          if (!restarted) move->handover = result.reply.handover;
        }
        if (Service* current = Find(name)) AdvanceMoves(*current);
      });
}

void RangeKeeper::WriteTable(Service& service) {
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
  // A handover has served its purpose once its grant was acknowledged.
  for (KeyRange& range : table.ranges) {
    const auto grant =
        service.grants.find({range.first, range.last, range.generation});
    if (grant != service.grants.end() && grant->second.acknowledged)
      range.handover.clear();
  }
  MergeNeighbours(table, options_.zone);
  service.write_pending = true;
  store_.Write(
      {kRangeTableKind, service.name, table.revision, EncodeRangeTable(table)},
      [this, name = service.name, written,
       epoch = epoch_](Result<StoredObject> result) {
        if (epoch == epoch_) OnTableWritten(name, written, std::move(result));
      });
}

void RangeKeeper::OnTableWritten(
    const std::string& name, const std::vector<std::shared_ptr<Move>>& moves,
    Result<StoredObject> result) {
  Service* service = Find(name);
  if (service == nullptr) return;
  if (!result.has_value()) {
    // Reads the table anew and tries again, unless the store did nothing.
    OnClaimed(name, std::move(result));
    return;
  }
  service->write_pending = false;
  const auto table = ReadTable(result.value());
  if (!table.has_value()) return;
  for (const std::shared_ptr<Move>& move : moves) {
    std::erase(service->moves, move);
    log_.Belief("range.moved",
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
  view_.TakeTable(*table);
  RenewGrants(*service);
}

// The loss of a connection shows once, whichever grant comes next: all that the
// life may have been granted is meant. No life has what was never sent.
void RangeKeeper::RaiseGenerations(Service& service, const UpstreamLife& life,
                                   const char* reason) {
  const RangeTable& table = *view_.table(service.name);
  std::vector<KeyRange> parts;
  for (const auto& [key, grant] : service.grants) {
    const auto& [first, last, generation] = key;
    const KeyRange* range = FindRange(table, first);
    if (!grant.written || range == nullptr || range->owner != life.id ||
        range->owner_incarnation != life.incarnation ||
        range->generation != generation) {
      continue;
    }
    parts.push_back(*range);
    parts.back().first = first;
    parts.back().last = last;
  }
  for (const KeyRange& part : parts) RaiseGeneration(service, part, reason);
}

void RangeKeeper::RaiseGeneration(Service& service, const KeyRange& range,
                                  const char* reason) {
  const PlannedMove again{
      range.first,
      range.last,
      range.owner,
      {range.owner, range.owner_incarnation, range.zone, 1}};
  StartMove(service, again, reason);
  for (const std::shared_ptr<Move>& move : service.moves) {
    if (move->planned.first == range.first &&
        move->planned.last == range.last &&
        move->planned.to.id == range.owner) {
      move->released = true;
    }
  }
}

void RangeKeeper::Balance(Service& service) {
  const MonotonicTime now = loop_.timers().now();
  if (!service.moves.empty() || now < service.next_balance_at) return;
  // Keys whose move the store cannot record have no owner while it is away.
  if (now - lease_.confirmed_at() > kFreshConfirmation) return;
  service.next_balance_at = now + options_.balance_interval;
  const auto planned =
      PlanBalance(*view_.table(service.name), loads_[service.name],
                  Candidates(service.name), options_.zone, options_.balance,
                  noise_[service.name]);
  for (const PlannedMove& move : planned)
    StartMove(service, move, "to balance the load");
}

}  // namespace mimosadeal
