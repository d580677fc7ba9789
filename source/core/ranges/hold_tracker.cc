#include "ranges/hold_tracker.h"

#include <algorithm>

namespace mimosadeal {

MonotonicTime HoldTracker::HoldEnd(MonotonicTime arrived_by,
                                   Duration hold) const {
  return arrived_by +
         Duration(static_cast<int64_t>(static_cast<double>(hold.count()) *
                                       (1 + timing_.clock_guard)));
}

MonotonicTime HoldTracker::FormerHoldEnd(MonotonicTime until,
                                         Duration hold) const {
  return HoldEnd(until + timing_.delivery + timing_.transit, hold);
}

void HoldTracker::AssumeHeld(MonotonicTime until, Duration longest_hold) {
  assumed_until_ = std::max(assumed_until_, FormerHoldEnd(until, longest_hold));
}

SentGrantId HoldTracker::OnSent(const UpstreamIncarnation& upstream,
                                const SentGrant& grant) {
  bounds_[upstream].open[++last_id_] = grant;
  return last_id_;
}

void HoldTracker::OnAnswered(const UpstreamIncarnation& upstream,
                             SentGrantId grant, MonotonicTime now) {
  HoldBounds& bounds = bounds_[upstream];
  const auto found = bounds.open.find(grant);
  if (found == bounds.open.end()) return;
  bounds.any_until =
      std::max(bounds.any_until, HoldEnd(now, found->second.hold));
  bounds.open.erase(found);
}

void HoldTracker::Close(HoldBounds& bounds, const SentGrant& grant,
                        MonotonicTime now) const {
  const MonotonicTime until = HoldEnd(now + timing_.transit, grant.hold);
  bounds.any_until = std::max(bounds.any_until, until);
  bounds.unanswered_until = std::max(bounds.unanswered_until, until);
}

void HoldTracker::OnClosed(const UpstreamIncarnation& upstream,
                           SentGrantId grant, MonotonicTime now) {
  HoldBounds& bounds = bounds_[upstream];
  const auto found = bounds.open.find(grant);
  if (found == bounds.open.end()) return;
  Close(bounds, found->second, now);
  bounds.open.erase(found);
}

void HoldTracker::OnUnsent(const UpstreamIncarnation& upstream,
                           SentGrantId grant) {
  bounds_[upstream].open.erase(grant);
}

void HoldTracker::OnAllClosed(MonotonicTime now) {
  for (auto& [upstream, bounds] : bounds_) {
    for (const auto& [id, grant] : bounds.open) Close(bounds, grant, now);
    bounds.open.clear();
  }
}

void HoldTracker::OnEnded(const UpstreamIncarnation& upstream) {
  bounds_.erase(upstream);
  ended_[upstream] = true;
}

bool HoldTracker::MayTake(const UpstreamIncarnation& upstream,
                          const KeySpan& keys) const {
  const auto found = bounds_.find(upstream);
  if (found == bounds_.end()) return false;
  return std::any_of(found->second.open.begin(), found->second.open.end(),
                     [&keys](const auto& entry) {
                       const KeySpan& granted = entry.second.keys;
                       return granted.first <= keys.last &&
                              granted.last >= keys.first;
                     });
}

MonotonicTime HoldTracker::FreeAt(const UpstreamIncarnation& upstream) const {
  const auto found = bounds_.find(upstream);
  const bool open = found != bounds_.end() && !found->second.open.empty();
  return open && !ended_.contains(upstream) ? kForever : KnownUntil(upstream);
}

MonotonicTime HoldTracker::KnownUntil(
    const UpstreamIncarnation& upstream) const {
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
