#include "ranges/move_notices.h"

#include <algorithm>
#include <vector>

namespace mimosadeal {
namespace {

// More than the ranges of the largest service that change hands at once.
constexpr size_t kMaxMoves = 2048;
constexpr size_t kMaxDurations = 31;
constexpr Duration kAssumedMoveTime = std::chrono::milliseconds(200);
// Longer lifetimes are cut, so that a corrupt message has no lasting effect.
constexpr Duration kMaxLifetime = kMoveNoticeLifetime * 2;
// For which a withdrawal is remembered. Later than this, no earlier notice of
// the move arrives unless its host was frozen.
constexpr Duration kWithdrawalLifetime = std::chrono::seconds(2);

bool IsValid(const MovingKeys& keys) {
  return keys.first >= kFirstKey && keys.first <= keys.last &&
         keys.last <= kLastKey;
}

// Whether the table names another owner than the notice, or the same by a later
// grant. A table with a lower generation lacks a step that the notice's sender
// had, so its owner is not the right one either.
bool IsOutdated(const KeyRange& range, const MovingKeys& keys) {
  return range.generation > keys.generation ||
         (range.generation == keys.generation && range.owner != keys.owner);
}

std::vector<int> Overlapping(const MoveNotices& notices,
                             const MovingKeys& keys) {
  std::vector<int> found;
  for (const auto& [first, move] : notices.moves) {
    if (first > keys.last) break;
    if (move.keys.last >= keys.first) found.push_back(first);
  }
  return found;
}

}  // namespace

NoticeEffect NoteMove(MoveNotices& notices, const RangeTable* table,
                      const MovingKeys& keys, Duration lifetime,
                      MonotonicTime now) {
  if (!IsValid(keys)) return NoticeEffect::kInvalid;
  const KeyRange* range =
      table == nullptr ? nullptr : FindRange(*table, keys.first);
  if (range != nullptr && IsOutdated(*range, keys))
    return NoticeEffect::kOutdated;
  NoticedMove move{keys, now, now + std::min(lifetime, kMaxLifetime), false};
  for (const int first : Overlapping(notices, keys)) {
    const NoticedMove& known = notices.moves.at(first);
    const bool lapsed = known.lapses_at <= now;
    const bool same = known.keys.first == keys.first &&
                      known.keys.last == keys.last &&
                      known.keys.owner == keys.owner;
    const bool newer = known.keys.generation > keys.generation ||
                       (known.keys.generation == keys.generation &&
                        (known.withdrawn || !same));
    if (!lapsed && newer) return NoticeEffect::kOutdated;
    // A merge of neighbours may raise the generation while the move goes on.
    if (same && !known.withdrawn && !lapsed) move.begun_at = known.begun_at;
  }
  for (const int first : Overlapping(notices, keys)) notices.moves.erase(first);
  if (notices.moves.size() >= kMaxMoves) return NoticeEffect::kInvalid;
  notices.moves[keys.first] = move;
  return move.begun_at == now ? NoticeEffect::kNew : NoticeEffect::kRepeated;
}

bool NoteMoveWithdrawn(MoveNotices& notices, const MovingKeys& keys,
                       MonotonicTime now) {
  if (!IsValid(keys)) return false;
  bool known = false;
  for (const int first : Overlapping(notices, keys)) {
    const NoticedMove& move = notices.moves.at(first);
    if (move.keys.generation > keys.generation) return false;
    known |= !move.withdrawn && move.lapses_at > now;
  }
  for (const int first : Overlapping(notices, keys)) notices.moves.erase(first);
  if (notices.moves.size() >= kMaxMoves) return known;
  notices.moves[keys.first] = {keys, now, now + kWithdrawalLifetime, true};
  return known;
}

void ApplyTableToMoves(MoveNotices& notices, const RangeTable& table,
                       MonotonicTime now) {
  std::erase_if(notices.moves, [&](const auto& entry) {
    const NoticedMove& move = entry.second;
    if (move.lapses_at <= now) return true;
    const KeyRange* range = FindRange(table, move.keys.first);
    const bool ended =
        range != nullptr && range->generation > move.keys.generation;
    if (!ended) return false;
    if (!move.withdrawn && range->owner != move.keys.owner) {
      notices.durations.push_back(now - move.begun_at);
      if (notices.durations.size() > kMaxDurations)
        notices.durations.pop_front();
    }
    return true;
  });
}

const NoticedMove* FindMove(const MoveNotices& notices, const KeyRange& range,
                            int key, MonotonicTime now) {
  auto next = notices.moves.upper_bound(key);
  if (next == notices.moves.begin()) return nullptr;
  const NoticedMove& move = std::prev(next)->second;
  const bool counts = !move.withdrawn && move.keys.last >= key &&
                      move.lapses_at > now && !IsOutdated(range, move.keys);
  return counts ? &move : nullptr;
}

Duration TypicalMoveTime(const MoveNotices& notices) {
  if (notices.durations.empty()) return kAssumedMoveTime;
  std::vector<Duration> sorted(notices.durations.begin(),
                               notices.durations.end());
  const auto middle =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

Duration ExpectedMoveTimeLeft(const NoticedMove& move, Duration typical,
                              MonotonicTime now) {
  const Duration elapsed = now - move.begun_at;
  return elapsed < typical ? typical - elapsed : elapsed;
}

MoveWaitDecision DecideMoveWait(const NoticedMove& move, Duration typical,
                                MonotonicTime wait_until, size_t waiting,
                                size_t max_waiting, MonotonicTime now) {
  MoveWaitDecision decision;
  decision.expected = ExpectedMoveTimeLeft(move, typical, now);
  if (now + decision.expected > wait_until) {
    decision.wait = MoveWait::kTooLate;
  } else if (waiting >= max_waiting) {
    decision.wait = MoveWait::kTooMany;
  }
  return decision;
}

}  // namespace mimosadeal
