#include "ranges/range_planner.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace mimosadeal {
namespace {

// An evacuated range is cut into at most this many parts, so that several
// owners share its load.
constexpr int kMostEvacuationParts = 3;
// The least load of such a part, for its new owner's capacity: every range
// costs renewals for as long as it lasts.
constexpr double kLeastEvacuationPart = 0.2;
// With more ranges for each owner than this, only overloaded owners give keys
// away: renewals and the table grow with the ranges.
constexpr size_t kManyRangesPerOwner = 3;
constexpr double kOverload = 1;
// The load of a key of which nothing is known, so that idle ranges still count
// by their size.
constexpr double kIdleKeyLoad = 1e-6;
// A key with more than this share of the load that an owner should shed would
// overload its new owner as it does this one.
constexpr double kHotKeyShare = 0.75;
// Standard deviations by which a load must exceed a bound to be no chance.
constexpr double kSignificant = 2.5;
// Requests after which a measured load counts as much as the mean of all.
constexpr double kPriorRequests = 8;

struct OwnerLoad {
  OwnerCandidate candidate;
  double load = 0;
  int keys = 0;
  bool settled = false;  // Nothing that it has is worth moving.

  double Relative() const { return load / std::max(candidate.capacity, 1e-3); }
};

std::map<std::string, OwnerLoad> LoadByOwner(
    const RangeTable& table, const CellLoads& loads,
    const std::vector<OwnerCandidate>& candidates) {
  std::map<std::string, OwnerLoad> owners;
  for (const OwnerCandidate& candidate : candidates)
    owners[candidate.id].candidate = candidate;
  for (const KeyRange& range : table.ranges) {
    const auto found = owners.find(range.owner);
    if (found == owners.end()) continue;
    found->second.load += LoadOfKeys(loads, range.first, range.last);
    found->second.keys += range.last - range.first + 1;
  }
  return owners;
}

OwnerLoad* LeastLoaded(std::map<std::string, OwnerLoad>& owners,
                       const std::string& zone) {
  OwnerLoad* least = nullptr;
  for (auto& [id, owner] : owners) {
    if (!zone.empty() && owner.candidate.zone != zone) continue;
    if (least == nullptr || owner.Relative() < least->Relative())
      least = &owner;
  }
  return least;
}

// Returns into how many parts a range with this load is cut.
int EvacuationParts(const OwnerLoad& target, double load) {
  const double least = target.candidate.capacity * kLeastEvacuationPart;
  const double parts = std::ceil(load / std::max(least, 1e-3));
  return std::clamp(static_cast<int>(parts), 1, kMostEvacuationParts);
}

// Returns the last key of the part that begins at `first`, ends at `last` at
// the latest and carries about `wanted` load.
int CutAt(const CellLoads& loads, int first, int last, double wanted) {
  double sum = 0;
  int at = first;
  while (at < last) {
    const int cell_end =
        std::min(last, (at / kKeysPerCell + 1) * kKeysPerCell - 1);
    const double load = LoadOfKeys(loads, at, cell_end);
    if (sum + load >= wanted) {
      // Within a cell the load is taken as even.
      const double share = load > 0 ? (wanted - sum) / load : 1;
      const int keys = static_cast<int>(
          std::lround(share * static_cast<double>(cell_end - at + 1)));
      return std::clamp(at + keys - 1, first, last);
    }
    sum += load;
    at = cell_end + 1;
  }
  return last;
}

}  // namespace

RangeTable MakeFirstTable(const std::string& service,
                          std::vector<OwnerCandidate> candidates) {
  RangeTable table;
  table.service = service;
  if (candidates.empty()) return table;
  std::sort(candidates.begin(), candidates.end(),
            [](const OwnerCandidate& left, const OwnerCandidate& right) {
              return std::tie(left.zone, left.id) <
                     std::tie(right.zone, right.id);
            });
  const auto count = static_cast<int64_t>(candidates.size());
  for (int64_t i = 0; i < count; ++i) {
    const OwnerCandidate& owner = candidates[static_cast<size_t>(i)];
    KeyRange range;
    range.first = static_cast<int>((kLastKey + 1) * i / count);
    range.last = static_cast<int>((kLastKey + 1) * (i + 1) / count) - 1;
    range.owner = owner.id;
    range.owner_incarnation = owner.incarnation;
    range.zone = owner.zone;
    range.generation = ++table.last_generation;
    table.ranges.push_back(std::move(range));
  }
  return table;
}

void ApplyMove(RangeTable& table, const PlannedMove& move) {
  const KeyRange* range = FindRange(table, move.first);
  if (range == nullptr) return;
  KeyRange part = *range;
  part.first = move.first;
  part.last = move.last;
  part.owner = move.to.id;
  part.owner_incarnation = move.to.incarnation;
  part.zone = move.to.zone;
  AssignPart(table, part);
}

double LoadOfKeys(const CellLoads& loads, int first, int last) {
  double sum = kIdleKeyLoad * (last - first + 1);
  for (int at = first; at <= last;) {
    const int cell = at / kKeysPerCell;
    const int cell_end = std::min(last, (cell + 1) * kKeysPerCell - 1);
    if (static_cast<size_t>(cell) < loads.size()) {
      sum += static_cast<double>(loads[static_cast<size_t>(cell)]) *
             (cell_end - at + 1) / kKeysPerCell;
    }
    at = cell_end + 1;
  }
  return sum;
}

std::vector<PlannedMove> PlanEvacuation(
    const RangeTable& table, const CellLoads& loads,
    const UpstreamIncarnation& leaving,
    const std::vector<OwnerCandidate>& candidates, const std::string& zone) {
  std::vector<PlannedMove> moves;
  auto owners = LoadByOwner(table, loads, candidates);
  // Another life of it may take its keys.
  const auto same = owners.find(leaving.id);
  if (same != owners.end() &&
      same->second.candidate.incarnation == leaving.incarnation)
    owners.erase(same);
  if (owners.empty()) return moves;
  const bool zone_has_owner = LeastLoaded(owners, zone) != nullptr;
  const std::string target_zone = zone_has_owner ? zone : "";
  for (const KeyRange& range : table.ranges) {
    if (range.owner != leaving.id ||
        range.owner_incarnation != leaving.incarnation)
      continue;
    const double whole = LoadOfKeys(loads, range.first, range.last);
    const int parts = EvacuationParts(*LeastLoaded(owners, target_zone), whole);
    int first = range.first;
    for (int part = 0; first <= range.last; ++part) {
      OwnerLoad* target = LeastLoaded(owners, target_zone);
      const bool is_last = part == parts - 1;
      const int last =
          is_last ? range.last : CutAt(loads, first, range.last, whole / parts);
      moves.push_back({first, last, leaving.id, target->candidate});
      target->load += LoadOfKeys(loads, first, last);
      first = last + 1;
    }
  }
  return moves;
}

namespace {

OwnerLoad* MostLoaded(std::map<std::string, OwnerLoad>& owners,
                      const std::string& zone) {
  OwnerLoad* most = nullptr;
  for (auto& [id, owner] : owners) {
    if (owner.candidate.zone != zone || owner.keys <= 1 || owner.settled)
      continue;
    if (most == nullptr || owner.Relative() > most->Relative()) most = &owner;
  }
  return most;
}

OwnerLoad* BestTarget(std::map<std::string, OwnerLoad>& owners,
                      const std::string& zone, double other_zone_penalty) {
  OwnerLoad* best = nullptr;
  double best_load = 0;
  for (auto& [id, owner] : owners) {
    const double load = owner.Relative() +
                        (owner.candidate.zone == zone ? 0 : other_zone_penalty);
    if (best != nullptr && load >= best_load) continue;
    best = &owner;
    best_load = load;
  }
  return best;
}

// Returns the part of the range, at whichever end takes fewer keys, that
// carries about `wanted` load.
KeySpan CutFromEnd(const CellLoads& loads, const KeyRange& range, double load,
                   double wanted) {
  if (wanted >= load) return {range.first, range.last};
  const int front_last = CutAt(loads, range.first, range.last, wanted);
  const int back_first =
      CutAt(loads, range.first, range.last, load - wanted) + 1;
  const int front_keys = front_last - range.first + 1;
  const int back_keys = range.last - back_first + 1;
  if (back_keys > 0 && back_keys < front_keys) return {back_first, range.last};
  return {range.first, front_last};
}

// What may be taken from a range whose key `hot` stays: the busier side of it.
KeySpan BusierSide(const CellLoads& loads, const KeyRange& range, int hot) {
  const KeySpan before{range.first, hot - 1};
  const KeySpan after{hot + 1, range.last};
  if (before.last < before.first) return after;
  if (after.last < after.first) return before;
  return LoadOfKeys(loads, before.first, before.last) >=
                 LoadOfKeys(loads, after.first, after.last)
             ? before
             : after;
}

int HottestKey(const CellLoads& loads, const KeyRange& range) {
  int hottest = range.first;
  double most = -1;
  for (int key = range.first; key <= range.last; ++key) {
    const double load = LoadOfKeys(loads, key, key);
    if (load <= most) continue;
    most = load;
    hottest = key;
  }
  return hottest;
}

// Returns the part of the range that should move to shed `wanted` load, or an
// empty span. A key that carries most of that alone stays where it is.
KeySpan PartToMove(const CellLoads& loads, KeyRange range, double wanted) {
  const int hot = HottestKey(loads, range);
  if (LoadOfKeys(loads, hot, hot) > wanted * kHotKeyShare) {
    const KeySpan side = BusierSide(loads, range, hot);
    range.first = side.first;
    range.last = side.last;
  }
  if (range.last < range.first) return {range.first, range.last};
  const double load = LoadOfKeys(loads, range.first, range.last);
  return CutFromEnd(loads, range, load, wanted);
}

// Returns the busiest part of what `owner` has that is worth moving.
KeySpan ChoosePart(const RangeTable& table, const CellLoads& loads,
                   const std::string& owner, double wanted) {
  KeySpan best{0, -1};
  double most = -1;
  for (const KeyRange& range : table.ranges) {
    if (range.owner != owner) continue;
    const KeySpan part = PartToMove(loads, range, wanted);
    if (part.last < part.first) continue;
    const double load = LoadOfKeys(loads, part.first, part.last);
    if (load <= most) continue;
    best = part;
    most = load;
  }
  return best;
}

double MeanLoad(const std::map<std::string, OwnerLoad>& owners) {
  double load = 0;
  double capacity = 0;
  for (const auto& [id, owner] : owners) {
    load += owner.load;
    capacity += owner.candidate.capacity;
  }
  return capacity > 0 ? load / capacity : 0;
}

// Returns what the owner's load for its capacity is at least, but for chance.
double LeastLikelyLoad(const OwnerLoad& owner, double noise) {
  const double deviation = std::sqrt(std::max(0.0, owner.load) * noise);
  return (owner.load - kSignificant * deviation) /
         std::max(owner.candidate.capacity, 1e-3);
}

// Owners that seem idle after a handful of requests are mostly as busy as the
// others: the fewer requests were counted, the more counts the mean.
void DrawToMean(std::map<std::string, OwnerLoad>& owners, double mean,
                double noise) {
  for (auto& [id, owner] : owners) {
    const double expected = mean * owner.candidate.capacity;
    if (owner.keys == 0 || owner.load >= expected || noise <= 0) continue;
    const double requests = expected / noise;
    const double weight = requests / (requests + kPriorRequests);
    owner.load = weight * owner.load + (1 - weight) * expected;
  }
}

}  // namespace

std::vector<PlannedMove> PlanBalance(
    const RangeTable& table, const CellLoads& loads,
    const std::vector<OwnerCandidate>& candidates, const std::string& zone,
    const BalanceLimits& limits, double noise) {
  std::vector<PlannedMove> moves;
  RangeTable planned = table;
  auto owners = LoadByOwner(table, loads, candidates);
  const int most_keys = static_cast<int>(limits.largest_share * (kLastKey + 1));
  const auto zone_owners = std::count_if(
      candidates.begin(), candidates.end(),
      [&zone](const OwnerCandidate& owner) { return owner.zone == zone; });
  const bool fragmented =
      table.ranges.size() > kManyRangesPerOwner * candidates.size();
  const double mean = MeanLoad(owners);
  DrawToMean(owners, mean, noise);
  const size_t most_moves =
      std::max(static_cast<size_t>(limits.most_moves),
               static_cast<size_t>(static_cast<double>(zone_owners) *
                                   limits.moves_per_owner));
  while (moves.size() < most_moves) {
    OwnerLoad* source = MostLoaded(owners, zone);
    OwnerLoad* target = BestTarget(owners, zone, limits.other_zone_penalty);
    if (source == nullptr || target == nullptr || source == target) break;
    const bool newcomer = target->keys == 0;
    const double at_least = LeastLikelyLoad(*source, noise);
    if (!newcomer && fragmented && at_least < kOverload) break;
    const double difference = at_least - target->Relative();
    if (!newcomer && (at_least < limits.least_source_load ||
                      difference < limits.least_difference)) {
      break;
    }
    // The load after which both are equally used for their capacity.
    const double wanted =
        (source->load * target->candidate.capacity -
         target->load * source->candidate.capacity) /
        (source->candidate.capacity + target->candidate.capacity);
    KeySpan span = ChoosePart(planned, loads, source->candidate.id, wanted);
    if (span.last < span.first) {
      source->settled = true;
      continue;
    }
    span.last = std::min(span.last, span.first + most_keys - 1);
    moves.push_back(
        {span.first, span.last, source->candidate.id, target->candidate});
    const double moved = LoadOfKeys(loads, span.first, span.last);
    source->load -= moved;
    target->load += moved;
    source->keys -= span.last - span.first + 1;
    target->keys += span.last - span.first + 1;
    ApplyMove(planned, moves.back());
  }
  return moves;
}

}  // namespace mimosadeal
