// Whether this host's copy of one kind of objects is recent enough to act on
// it.
//
// The copy is compared with those of other kinds. If all are old, the store is
// away or this host is cut off from it; then the last copy counts, because an
// outage of the store must not end service. If only this one is old, the store
// is there and the host must keep its bound: it does not act on the copy.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

struct PropagationTiming;

struct CopyConfirmation {
  // Since when the other copies have been recent; kNever while they are not.
  MonotonicTime others_recent_since = kNever;
  bool confirmed = true;
};

struct ConfirmationLimits {
  Duration copy_age{};    // A copy that is older may be outdated.
  Duration others_age{};  // Copies that are not older show that the store is
                          // there,
  Duration others_for{};  // if they have been so for longer than this.
};

// Returns the limits of the copy of the evacuations. `bound`: see
// DeploymentBounds::evacuation.
ConfirmationLimits EvacuationLimits(Duration bound);

// Returns the limits of a copy with this timing whose changes must be in force
// within `bound`. A store that responds slowly makes all copies look old now
// and then, so the others must have been recent for as long as the bound.
ConfirmationLimits MakeConfirmationLimits(const PropagationTiming& timing,
                                          Duration bound);

// Updates `confirmation` from the times at which the copy, and the others, were
// certainly up to date; kNever if unknown. Returns whether `confirmed` changed.
bool UpdateConfirmation(CopyConfirmation& confirmation, MonotonicTime now,
                        MonotonicTime copy_at, MonotonicTime others_at,
                        const ConfirmationLimits& limits);

}  // namespace mimosadeal
