#include "ranges/silent_owner.h"

#include <algorithm>

namespace mimosadeal {

Duration HoldForSilentOwner(const HoldTracker& holds,
                            const UpstreamIncarnation& owner,
                            MonotonicTime asked_at, MonotonicTime now,
                            const SilentOwnerTiming& timing) {
  const MonotonicTime held_until = holds.KnownUntil(owner);
  if (now < held_until) {
    return std::clamp(held_until - now - timing.extension, Duration::zero(),
                      timing.longest_hold);
  }
  const bool due = holds.FreeAt(owner) != kForever &&
                   now - asked_at >= timing.probe_interval;
  return due ? timing.probe_hold : Duration::zero();
}

}  // namespace mimosadeal
