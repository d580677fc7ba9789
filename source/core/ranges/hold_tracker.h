// Tracks, for each incarnation of an upstream, the latest time until which a
// grant that was sent to it can be in force. The hold of a grant is the time
// for which the upstream may serve the granted keys, counted from the grant's
// arrival.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/boot_clock.h"

namespace mimosadeal {

// One incarnation of an upstream: its process between one start and its end. A
// restarted upstream keeps its id and has another incarnation number.
struct UpstreamIncarnation {
  std::string id;
  int64_t incarnation = 0;

  auto operator<=>(const UpstreamIncarnation&) const = default;
};

// End times of the grants to one incarnation, on the late side.
struct HoldBounds {
  MonotonicTime any_until = kNever;  // Over all grants sent.
  // Over the grants without a reply; they may still take effect.
  MonotonicTime unanswered_until = kNever;
};

class HoldTracker {
 public:
  // `clock_guard` is the fraction by which an upstream's clock may run slower
  // than this host's. `margin` is the longest time from sending a grant to its
  // arrival.
  HoldTracker(double clock_guard, Duration margin)
      : clock_guard_(clock_guard), margin_(margin) {}

  // Assumes that the previous lease holder sent grants of `longest_hold` to
  // every upstream until `until`.
  void AssumeHeld(MonotonicTime until, Duration longest_hold);
  void OnSent(const UpstreamIncarnation& upstream, MonotonicTime now,
              Duration hold);
  void OnUnanswered(const UpstreamIncarnation& upstream, MonotonicTime sent_at,
                    Duration hold);
  // Records that the incarnation has ended, which voids its grants.
  void OnEnded(const UpstreamIncarnation& upstream);

  // Returns the time by which every grant to `upstream` has certainly expired.
  MonotonicTime FreeAt(const UpstreamIncarnation& upstream) const;
  // The same after the incarnation acknowledged a release: only grants without
  // a reply can still take effect.
  MonotonicTime FreeAfterRelease(const UpstreamIncarnation& upstream) const;
  // Returns the latest end of a hold by a grant that was sent at `sent_at`.
  MonotonicTime HoldEnd(MonotonicTime sent_at, Duration hold) const;

 private:
  double clock_guard_;
  Duration margin_;
  MonotonicTime assumed_until_ = kNever;
  std::map<UpstreamIncarnation, HoldBounds> bounds_;
  std::map<UpstreamIncarnation, bool> ended_;
};

}  // namespace mimosadeal
