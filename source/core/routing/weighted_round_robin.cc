#include "routing/weighted_round_robin.h"

namespace mimosadeal {

const std::string& ChooseService(
    const std::vector<WeightedService>& weighted_services,
    RoundRobinState& credit) {
  double total = 0;
  const WeightedService* chosen = &weighted_services.front();
  double most = 0;
  for (const WeightedService& share : weighted_services) {
    double& held = credit.credit[share.service];
    held += share.weight;
    total += share.weight;
    if (share.weight > 0 && held > most) {
      most = held;
      chosen = &share;
    }
  }
  credit.credit[chosen->service] -= total;
  return chosen->service;
}

}  // namespace mimosadeal
