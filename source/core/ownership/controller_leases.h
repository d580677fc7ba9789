// Leases and authority of a group's controller. See docs/design/leases.md.
#pragma once

#include "ownership/controller_state.h"

namespace mimosadeal {

// Records a dispatcher's request and returns the reply, which extends its lease
// for as long as the controller's own authority lasts.
LeaseReply HandleLeaseRequest(ControllerState& state,
                              const LeaseRequest& request, MonotonicTime now);

// Processes are named "<host id>.<incarnation>": a host that restarts is
// another process, with no memory of its ledger or its promises. Returns the
// host id.
std::string HostIdOf(const std::string& process);

// Returns until when this controller's term is certainly not superseded: the
// time up to which a majority of the members has promised it.
MonotonicTime AuthorityUntil(const ControllerState& state);

// True once so many members are free of promises to earlier terms that no
// earlier controller can have a majority. From then on every lease of an
// earlier term has lapsed, and this controller may move shards and upstreams.
bool MayMove(const ControllerState& state, MonotonicTime now);

// True when `host` holds no lease any more, so that what it dispatched may be
// given to others. Meaningful only when MayMove is true.
bool IsLost(const ControllerState& state, const std::string& host,
            MonotonicTime now);

}  // namespace mimosadeal
