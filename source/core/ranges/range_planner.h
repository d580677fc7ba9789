// Plans which keys move to which owner. All functions are pure: they compute
// moves from a range table, the upstreams and the measured load.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "ranges/hold_tracker.h"
#include "ranges/range_table.h"

namespace mimosadeal {

// Load is measured by cell, a span of neighbouring keys. A cell is one key,
// because a single key can be hot and its neighbours must not appear so.
inline constexpr int kKeysPerCell = 1;
inline constexpr size_t kCells = (kLastKey + 1) / kKeysPerCell;

// Load by cell: the seconds for which requests keep a slot busy, per second.
using CellLoads = std::vector<float>;

// An upstream that may own keys.
struct OwnerCandidate {
  std::string id;
  int64_t incarnation = 0;
  std::string zone;
  // Busy slot seconds per second that it can do, at its measured speed.
  double capacity = 1;
  // While it is cold: what it can do then. It gets no more keys than that, but
  // those that it has stay, because it is warm again before they could return.
  std::optional<double> cold_capacity = std::nullopt;
};

// Returns the capacity of an owner with `slots` slots that works at `speed`
// times the mean speed. `limit`: requests per second that it takes, if it
// limits them. `request_seconds`: busy seconds that a request costs; 0 if
// unknown.
double OwnerCapacity(int slots, double speed,
                     const std::optional<double>& limit,
                     double request_seconds);

struct PlannedMove {
  int first = 0;
  int last = 0;
  std::string from;
  OwnerCandidate to;
};

// Assigns the keys of a planned move to their new owner in `table`, so that
// further planning takes the move into account.
void ApplyMove(RangeTable& table, const PlannedMove& move);

// Returns the first table of a service, which divides the keys equally among
// the candidates, ordered by zone and id.
RangeTable MakeFirstTable(const std::string& service,
                          std::vector<OwnerCandidate> candidates);

// Returns the load of the keys from `first` to `last`. Each key adds a tiny
// equal load, so that keys without traffic still count.
double LoadOfKeys(const CellLoads& loads, int first, int last);

// Divides all keys of the owner `leaving` among the candidates with the lowest
// load relative to capacity. Candidates of other zones are used only if `zone`
// has none.
std::vector<PlannedMove> PlanEvacuation(
    const RangeTable& table, const CellLoads& loads,
    const UpstreamIncarnation& leaving,
    const std::vector<OwnerCandidate>& candidates, const std::string& zone);

// Returns how many of the `left` ranges of an evacuated zone may begin to move
// now, beside `moving` moves in progress. Keys are unserved while they move, so
// some move at a time, and all that are left a while `after` the host learned
// of the evacuation.
size_t EvacuationQuota(size_t left, size_t moving, Duration after);

// Divides the ranges of the zone, the busiest first and at most `max_ranges` of
// them, among `targets` in the order of their load relative to capacity. A busy
// range is cut, so that several owners share its load. Targets that have
// reached their cold capacity get none while there are others. Nothing moves
// without targets. Load beyond the capacity of all is divided equally as well.
//
// Load pattern: a third of the owners, at 45% of their capacity, are to have no
// keys within seconds, while a few neighbouring keys get much of the traffic.
std::vector<PlannedMove> PlanZoneEvacuation(
    const RangeTable& table, const CellLoads& loads,
    const std::vector<OwnerCandidate>& targets, const std::string& zone,
    size_t max_ranges);

// Limits on moves that balance load; see PlanBalance.
struct BalanceLimits {
  // Loads are relative to the owner's capacity. Keys move only from an owner
  // with at least this load...
  double min_source_load = 0;
  // ...which exceeds the target's load by at least this.
  double min_difference = 0;
  // Largest share of all keys that one move takes.
  double max_share = 1;
  // Added to the load of owners of other zones when a target is chosen.
  double other_zone_penalty = 0;
  // A plan has at most max_moves moves, or moves_per_owner times the owners of
  // the zone if that is more.
  int max_moves = 1;
  double moves_per_owner = 0;
};

// Returns the moves that most reduce the highest loads, relative to capacity,
// among the owners of `zone`, or nothing if no move is worth its cost. An owner
// without keys is a target at any load. `noise` is the variance of a measured
// load as a multiple of it (see KeyLoad::noise): a difference that it can
// explain moves nothing.
//
// Load patterns: a few neighbouring keys receive a third of the traffic within
// a second, far more than one owner can serve. One key alone receives more than
// any owner can serve; moving it would not help, so the other keys of its owner
// move. The speeds of owners differ.
std::vector<PlannedMove> PlanBalance(
    const RangeTable& table, const CellLoads& loads,
    const std::vector<OwnerCandidate>& candidates, const std::string& zone,
    const BalanceLimits& limits, double noise);

}  // namespace mimosadeal
