// How long an idle connection is trusted: upstreams may forget idle connections
// sooner than they say, and reset what is sent on one next. Whether such a
// request ran is not known, so it must not be sent again unless it is
// idempotent.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

struct IdleTimeoutEstimate {
  // The shortest rest after which a connection was lost lately, and when.
  Duration shortest_lost = Duration::max();
  MonotonicTime lost_at = kNever;
};

// A request on a connection that had rested for `rested` was reset on arrival.
void OnIdleConnectionReset(IdleTimeoutEstimate& trust, Duration rested,
                           MonotonicTime now);

// Returns the rest up to which a connection may be used again, at most
// `announced`.
Duration ReusableIdleTime(const IdleTimeoutEstimate& trust, Duration announced,
                          MonotonicTime now);

}  // namespace mimosadeal
