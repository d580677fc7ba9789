#include "ownership/placement.h"

#include <algorithm>
#include <numeric>
#include <queue>

#include "ownership/ownership_table.h"

namespace mimosadeal {
namespace {

// Load of each upstream, absolute and relative to its weight.
struct Loads {
  std::vector<double> load;
  const std::vector<double>& weights;

  bool Usable(size_t upstream) const { return weights[upstream] > 0; }
  double Relative(size_t upstream) const {
    return load[upstream] / weights[upstream];
  }
};

Loads SumLoads(const PlacementInput& input) {
  Loads loads{std::vector<double>(input.upstream_weights.size(), 0.0),
              input.upstream_weights};
  for (size_t shard = 0; shard < input.targets.size(); ++shard) {
    const uint16_t target = input.targets[shard];
    if (target != kNoUpstream && input.shard_loads[shard] >= 0)
      loads.load[target] += input.shard_loads[shard];
  }
  return loads;
}

// Returns the usable upstream whose relative load comes first by `better`, or
// kNoUpstream.
template <typename Better>
uint16_t FindExtreme(const Loads& loads, Better better) {
  uint16_t best = kNoUpstream;
  for (size_t i = 0; i < loads.load.size(); ++i) {
    if (!loads.Usable(i)) continue;
    if (best == kNoUpstream || better(loads.Relative(i), loads.Relative(best)))
      best = static_cast<uint16_t>(i);
  }
  return best;
}

uint16_t LeastLoaded(const Loads& loads) {
  return FindExtreme(loads, std::less<>());
}
uint16_t MostLoaded(const Loads& loads) {
  return FindExtreme(loads, std::greater<>());
}

void PlaceUnassignedShards(const PlacementInput& input, Loads& loads,
                           std::vector<uint16_t>& targets) {
  std::vector<uint32_t> unassigned;
  for (uint32_t shard = 0; shard < targets.size(); ++shard) {
    if (input.shard_loads[shard] < 0) {
      targets[shard] = kNoUpstream;
      continue;
    }
    if (targets[shard] == kNoUpstream || !loads.Usable(targets[shard]))
      unassigned.push_back(shard);
  }
  // Heavy shards first, so that light ones can even out the remaining
  // differences.
  std::stable_sort(unassigned.begin(), unassigned.end(),
                   [&](uint32_t a, uint32_t b) {
                     return input.shard_loads[a] > input.shard_loads[b];
                   });
  for (const uint32_t shard : unassigned) {
    const uint16_t upstream = LeastLoaded(loads);
    targets[shard] = upstream;
    if (upstream != kNoUpstream)
      loads.load[upstream] += input.shard_loads[shard];
  }
}

// Returns the shard of `from` whose move to `to` gives the lowest maximum of
// their relative loads, or targets.size() if no move lowers it.
size_t BestMove(const PlacementInput& input, const Loads& loads,
                const std::vector<uint16_t>& targets, uint16_t from,
                uint16_t to) {
  size_t best = targets.size();
  double best_peak = std::max(loads.Relative(from), loads.Relative(to));
  for (size_t shard = 0; shard < targets.size(); ++shard) {
    if (targets[shard] != from || input.shard_loads[shard] <= 0) continue;
    const double from_after =
        (loads.load[from] - input.shard_loads[shard]) / loads.weights[from];
    const double to_after =
        (loads.load[to] + input.shard_loads[shard]) / loads.weights[to];
    const double peak = std::max(from_after, to_after);
    if (peak >= best_peak) continue;
    best_peak = peak;
    best = shard;
  }
  return best;
}

void Balance(const PlacementInput& input, Loads& loads,
             std::vector<uint16_t>& targets) {
  double total_load = 0;
  double total_weight = 0;
  for (size_t i = 0; i < loads.load.size(); ++i) {
    if (!loads.Usable(i)) continue;
    total_load += loads.load[i];
    total_weight += loads.weights[i];
  }
  if (total_load <= 0 || total_weight <= 0) return;
  const double mean = total_load / total_weight;
  const uint16_t first_most = MostLoaded(loads);
  const uint16_t first_least = LeastLoaded(loads);
  const double worst = std::max(loads.Relative(first_most) / mean,
                                2.0 - loads.Relative(first_least) / mean);
  if (worst <= input.tolerated_imbalance) return;
  for (size_t moves = 0; moves < input.max_balancing_moves; ++moves) {
    const uint16_t from = MostLoaded(loads);
    const uint16_t to = LeastLoaded(loads);
    const size_t shard = BestMove(input, loads, targets, from, to);
    if (shard == targets.size()) return;
    targets[shard] = to;
    loads.load[from] -= input.shard_loads[shard];
    loads.load[to] += input.shard_loads[shard];
  }
}

}  // namespace

std::vector<uint16_t> PlaceShards(const PlacementInput& input) {
  std::vector<uint16_t> targets = input.targets;
  Loads loads = SumLoads(input);
  PlaceUnassignedShards(input, loads, targets);
  Balance(input, loads, targets);
  return targets;
}

}  // namespace mimosadeal
