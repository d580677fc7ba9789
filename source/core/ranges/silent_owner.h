// Decides how long the next grant to an owner that does not respond may hold.
//
// An unresponsive owner still receives grants, but none that extends what it
// may already hold, so that its keys can move when that expires. Keys that are
// still not moving then have nowhere to go, and their owner is asked until it
// responds, by grants with short holds.
#pragma once

#include "common/boot_clock.h"
#include "ranges/hold_tracker.h"

namespace mimosadeal {

struct SilentOwnerTiming {
  Duration longest_hold{};  // Of any grant.
  // From the sending of a grant to the latest end of what it adds to its hold:
  // until it is given up, on its way, and by the owner's clock.
  Duration extension{};
  Duration probe_hold{};  // Of the grants that ask.
  // Between the sendings of two of them. A grant that asks must fit into the
  // time after which the keys of a silent owner move.
  Duration probe_interval{};
};

// Returns zero if no grant may be sent now. `asked_at` is when the last one
// was.
Duration HoldForSilentOwner(const HoldTracker& holds,
                            const UpstreamIncarnation& owner,
                            MonotonicTime asked_at, MonotonicTime now,
                            const SilentOwnerTiming& timing);

}  // namespace mimosadeal
