// Estimates for how long an idle connection can be reused. Upstreams may drop
// idle connections earlier than they announce and reset the next request sent
// on one. It is unknown whether such a request ran, so it can only be retried
// if it is idempotent.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

struct IdleTimeoutEstimate {
  // The shortest idle time after which a connection was reset recently, and the
  // time of the latest reset.
  Duration shortest_idle_time = Duration::max();
  MonotonicTime last_reset_at = kNever;
};

// To be called when a request is reset on a connection that was idle for
// `idle_time` before.
void OnIdleConnectionReset(IdleTimeoutEstimate& estimate, Duration idle_time,
                           MonotonicTime now);

// Returns the idle time up to which a connection may be reused, at most
// `announced`.
Duration ReusableIdleTime(const IdleTimeoutEstimate& estimate,
                          Duration announced, MonotonicTime now);

}  // namespace mimosadeal
