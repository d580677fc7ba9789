// Selects the subset of a service's upstreams that a host prefers. In a large
// deployment, a host that spread its requests over all upstreams would use each
// one so rarely that its idle connections would be closed and its load reports
// would be outdated.
#pragma once

#include <string>
#include <vector>

#include "fleet/upstream_directory.h"

namespace mimosadeal {

// Number of preferred upstreams in the host's zone, and in all other zones
// together.
inline constexpr size_t kPreferredInZone = 8;
inline constexpr size_t kPreferredInOtherZones = 8;

// Returns the upstreams that the host prefers, in no particular order. They are
// chosen by rendezvous hashing of the host and the upstream, so that the
// subsets of all hosts spread over all upstreams and change little when an
// upstream joins or leaves.
std::vector<const ListedUpstream*> PreferredUpstreams(
    const std::vector<const ListedUpstream*>& serving, const std::string& host,
    const std::string& zone);

}  // namespace mimosadeal
