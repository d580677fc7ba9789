// Converts what a host knows of an upstream's limit to and from messages
// between hosts, whose clocks differ.
#pragma once

#include <optional>

#include "common/boot_clock.h"
#include "fleet/upstream_limit.h"
#include "inner/zone_messages.h"

namespace mimosadeal {

LimitStatement ToStatement(const UpstreamLimit& limit, MonotonicTime now);

// Returns nothing if the statement is empty or invalid.
std::optional<UpstreamLimit> FromStatement(const LimitStatement& statement,
                                           MonotonicTime now);

}  // namespace mimosadeal
