// Moves that a group's controller makes: upstreams between dispatchers, and
// shards between upstreams.
#pragma once

#include <vector>

#include "configuration/configuration.h"
#include "ownership/controller_state.h"
#include "platform/platform_host.h"

namespace mimosadeal {

struct MoveInputs {
  const std::vector<PlatformHost>& platform_hosts;
  const Configuration& configuration;
};

// Replaces the table by its next version if anything can change now. Returns
// whether it did; the caller then stores the table and sends it to all hosts of
// the group.
bool AdvanceTable(ControllerState& state, const MoveInputs& inputs,
                  MonotonicTime now);

// Sets the first table of a term. `table` is the newest one that this host
// knows or has read from the store.
void AdoptTable(ControllerState& state, OwnershipTable table);

}  // namespace mimosadeal
