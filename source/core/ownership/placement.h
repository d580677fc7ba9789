// Decides which upstream owns each shard, with as few moves as possible.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mimosadeal {

struct PlacementInput {
  // Load of each shard, in any unit; negative for shards of other zones.
  std::vector<double> shard_loads;
  // Relative share of the load for each upstream; zero for one that may not own
  // shards.
  std::vector<double> upstream_weights;
  // The present target of each shard, or kNoUpstream.
  std::vector<uint16_t> targets;
  // Number of shards that may move only to balance load. Shards without a
  // usable target always move.
  size_t max_balancing_moves = 0;
  // Shards move to balance load only if the highest load exceeds this multiple
  // of the mean load, or the lowest is below the mean by as much.
  double tolerated_imbalance = 1.0;
};

// Returns the new target of each shard, or kNoUpstream if no upstream may own
// it.
//
// First, shards without a usable target go to the least loaded upstreams; the
// loss of an upstream moves only its own shards. Then shards move from the most
// loaded to the least loaded upstreams, which gives shards to new upstreams.
std::vector<uint16_t> PlaceShards(const PlacementInput& input);

}  // namespace mimosadeal
