// The part of RangeManager that tells which ranges are being moved, so that
// requests for them wait for their new owner. A notice has no part in the
// safety of a move.

#include "entry/deployment_view.h"
#include "entry/range_manager.h"
#include "entry/range_manager_state.h"
#include "net/event_loop.h"
#include "ranges/move_notices.h"

namespace mimosadeal {
namespace {

// For which a move is announced whose owner has not answered the release. Most
// answer sooner; one that has not received it may go on serving the keys.
constexpr Duration kMaxUnansweredTime = std::chrono::seconds(2);

}  // namespace

// An owner that may not get the release goes on serving the keys until its
// grants expire, so such moves are not announced.
bool RangeManager::MayAnnounce(const Service& service, const Move& move) const {
  if (move.withdrawn) return false;
  if (move.release_answered) return true;
  const ListedUpstream* listed = view_.directory().Find(move.from.id);
  const auto state = service.owners.find(move.from);
  const bool unanswered_for_long =
      move.announced_at != kNever &&
      loop_.timers().now() - move.announced_since >= kMaxUnansweredTime;
  return move.release_pending && !unanswered_for_long && listed != nullptr &&
         listed->record.incarnation == move.from.incarnation &&
         (state == service.owners.end() || !IsSuspect(state->second));
}

void RangeManager::AnnounceMoves(Service& service) {
  if (!on_moves_) return;
  const MonotonicTime now = loop_.timers().now();
  const RangeTable& table = *view_.table(service.name);
  std::vector<MovingKeys> keys;
  for (const std::shared_ptr<Move>& move : service.moves) {
    const KeyRange* range = FindRange(table, move->planned.first);
    if (range == nullptr || range->owner != move->from.id) continue;
    if (!MayAnnounce(service, *move)) {
      WithdrawMove(service, *move);
      continue;
    }
    // A merge of neighbours has given the range a new one.
    const bool outdated = range->generation != move->announced_generation;
    if (!outdated && now - move->announced_at < kMoveNoticeInterval) continue;
    if (move->announced_at == kNever) move->announced_since = now;
    move->announced_at = now;
    move->announced_generation = range->generation;
    keys.push_back({move->planned.first, move->planned.last, range->owner,
                    range->generation});
  }
  if (!keys.empty()) on_moves_(service.name, keys, kMoveNoticeLifetime);
}

void RangeManager::WithdrawMove(Service& service, Move& move) {
  if (!on_moves_ || move.announced_at == kNever || move.withdrawn) return;
  move.withdrawn = true;
  const KeyRange* range =
      FindRange(*view_.table(service.name), move.planned.first);
  if (range == nullptr || range->owner != move.from.id) return;
  on_moves_(service.name,
            {{move.planned.first, move.planned.last, range->owner,
              range->generation}},
            Duration::zero());
}

}  // namespace mimosadeal
