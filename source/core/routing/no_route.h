// Decides whether a host may tell a caller that a route does not exist. A
// caller does not retry after that response, so it must be based on the
// configuration in force, not on an outdated copy.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

// `configuration_current_at`: the latest time at which this host's copy of the
// configuration was known to be the newest; kNever if there was none.
// `apply_bound`: the time within which a new configuration must be in force.
bool MayReportNoRoute(MonotonicTime configuration_current_at,
                      Duration apply_bound, MonotonicTime now);

}  // namespace mimosadeal
