// Selects an upstream for a service that is not partitioned by key.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "balance/upstream_load.h"

namespace mimosadeal {

struct ChoiceCandidate {
  std::string id;
  UpstreamLoad load;
  bool same_zone = false;
  Duration warmup_left{};
};

// Returns the index of the candidate with the shortest expected response time,
// or -1 if there are no candidates. The response time of a candidate in another
// zone is increased by `zone_preference` times its service time. `tie_break`
// rotates the order in which candidates are compared, so that requests spread
// over equal ones.
int ChooseUpstream(const std::vector<ChoiceCandidate>& candidates,
                   double zone_preference, uint64_t tie_break,
                   MonotonicTime now);

}  // namespace mimosadeal
