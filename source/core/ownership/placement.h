// Decides which upstream each shard belongs to, moving as little as it can.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mimosadeal {

struct PlacementInput {
  // Load of each shard, in any one unit; shards of other zones have a negative
  // load.
  std::vector<double> shard_loads;
  // Share that each upstream should take; zero for one that may own nothing.
  std::vector<double> upstream_weights;
  // The present target of each shard, or kNoUpstream.
  std::vector<uint16_t> targets;
  // Shards that may move for balance alone; shards without a usable target
  // always move.
  size_t max_balancing_moves = 0;
  // Greatest load over mean load that is left alone.
  double tolerated_imbalance = 1.0;
};

// Returns the new target of each shard, kNoUpstream where no upstream may own
// it.
//
// Shards whose target may own nothing go to the least loaded upstreams, so that
// a loss moves only the lost upstream's shards. Then the most loaded upstreams
// give to the least loaded, which a join needs.
std::vector<uint16_t> PlaceShards(const PlacementInput& input);

}  // namespace mimosadeal
