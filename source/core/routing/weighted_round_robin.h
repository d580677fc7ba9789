// Distributes a route's requests over its services in proportion to their
// weights.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/route_table.h"

namespace mimosadeal {

// Smooth weighted round robin state of one route. The current weight of a
// service is positive when it has received less than its share of the requests.
// Valid for one version of the configuration.
struct RoundRobinState {
  std::map<std::string, double> current_weights;
};

// Whether the service of a split gets requests at all, provided that one of the
// split's services does.
inline bool GetsRequests(const WeightedService& share) {
  return share.weight > 0;
}

// Returns the service for the next request. Smooth weighted round robin follows
// the weights even over short sequences of requests.
const std::string& ChooseService(
    const std::vector<WeightedService>& weighted_services,
    RoundRobinState& state);

}  // namespace mimosadeal
