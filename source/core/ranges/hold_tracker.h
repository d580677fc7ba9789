// What may still be in force at an upstream: the latest time until which any
// grant that was sent to one life of it can hold.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/boot_clock.h"

namespace mimosadeal {

// One life of an upstream.
struct UpstreamIncarnation {
  std::string id;
  int64_t incarnation = 0;

  auto operator<=>(const UpstreamIncarnation&) const = default;
};

struct HoldBounds {
  MonotonicTime any_until = kNever;  // Over all grants sent.
  // Over the grants that got no answer; they may still take effect.
  MonotonicTime unanswered_until = kNever;
};

class HoldTracker {
 public:
  // `clock_guard`: how much slower an upstream's clock may run, as a share.
  // `margin`: for what a grant may take to arrive after it was sent.
  HoldTracker(double clock_guard, Duration margin)
      : clock_guard_(clock_guard), margin_(margin) {}

  // The holder of a lease before this one may have sent grants until `now`.
  void AssumeHeld(MonotonicTime now, Duration longest_hold);
  void OnSent(const UpstreamIncarnation& life, MonotonicTime now,
              Duration hold);
  void OnUnanswered(const UpstreamIncarnation& life, MonotonicTime sent_at,
                    Duration hold);
  // The life has ended, so that its grants are void.
  void OnEnded(const UpstreamIncarnation& life);

  // Returns when every grant to `life` has certainly lapsed.
  MonotonicTime FreeAt(const UpstreamIncarnation& life) const;
  // The same after the life acknowledged a release: only grants without an
  // answer can still take effect.
  MonotonicTime FreeAfterRelease(const UpstreamIncarnation& life) const;

 private:
  MonotonicTime Until(MonotonicTime sent_at, Duration hold) const;

  double clock_guard_;
  Duration margin_;
  MonotonicTime assumed_until_ = kNever;
  std::map<UpstreamIncarnation, HoldBounds> bounds_;
  std::map<UpstreamIncarnation, bool> ended_;
};

}  // namespace mimosadeal
