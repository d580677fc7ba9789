// Whether this host's copy of the evacuations is recent enough to assume that
// no others are in force.
//
// The copy is compared with that of the registry. If both are old, the store is
// away or this host is cut off from it; then the last copy counts, because an
// outage of the store must not end service. If only the evacuations' copy is
// old, the store is there and the host must keep the bound: it sends nothing.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

struct CopyConfirmation {
  // Since when the registry's copy has been recent; kNever while it is not.
  MonotonicTime registry_recent_since = kNever;
  bool confirmed = true;
};

// Updates `confirmation` from the times at which the copies were certainly up
// to date; kNever if unknown. Returns whether `confirmed` changed. `bound`: see
// DeploymentBounds::evacuation.
bool UpdateConfirmation(CopyConfirmation& confirmation, MonotonicTime now,
                        MonotonicTime registry_current_at,
                        MonotonicTime evacuations_current_at, Duration bound);

}  // namespace mimosadeal
