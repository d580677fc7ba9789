// Tests of the keys of owners that are cold: a replay of a zone whose upstreams
// return together.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ranges/range_planner.h"

namespace mimosadeal {
namespace {

constexpr BalanceLimits kLimits = {0.6, 0.25, 0.05, 0.1, 4, 0.1};
constexpr int kSlots = 6;
constexpr double kRequestSeconds = 0.29;
constexpr double kRequestsPerSecond = 1352;
constexpr double kColdRate = 4.5;
// Rounds of half a second.
constexpr int kColdRounds = 4;
constexpr int kWarmRounds = 60;
const std::vector<std::pair<std::string, int>> kZones = {
    {"east", 44}, {"west", 58}, {"south", 43}};

TEST_GROUP(ColdOwners) {
  std::vector<OwnerCandidate> owners;
  CellLoads loads = CellLoads(
      kCells,
      static_cast<float>(kRequestsPerSecond * kRequestSeconds / kCells));
  RangeTable table;
  // By key.
  std::vector<std::set<std::string>> former_owners =
      std::vector<std::set<std::string>>(kLastKey + 1);
  bool key_came_back = false;  // To an owner that it had left.

  void AddOwners(const std::string& zone, int count) {
    for (int i = 0; i < count; ++i)
      owners.push_back({zone + std::to_string(i), 1, zone, kSlots});
  }

  void SetCold(const std::string& zone, bool cold) {
    for (OwnerCandidate& owner : owners) {
      if (owner.zone != zone) continue;
      owner.cold_capacity.reset();
      if (cold) {
        owner.cold_capacity =
            OwnerCapacity(kSlots, 1, kColdRate, kRequestSeconds);
      }
    }
  }

  std::map<std::string, double> LoadByOwnerId() {
    std::map<std::string, double> by_owner;
    for (const KeyRange& range : table.ranges)
      by_owner[range.owner] += LoadOfKeys(loads, range.first, range.last);
    return by_owner;
  }

  // Returns the number of moves.
  size_t BalanceAllZones() {
    size_t count = 0;
    for (const auto& [zone, owner_count] : kZones) {
      const auto moves = PlanBalance(table, loads, owners, zone, kLimits, 0);
      CHECK(moves.size() <= static_cast<size_t>(std::max(4, owner_count / 10)));
      for (const PlannedMove& move : moves) {
        ApplyMove(table, move);
        for (int key = move.first; key <= move.last; ++key) {
          auto& former = former_owners[static_cast<size_t>(key)];
          former.insert(move.from);
          key_came_back = key_came_back || former.contains(move.to.id);
        }
      }
      count += moves.size();
    }
    return count;
  }
};

// Load pattern: the owners of one zone of three return empty and cold, while
// the others carry its load. They may take 4.5 requests per second each for
// some seconds, and as many as the others after that.
TEST(ColdOwners, AZoneThatReturnsTogetherTakesKeysByItsRateAndNoKeySwings) {
  AddOwners("east", 44);
  AddOwners("west", 58);
  table = MakeFirstTable("yard", owners);
  for (int round = 0; round < 20; ++round) BalanceAllZones();
  former_owners.assign(kLastKey + 1, {});
  key_came_back = false;
  AddOwners("south", 43);
  SetCold("south", true);
  for (int round = 0; round < kColdRounds; ++round) {
    BalanceAllZones();
    for (const auto& [id, load] : LoadByOwnerId()) {
      if (id.starts_with("south")) CHECK(load / kRequestSeconds <= kColdRate);
    }
  }
  SetCold("south", false);
  size_t moves = 0;
  for (int round = 0; round < kWarmRounds; ++round) moves = BalanceAllZones();
  LONGS_EQUAL(0, moves);
  CHECK_FALSE(key_came_back);
  const auto most_moves = std::max_element(
      former_owners.begin(), former_owners.end(),
      [](const auto& a, const auto& b) { return a.size() < b.size(); });
  CHECK(most_moves->size() <= 2);
  for (const auto& [id, load] : LoadByOwnerId()) CHECK(load / kSlots < 0.75);
}

// Load pattern: owners with their usual load become cold with their keys, and
// are warm again before the keys that they gave away could come back.
TEST(ColdOwners, OwnersThatBecomeColdKeepTheirKeys) {
  for (const auto& [zone, count] : kZones) AddOwners(zone, count);
  table = MakeFirstTable("yard", owners);
  SetCold("south", true);
  size_t moves = 0;
  for (int round = 0; round < kColdRounds; ++round) moves += BalanceAllZones();
  SetCold("south", false);
  for (int round = 0; round < kWarmRounds; ++round) moves += BalanceAllZones();
  LONGS_EQUAL(0, moves);
}

}  // namespace
}  // namespace mimosadeal
