#include "ranges/hold_tracker.h"

#include <algorithm>

namespace mimosadeal {

MonotonicTime HoldTracker::Until(MonotonicTime sent_at, Duration hold) const {
  const auto stretched = Duration(static_cast<int64_t>(
      static_cast<double>(hold.count()) * (1 + clock_guard_)));
  return sent_at + stretched + margin_;
}

void HoldTracker::AssumeHeld(MonotonicTime now, Duration longest_hold) {
  assumed_until_ = std::max(assumed_until_, Until(now, longest_hold));
}

void HoldTracker::OnSent(const UpstreamIncarnation& life, MonotonicTime now,
                         Duration hold) {
  HoldBounds& bounds = bounds_[life];
  bounds.any_until = std::max(bounds.any_until, Until(now, hold));
}

void HoldTracker::OnUnanswered(const UpstreamIncarnation& life,
                               MonotonicTime sent_at, Duration hold) {
  HoldBounds& bounds = bounds_[life];
  bounds.unanswered_until =
      std::max(bounds.unanswered_until, Until(sent_at, hold));
}

void HoldTracker::OnEnded(const UpstreamIncarnation& life) {
  bounds_.erase(life);
  ended_[life] = true;
}

MonotonicTime HoldTracker::FreeAt(const UpstreamIncarnation& life) const {
  if (ended_.contains(life)) return kNever;
  const auto found = bounds_.find(life);
  return found == bounds_.end()
             ? assumed_until_
             : std::max(assumed_until_, found->second.any_until);
}

MonotonicTime HoldTracker::FreeAfterRelease(
    const UpstreamIncarnation& life) const {
  if (ended_.contains(life)) return kNever;
  const auto found = bounds_.find(life);
  return found == bounds_.end() ? kNever : found->second.unanswered_until;
}

}  // namespace mimosadeal
