// Decides whether a host may state that a route does not exist. A caller does
// not ask again after that, so the statement must hold for the configuration in
// force, not for one that this host last heard of.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

// `configuration_current_at`: a time at which the host's configuration was
// certainly the newest; kNever if there was none. `apply_bound`: within which a
// new configuration must be in force.
bool MayReportNoRoute(MonotonicTime configuration_current_at,
                      Duration apply_bound, MonotonicTime now);

}  // namespace mimosadeal
