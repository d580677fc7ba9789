// Decides which keys move to which owner. Pure: from a table, the upstreams and
// their load to the moves that should be made.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "ranges/hold_tracker.h"
#include "ranges/range_table.h"

namespace mimosadeal {

// Load is counted by cell, a stretch of neighbouring keys. One key alone can be
// hot, and its neighbours must not look so.
inline constexpr int kKeysPerCell = 1;
inline constexpr size_t kCells = (kLastKey + 1) / kKeysPerCell;

// Busy time, in seconds of one slot a second, that each cell's requests cost.
using CellLoads = std::vector<float>;

// An upstream that may own keys.
struct OwnerCandidate {
  std::string id;
  int64_t incarnation = 0;
  std::string zone;
  // Slot seconds a second that it can do, at the speed it was measured at.
  double capacity = 1;
};

struct PlannedMove {
  int first = 0;
  int last = 0;
  std::string from;
  OwnerCandidate to;
};

// Gives the keys of a planned move to their new owner, so that what is planned
// next counts on it.
void ApplyMove(RangeTable& table, const PlannedMove& move);

// Returns a first table that divides the keys equally, zone by zone.
RangeTable MakeFirstTable(const std::string& service,
                          std::vector<OwnerCandidate> candidates);

// Returns the load of the keys from `first` to `last`. Without any load each
// key counts the same.
double LoadOfKeys(const CellLoads& loads, int first, int last);

// Divides all keys of the owner `leaving` among the candidates with the least
// load for their capacity, those of `zone` before others.
std::vector<PlannedMove> PlanEvacuation(
    const RangeTable& table, const CellLoads& loads,
    const UpstreamIncarnation& leaving,
    const std::vector<OwnerCandidate>& candidates, const std::string& zone);

// Limits on moves that balance load; see PlanBalance.
struct BalanceLimits {
  // Moves only from an owner whose load for its capacity is above this...
  double least_source_load = 0;
  // ...and only when the source's exceeds the target's by this.
  double least_difference = 0;
  // Moves a range of at most this share of all keys.
  double largest_share = 1;
  // An owner of another zone must be less loaded by this to be a target.
  double other_zone_penalty = 0;
  int most_moves = 1;  // In one plan, in a small zone...
  // ...and for each owner of the zone, in a large one.
  double moves_per_owner = 0;
};

// Returns the moves that most lower the highest loads for capacity among the
// owners of `zone`, or nothing when none is worth its cost. An owner without
// keys is a target at any load. `noise` is the variance of a measured load as a
// multiple of it: what chance may explain is no reason to move.
//
// Load patterns: a few neighbouring keys get a third of the traffic within a
// second, far beyond one owner's capacity; one key alone gets more than any
// owner can serve, which moving it would not help, so that its owner's other
// keys move instead; owners' speeds differ.
std::vector<PlannedMove> PlanBalance(
    const RangeTable& table, const CellLoads& loads,
    const std::vector<OwnerCandidate>& candidates, const std::string& zone,
    const BalanceLimits& limits, double noise);

}  // namespace mimosadeal
