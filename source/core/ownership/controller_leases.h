// Leases that a group's controller grants to dispatchers, and the controller's
// own authority.
//
// A host may act as dispatcher only while it holds a lease from the controller.
// With each lease request a host promises not to help a later term to move
// anything for a fixed time. The controller has authority while a majority of
// the members is bound by such a promise to its term.
#pragma once

#include "ownership/controller_state.h"

namespace mimosadeal {

// Records a dispatcher's request and returns the reply. If the request may be
// granted, the reply extends the lease, at most to the end of the controller's
// authority; otherwise its time to live is zero.
LeaseReply HandleLeaseRequest(ControllerState& state,
                              const LeaseRequest& request, MonotonicTime now);

// Returns the host id of a process name, "<host id>.<incarnation>". A restarted
// host is another process, because it has lost its ledger and does not know its
// promises.
std::string HostIdOf(const std::string& process);

// Returns the end of this controller's authority: the time until which a
// majority of the members is certainly bound by a promise to its term.
MonotonicTime AuthorityUntil(const ControllerState& state);

// Returns whether this controller may move shards and upstreams: it has
// authority, is not an acting controller, and so many members are free of
// promises to earlier terms that no earlier controller can have a majority.
// Every lease of an earlier term has then expired.
bool MayMove(const ControllerState& state, MonotonicTime now);

// Returns whether `host` holds no lease any more, so that its upstreams may be
// given to other dispatchers. Valid only while MayMove returns true.
bool IsLost(const ControllerState& state, const std::string& host,
            MonotonicTime now);

}  // namespace mimosadeal
