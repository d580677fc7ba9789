// What a group's controller moves where: upstreams between dispatchers, shards
// between upstreams.
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

// Advances the table by one version if anything can change now. Returns true
// when it did; the caller then stores the table and sends it to every host of
// the group.
bool AdvanceTable(ControllerState& state, const MoveInputs& inputs,
                  MonotonicTime now);

// Starts a term from the newest table that could be found.
void AdoptTable(ControllerState& state, OwnershipTable table);

}  // namespace mimosadeal
