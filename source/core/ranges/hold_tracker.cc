#include "ranges/hold_tracker.h"

#include <algorithm>

namespace mimosadeal {

MonotonicTime HoldTracker::HoldEnd(MonotonicTime sent_at, Duration hold) const {
  const auto lengthened = Duration(static_cast<int64_t>(
      static_cast<double>(hold.count()) * (1 + clock_guard_)));
  return sent_at + lengthened + margin_;
}

void HoldTracker::AssumeHeld(MonotonicTime until, Duration longest_hold) {
  assumed_until_ = std::max(assumed_until_, HoldEnd(until, longest_hold));
}

void HoldTracker::OnSent(const UpstreamIncarnation& upstream, MonotonicTime now,
                         Duration hold) {
  HoldBounds& bounds = bounds_[upstream];
  bounds.any_until = std::max(bounds.any_until, HoldEnd(now, hold));
}

void HoldTracker::OnUnanswered(const UpstreamIncarnation& upstream,
                               MonotonicTime sent_at, Duration hold) {
  HoldBounds& bounds = bounds_[upstream];
  bounds.unanswered_until =
      std::max(bounds.unanswered_until, HoldEnd(sent_at, hold));
}

void HoldTracker::OnEnded(const UpstreamIncarnation& upstream) {
  bounds_.erase(upstream);
  ended_[upstream] = true;
}

MonotonicTime HoldTracker::FreeAt(const UpstreamIncarnation& upstream) const {
  if (ended_.contains(upstream)) return kNever;
  const auto found = bounds_.find(upstream);
  return found == bounds_.end()
             ? assumed_until_
             : std::max(assumed_until_, found->second.any_until);
}

MonotonicTime HoldTracker::FreeAfterRelease(
    const UpstreamIncarnation& upstream) const {
  if (ended_.contains(upstream)) return kNever;
  const auto found = bounds_.find(upstream);
  return found == bounds_.end() ? kNever : found->second.unanswered_until;
}

}  // namespace mimosadeal
