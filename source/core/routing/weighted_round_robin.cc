#include "routing/weighted_round_robin.h"

namespace mimosadeal {

const std::string& ChooseService(
    const std::vector<WeightedService>& weighted_services,
    RoundRobinState& state) {
  double total_weight = 0;
  const WeightedService* chosen = &weighted_services.front();
  double max_weight = 0;
  for (const WeightedService& share : weighted_services) {
    double& current_weight = state.current_weights[share.service];
    current_weight += share.weight;
    total_weight += share.weight;
    if (GetsRequests(share) && current_weight > max_weight) {
      max_weight = current_weight;
      chosen = &share;
    }
  }
  state.current_weights[chosen->service] -= total_weight;
  return chosen->service;
}

}  // namespace mimosadeal
