// Decides how many requests per second all hosts together send to an upstream:
// what it states as its limit, and less while it is cold. Both are kept by the
// same permits; see PermitQueue.
#pragma once

#include <optional>

#include "common/boot_clock.h"

namespace mimosadeal {

struct ListedUpstream;
struct ServiceConfig;

// The requests that may reach a cold upstream within any second: this multiple
// of what its service states, plus a number. No bound if `ratio` is 0.
struct ColdBound {
  double ratio = 0;
  double allowance = 0;
};

// Returns the requests per second for which permits are given for a cold
// upstream of the service; unset if nothing bounds them.
std::optional<double> ColdRate(const ServiceConfig& service,
                               const ColdBound& bound);

// Returns for how long an upstream is taken for cold after it refused a
// connection.
Duration AssumedColdTime(const ServiceConfig& service);

// Returns the requests per second that the upstream takes from all hosts
// together at that time; unset if unlimited. `service`: null if unknown.
std::optional<double> RateLimit(const ListedUpstream& upstream,
                                const ServiceConfig* service,
                                const ColdBound& bound, MonotonicTime at);

}  // namespace mimosadeal
