// Divides a route's requests among its services in proportion to their weights.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/route_table.h"

namespace mimosadeal {

// What has been given to each service of one route beyond, or short of, its
// share. Belongs to one version of the configuration.
struct RoundRobinState {
  std::map<std::string, double> credit;
};

// Returns the service for the next request: smooth weighted round robin, so
// that even a short stretch of requests keeps to the weights.
const std::string& ChooseService(
    const std::vector<WeightedService>& weighted_services,
    RoundRobinState& credit);

}  // namespace mimosadeal
