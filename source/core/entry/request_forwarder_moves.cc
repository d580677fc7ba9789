// The part of RequestForwarder that makes requests wait for the new owner of
// their key while the key is being moved, instead of trying the old one.

#include <algorithm>

#include "common/enum_names.h"
#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/entry_metrics.h"
#include "entry/request_forwarder.h"
#include "entry/request_forwarder_state.h"
#include "inner/move_messages.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// Each may have a body in memory. A host gets tens of requests per second.
constexpr size_t kMaxWaitingForMoves = 128;
// The new owner is granted its keys when the table has changed, by a lease
// holder that may be in another zone. The wait is spread over twice this.
constexpr Duration kGrantTime = std::chrono::milliseconds(20);

constexpr EnumNames<MoveWait, 3> kMoveWaitNames = {{
    {MoveWait::kWait, "waits"},
    {MoveWait::kTooLate, "too late"},
    {MoveWait::kTooMany, "too many"},
}};

}  // namespace

void RequestForwarder::OnMoveNotice(const MoveNotice& notice) {
  const MonotonicTime now = loop_.timers().now();
  const RangeTable* table = view_.table(notice.service);
  // A service without a table has no moves.
  if (table == nullptr) return;
  MoveNotices& notices = move_notices_[notice.service];
  const Duration lifetime = std::chrono::milliseconds(notice.lifetime_ms);
  std::map<NoticeEffect, uint64_t> effects;
  uint64_t withdrawn = 0;
  for (const MovingRange& range : notice.ranges) {
    const MovingKeys keys{range.first, range.last, range.owner,
                          range.generation};
    if (lifetime == Duration::zero()) {
      withdrawn += NoteMoveWithdrawn(notices, keys, now) ? 1 : 0;
    } else {
      ++effects[NoteMove(notices, table, keys, lifetime, now)];
    }
  }
  if (withdrawn == 0 && effects[NoticeEffect::kNew] == 0 &&
      effects[NoticeEffect::kInvalid] == 0) {
    return;
  }
  log_.LogRequest("moves.noticed",
                  {{"service", notice.service},
                   {"new", effects[NoticeEffect::kNew]},
                   {"withdrawn", withdrawn},
                   {"outdated", effects[NoticeEffect::kOutdated]},
                   {"invalid", effects[NoticeEffect::kInvalid]},
                   {"first", notice.ranges.front().first},
                   {"generation", notice.ranges.front().generation},
                   {"table", table->revision}});
  if (withdrawn > 0) OnViewChanged();
}

void RequestForwarder::ApplyTablesToMoves() {
  for (auto& [service, notices] : move_notices_) {
    if (notices.moves.empty()) continue;
    if (const RangeTable* table = view_.table(service))
      ApplyTableToMoves(notices, *table, loop_.timers().now());
  }
}

bool RequestForwarder::WaitsForMove(PendingRequest& pending,
                                    const KeyRange& range) {
  const MonotonicTime now = loop_.timers().now();
  const auto notices = move_notices_.find(pending.service->name);
  const NoticedMove* move =
      notices == move_notices_.end()
          ? nullptr
          : FindMove(notices->second, range, *pending.request.key, now);
  const MonotonicTime until = OwnerWaitEnd(pending);
  if (move == nullptr) {
    if (!pending.moving_from.empty()) EndMoveWait(pending, range);
    if (now >= pending.send_after || pending.send_after >= until) return false;
    WaitForOwner(pending, RefusalReason::kNoOwner, pending.send_after - now);
    return true;
  }
  const auto waiting = static_cast<size_t>(
      std::count_if(pending_.begin(), pending_.end(), [](const auto& entry) {
        return entry.second->waiting && !entry.second->moving_from.empty();
      }));
  const bool known = !pending.moving_from.empty();
  const MoveWaitDecision decision =
      DecideMoveWait(*move, TypicalMoveTime(notices->second), until, waiting,
                     kMaxWaitingForMoves, now);
  // One that waits already goes on until its time is over.
  if (!known) NoteMoveWait(pending, *move, decision);
  if (!known && decision.wait != MoveWait::kWait) {
    Refuse(pending, RefusalReason::kNoOwner,
           std::max(decision.expected, kOwnerRecheckDelay));
    return true;
  }
  pending.moving_from = move->keys.owner;
  WaitForOwner(
      pending, RefusalReason::kNoOwner,
      move->lapses_at < until ? move->lapses_at - now : Duration::zero());
  return true;
}

void RequestForwarder::NoteMoveWait(const PendingRequest& pending,
                                    const NoticedMove& move,
                                    const MoveWaitDecision& decision) {
  const std::string_view name = NameOf(kMoveWaitNames, decision.wait);
  metrics_.ObserveMoveWait(name);
  log_.LogRequest("request.key-moves",
                  {{"id", pending.request.id},
                   {"decision", name},
                   {"key", pending.request.key.value_or(-1)},
                   {"from", move.keys.owner},
                   {"generation", move.keys.generation},
                   {"begun_ms_ago", loop_.timers().now() - move.begun_at},
                   {"expected_ms", decision.expected},
                   {"sends", pending.sends}});
}

void RequestForwarder::EndMoveWait(PendingRequest& pending,
                                   const KeyRange& range) {
  const bool moved = range.owner != pending.moving_from;
  pending.moving_from.clear();
  metrics_.ObserveMoveWait(moved ? "moved" : "not moved");
  if (!moved) return;
  const Duration spread = Duration(static_cast<int64_t>(
      random_.Unit() * static_cast<double>(kGrantTime.count())));
  pending.send_after = loop_.timers().now() + kGrantTime + spread;
}

}  // namespace mimosadeal
