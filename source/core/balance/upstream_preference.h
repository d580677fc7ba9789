// Which upstreams of a service a host prefers. In a large deployment a host
// that spread its requests over all upstreams would meet each so seldom that no
// connection lasted and no report of its load were fresh.
#pragma once

#include <string>
#include <vector>

#include "fleet/upstream_directory.h"

namespace mimosadeal {

// Preferred upstreams in the host's zone, and in the others together.
inline constexpr size_t kPreferredInZone = 8;
inline constexpr size_t kPreferredInOtherZones = 8;

// Returns the upstreams that the host prefers, in no order: by the hash of both
// names, so that the hosts' choices spread over all upstreams and change little
// when one joins or leaves.
std::vector<const ListedUpstream*> PreferredUpstreams(
    const std::vector<const ListedUpstream*>& serving, const std::string& host,
    const std::string& zone);

}  // namespace mimosadeal
