#include "ranges/range_planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

namespace mimosadeal {
namespace {

// Largest number of parts that an evacuated range is cut into. Several owners
// share its load.
constexpr int kMaxEvacuationParts = 3;
// Smallest load of such a part, relative to its new owner's capacity. Each part
// is a range of its own from then on, whose grant must be renewed.
constexpr double kMinEvacuationPartLoad = 0.2;
// The same for a range of an evacuated zone, whose hot keys must not go to few
// owners: balancing begins only when they have moved.
constexpr int kMaxZoneEvacuationParts = 8;
// Share of an evacuated zone's ranges that move at the same time, and the least
// number. A move takes about half a second.
constexpr double kMovingShare = 0.34;
constexpr size_t kMinMoving = 8;
// All ranges move from then on, so that nearly all have new owners before those
// in the zone get no more requests, 3 s after the request for a bound of 5 s.
constexpr Duration kAllMoveAfter = std::chrono::milliseconds(1000);
// A table with more ranges per owner than this counts as fragmented. Keys then
// move only from overloaded owners, because every range adds renewals and makes
// the table larger.
constexpr size_t kFragmentedRangesPerOwner = 3;
constexpr double kOverloadedLoad = 1;
// Load assumed for each key besides the measured one, so that ranges without
// traffic count by their size.
constexpr double kIdleKeyLoad = 1e-6;
// A key with more than this share of the load that its owner should shed is not
// moved: it would overload the new owner as well.
constexpr double kHotKeyShare = 0.75;
// Number of standard deviations by which a load must exceed a bound to count as
// above it.
constexpr double kSignificantDeviations = 2.5;
// Number of requests at which a measured load weighs as much as the mean load
// of all owners.
constexpr double kPriorRequests = 8;

// Share of an owner's limit that its keys should use. Requests arrive at random
// times, and those above the limit are refused.
constexpr double kLimitUse = 0.6;
// An owner that takes fewer requests per second counts as taking this many. It
// keeps a few keys, as only a response can show that its limit has ended.
constexpr double kMinLimit = 0.25;

// Load relative to capacity with which a cold owner counts that has more keys
// than it can serve. Below the load at which keys move away.
constexpr double kColdOwnerLoad = 0.59;

struct OwnerLoad {
  OwnerCandidate candidate;
  double load = 0;
  int keys = 0;
  bool nothing_to_move = false;  // None of its ranges has a part worth moving.

  double RelativeLoad() const {
    return load / std::max(candidate.capacity, 1e-3);
  }
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
  for (auto& [id, owner] : owners) {
    double& capacity = owner.candidate.capacity;
    if (!owner.candidate.cold_capacity.has_value()) continue;
    const double cold = std::min(capacity, *owner.candidate.cold_capacity);
    capacity = owner.load <= cold
                   ? cold
                   : std::clamp(owner.load / kColdOwnerLoad, cold, capacity);
  }
  return owners;
}

bool TakesKeys(const OwnerLoad& owner) {
  return !owner.candidate.cold_capacity.has_value() ||
         owner.load < *owner.candidate.cold_capacity;
}

// Prefers owners that take keys to cold ones that have enough.
OwnerLoad* LeastLoaded(std::map<std::string, OwnerLoad>& owners,
                       const std::string& zone) {
  OwnerLoad* least = nullptr;
  for (auto& [id, owner] : owners) {
    if (!zone.empty() && owner.candidate.zone != zone) continue;
    if (least != nullptr && TakesKeys(*least) != TakesKeys(owner)) {
      if (TakesKeys(owner)) least = &owner;
      continue;
    }
    if (least == nullptr || owner.RelativeLoad() < least->RelativeLoad())
      least = &owner;
  }
  return least;
}

// Returns the number of parts, at most `most`, that an evacuated range with
// this load is cut into.
int EvacuationPartCount(const OwnerLoad& target, double load, int most) {
  const double least = target.candidate.capacity * kMinEvacuationPartLoad;
  const double parts = std::ceil(load / std::max(least, 1e-3));
  return std::clamp(static_cast<int>(parts), 1, most);
}

// Returns the last key, at most `last`, of the part that begins at `first` and
// carries about the load `wanted`.
int FindCut(const CellLoads& loads, int first, int last, double wanted) {
  double sum = 0;
  int at = first;
  while (at < last) {
    const int cell_end =
        std::min(last, (at / kKeysPerCell + 1) * kKeysPerCell - 1);
    const double load = LoadOfKeys(loads, at, cell_end);
    if (sum + load >= wanted) {
      // Assumes that the load is even within a cell.
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

// Appends moves of the range, in at most `most_parts` parts, to the least
// loaded `owners` of the zone, or of any zone if it is empty.
void PlaceRange(const KeyRange& range, const CellLoads& loads,
                const std::string& zone, int most_parts,
                std::map<std::string, OwnerLoad>& owners,
                std::vector<PlannedMove>& moves) {
  const double whole = LoadOfKeys(loads, range.first, range.last);
  const int parts =
      EvacuationPartCount(*LeastLoaded(owners, zone), whole, most_parts);
  int first = range.first;
  for (int part = 0; first <= range.last; ++part) {
    OwnerLoad* target = LeastLoaded(owners, zone);
    const bool is_last = part == parts - 1;
    const int last =
        is_last ? range.last : FindCut(loads, first, range.last, whole / parts);
    moves.push_back({first, last, range.owner, target->candidate});
    target->load += LoadOfKeys(loads, first, last);
    first = last + 1;
  }
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

double OwnerCapacity(int slots, double speed,
                     const std::optional<double>& limit,
                     double request_seconds) {
  const double capacity = slots * speed;
  if (!limit.has_value() || request_seconds <= 0) return capacity;
  return std::min(capacity,
                  std::max(*limit, kMinLimit) * request_seconds * kLimitUse);
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
  // Another incarnation of the leaving upstream may take its keys.
  const auto found_leaving = owners.find(leaving.id);
  if (found_leaving != owners.end() &&
      found_leaving->second.candidate.incarnation == leaving.incarnation)
    owners.erase(found_leaving);
  if (owners.empty()) return moves;
  const bool zone_has_owner = LeastLoaded(owners, zone) != nullptr;
  const std::string target_zone = zone_has_owner ? zone : "";
  for (const KeyRange& range : table.ranges) {
    if (range.owner != leaving.id ||
        range.owner_incarnation != leaving.incarnation)
      continue;
    PlaceRange(range, loads, target_zone, kMaxEvacuationParts, owners, moves);
  }
  return moves;
}

size_t EvacuationQuota(size_t left, size_t moving, Duration after) {
  if (after >= kAllMoveAfter) return left;
  const auto share = static_cast<size_t>(
      std::ceil(static_cast<double>(left + moving) * kMovingShare));
  const size_t most = std::max(kMinMoving, share);
  return most > moving ? std::min(left, most - moving) : 0;
}

std::vector<PlannedMove> PlanZoneEvacuation(
    const RangeTable& table, const CellLoads& loads,
    const std::vector<OwnerCandidate>& targets, const std::string& zone,
    size_t max_ranges) {
  std::vector<PlannedMove> moves;
  auto owners = LoadByOwner(table, loads, targets);
  std::erase_if(owners, [&zone](const auto& entry) {
    return entry.second.candidate.zone == zone;
  });
  if (owners.empty()) return moves;
  std::vector<std::pair<double, const KeyRange*>> ranges;
  for (const KeyRange& range : table.ranges) {
    if (range.zone == zone)
      ranges.emplace_back(LoadOfKeys(loads, range.first, range.last), &range);
  }
  std::stable_sort(ranges.begin(), ranges.end(),
                   [](const auto& left, const auto& right) {
                     return left.first > right.first;
                   });
  if (ranges.size() > max_ranges) ranges.resize(max_ranges);
  for (const auto& [load, range] : ranges)
    PlaceRange(*range, loads, "", kMaxZoneEvacuationParts, owners, moves);
  return moves;
}

namespace {

OwnerLoad* MostLoaded(std::map<std::string, OwnerLoad>& owners,
                      const std::string& zone) {
  OwnerLoad* most = nullptr;
  for (auto& [id, owner] : owners) {
    if (owner.candidate.zone != zone || owner.keys <= 1 ||
        owner.nothing_to_move)
      continue;
    if (most == nullptr || owner.RelativeLoad() > most->RelativeLoad())
      most = &owner;
  }
  return most;
}

OwnerLoad* BestTarget(std::map<std::string, OwnerLoad>& owners,
                      const std::string& zone, double other_zone_penalty) {
  OwnerLoad* best = nullptr;
  double best_load = 0;
  for (auto& [id, owner] : owners) {
    if (!TakesKeys(owner)) continue;
    const double load = owner.RelativeLoad() +
                        (owner.candidate.zone == zone ? 0 : other_zone_penalty);
    if (best != nullptr && load >= best_load) continue;
    best = &owner;
    best_load = load;
  }
  return best;
}

// Returns the part at one end of the range that carries about the load
// `wanted`, at the end where it takes fewer keys.
KeySpan TakeFromEnd(const CellLoads& loads, const KeyRange& range, double load,
                    double wanted) {
  if (wanted >= load) return {range.first, range.last};
  const int front_last = FindCut(loads, range.first, range.last, wanted);
  const int back_first =
      FindCut(loads, range.first, range.last, load - wanted) + 1;
  const int front_keys = front_last - range.first + 1;
  const int back_keys = range.last - back_first + 1;
  if (back_keys > 0 && back_keys < front_keys) return {back_first, range.last};
  return {range.first, front_last};
}

// Returns the keys before or after the key `hot`, whichever have more load.
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

// Returns the part of the range that should move to shed the load `wanted`, or
// an empty span. A key that alone carries most of that load is not moved.
KeySpan PartToMove(const CellLoads& loads, KeyRange range, double wanted) {
  const int hot = HottestKey(loads, range);
  if (LoadOfKeys(loads, hot, hot) > wanted * kHotKeyShare) {
    const KeySpan side = BusierSide(loads, range, hot);
    range.first = side.first;
    range.last = side.last;
  }
  if (range.last < range.first) return {range.first, range.last};
  const double load = LoadOfKeys(loads, range.first, range.last);
  return TakeFromEnd(loads, range, load, wanted);
}

// Returns the part with the most load among those that PartToMove returns for
// the ranges of `owner`, or an empty span.
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

// Returns a statistical lower bound of the owner's load relative to capacity.
double LoadLowerBound(const OwnerLoad& owner, double noise) {
  const double deviation = std::sqrt(std::max(0.0, owner.load) * noise);
  return (owner.load - kSignificantDeviations * deviation) /
         std::max(owner.candidate.capacity, 1e-3);
}

// Corrects loads below the mean towards it. An owner that appears idle after
// few requests is usually as busy as the others, so the fewer requests are
// expected of it, the more the mean counts.
void ShrinkTowardsMean(std::map<std::string, OwnerLoad>& owners, double mean,
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
  const int max_keys = static_cast<int>(limits.max_share * (kLastKey + 1));
  const auto zone_owners = std::count_if(
      candidates.begin(), candidates.end(),
      [&zone](const OwnerCandidate& owner) { return owner.zone == zone; });
  const bool fragmented =
      table.ranges.size() > kFragmentedRangesPerOwner * candidates.size();
  const double mean = MeanLoad(owners);
  ShrinkTowardsMean(owners, mean, noise);
  const size_t max_moves =
      std::max(static_cast<size_t>(limits.max_moves),
               static_cast<size_t>(static_cast<double>(zone_owners) *
                                   limits.moves_per_owner));
  while (moves.size() < max_moves) {
    OwnerLoad* source = MostLoaded(owners, zone);
    OwnerLoad* target = BestTarget(owners, zone, limits.other_zone_penalty);
    if (source == nullptr || target == nullptr || source == target) break;
    const bool target_is_empty = target->keys == 0;
    const double source_load = LoadLowerBound(*source, noise);
    if (!target_is_empty && fragmented && source_load < kOverloadedLoad) break;
    const double difference = source_load - target->RelativeLoad();
    if (!target_is_empty && (source_load < limits.min_source_load ||
                             difference < limits.min_difference)) {
      break;
    }
    // Moving this much makes both relative loads equal.
    double wanted = (source->load * target->candidate.capacity -
                     target->load * source->candidate.capacity) /
                    (source->candidate.capacity + target->candidate.capacity);
    if (target->candidate.cold_capacity.has_value())
      wanted =
          std::min(wanted, *target->candidate.cold_capacity - target->load);
    KeySpan span = ChoosePart(planned, loads, source->candidate.id, wanted);
    if (span.last < span.first) {
      source->nothing_to_move = true;
      continue;
    }
    span.last = std::min(span.last, span.first + max_keys - 1);
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
