// Tests of the range planner and the load estimate, with the load pattern that
// each one covers.
#include "ranges/range_planner.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <numeric>

#include "common/ids.h"
#include "ranges/key_load.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BalanceLimits kLimits = {0.6, 0.25, 0.05, 0.1, 4};

TEST_GROUP(RangePlanner) {
  std::vector<OwnerCandidate> owners;
  CellLoads loads = CellLoads(kCells, 0);

  void setup() override {
    for (int i = 0; i < 28; ++i) {
      const std::string zone = i < 10 ? "north" : (i < 19 ? "mid" : "south");
      owners.push_back({"u" + std::to_string(i), 1, zone, 2});
    }
  }

  // Spreads `slots` busy slots evenly over the keys.
  void AddEvenLoad(double slots) {
    for (float& load : loads)
      load += static_cast<float>(slots / static_cast<double>(kCells));
  }

  void AddHotKeys(int first, int count, double slots) {
    for (int key = first; key < first + count; ++key)
      loads[static_cast<size_t>(key / kKeysPerCell)] +=
          static_cast<float>(slots / count);
  }

  double HighestLoad(const RangeTable& table) {
    double highest = 0;
    for (const OwnerCandidate& owner : owners) {
      double load = 0;
      for (const KeyRange& range : table.ranges) {
        if (range.owner == owner.id)
          load += LoadOfKeys(loads, range.first, range.last);
      }
      highest = std::max(highest, load / owner.capacity);
    }
    return highest;
  }

  void ApplyMoves(RangeTable & table, const std::vector<PlannedMove>& moves) {
    for (const PlannedMove& move : moves) {
      KeyRange part = *FindRange(table, move.first);
      part.first = move.first;
      part.last = move.last;
      part.owner = move.to.id;
      part.zone = move.to.zone;
      part.generation = ++table.last_generation;
      AssignPart(table, part);
    }
  }

  void BalanceOnce(RangeTable & table) {
    for (const char* zone : {"north", "mid", "south"})
      ApplyMoves(table, PlanBalance(table, loads, owners, zone, kLimits, 0));
  }
};

TEST(RangePlanner, TheFirstTableDividesAllKeysEqually) {
  const RangeTable table = MakeFirstTable("yard", owners);
  LONGS_EQUAL(28, table.ranges.size());
  for (const KeyRange& range : table.ranges) {
    const int keys = range.last - range.first + 1;
    CHECK(keys >= 2340 && keys <= 2341);
  }
}

// Load pattern: within a second, 200 neighbouring keys receive 36% of the
// lookups. They need about seven slots, and an owner has two.
TEST(RangePlanner, AHotRangeIsSharedByManyOwnersWithinThreeRounds) {
  RangeTable table = MakeFirstTable("yard", owners);
  AddEvenLoad(22);
  AddHotKeys(30000, 200, 7);
  CHECK(HighestLoad(table) > 3);
  for (int round = 0; round < 3; ++round) BalanceOnce(table);
  CHECK(HighestLoad(table) < 1);
}

// Load pattern: one key receives more requests than any owner can serve, while
// other owners of its zone are overloaded too.
TEST(RangePlanner, AKeyTooHotForAnyOwnerStaysAloneAndTheOthersAreBalanced) {
  RangeTable table = MakeFirstTable("yard", owners);
  AddEvenLoad(22);
  AddHotKeys(10000, 1, 20);
  AddHotKeys(3000, 60, 5);
  const std::string hot_owner = FindRange(table, 10000)->owner;
  for (int round = 0; round < 8; ++round) BalanceOnce(table);
  CHECK(FindRange(table, 10000)->owner == hot_owner);
  LONGS_EQUAL(1, CountKeys(table, hot_owner));
  const double without_hot_key = 20;
  for (const OwnerCandidate& owner : owners) {
    double load = owner.id == hot_owner ? -without_hot_key : 0;
    for (const KeyRange& range : table.ranges) {
      if (range.owner == owner.id)
        load += LoadOfKeys(loads, range.first, range.last);
    }
    CHECK(load / owner.capacity < 1);
  }
}

// Load pattern: the speeds of owners differ by a factor of two, and all have
// the same load.
TEST(RangePlanner, SlowOwnersGiveKeysToFastOnes) {
  for (size_t i = 0; i < owners.size(); ++i)
    owners[i].capacity = i % 2 == 0 ? 1.2 : 2.8;
  RangeTable table = MakeFirstTable("yard", owners);
  AddEvenLoad(29);
  CHECK(HighestLoad(table) > 0.85);
  for (int round = 0; round < 6; ++round) BalanceOnce(table);
  CHECK(HighestLoad(table) < 0.75);
}

// Load pattern: 4.4 requests a second at each owner, one of which takes 1.1.
TEST(RangePlanner, AnOwnerWithALimitKeepsTheKeysThatItMayServe) {
  constexpr double kRequestSeconds = 0.22;
  for (const double limit : {1.1, 0.0}) {
    owners.front().capacity = OwnerCapacity(2, 1, limit, kRequestSeconds);
    RangeTable table = MakeFirstTable("yard", owners);
    loads = CellLoads(kCells, 0);
    AddEvenLoad(28 * 4.4 * kRequestSeconds);
    for (int round = 0; round < 4; ++round)
      ApplyMoves(table, PlanBalance(table, loads, owners, "north", kLimits, 0));
    double load = 0;
    for (const KeyRange& range : table.ranges) {
      if (range.owner == "u0")
        load += LoadOfKeys(loads, range.first, range.last);
    }
    CHECK(load > 0);
    CHECK(load / kRequestSeconds <= std::max(limit, 0.25));
    // It has its share: no further move, and no key comes back.
    LONGS_EQUAL(0,
                PlanBalance(table, loads, owners, "north", kLimits, 0).size());
  }
}

TEST(RangePlanner, ALimitAboveWhatAnOwnerCanDoChangesNothing) {
  DOUBLES_EQUAL(2, OwnerCapacity(2, 1, 1000, 0.22), 1e-9);
  DOUBLES_EQUAL(2, OwnerCapacity(2, 1, 1.1, 0), 1e-9);
  DOUBLES_EQUAL(3, OwnerCapacity(2, 1.5, std::nullopt, 0.22), 1e-9);
}

TEST(RangePlanner, EvenLoadMovesNothing) {
  const RangeTable table = MakeFirstTable("yard", owners);
  AddEvenLoad(40);
  for (const char* zone : {"north", "mid", "south"})
    LONGS_EQUAL(0, PlanBalance(table, loads, owners, zone, kLimits, 0).size());
}

TEST(RangePlanner, AnOwnerWithoutKeysGetsKeysAtAnyLoad) {
  RangeTable table = MakeFirstTable("yard", owners);
  owners.push_back({"new", 1, "north", 2});
  ApplyMoves(table, PlanBalance(table, loads, owners, "north", kLimits, 0));
  CHECK(CountKeys(table, "new") > 0);
}

TEST(RangePlanner, AMoveTakesAtMostItsMaxShare) {
  RangeTable table = MakeFirstTable("yard", {owners[0], owners[1]});
  AddEvenLoad(2);
  const auto moves = PlanBalance(table, loads, owners, "north", kLimits, 0);
  CHECK_FALSE(moves.empty());
  for (const PlannedMove& move : moves)
    CHECK(move.last - move.first + 1 <= 3277);
}

TEST(RangePlanner, ALeavingOwnersKeysGoToTheLeastLoadedOfItsZone) {
  const RangeTable table = MakeFirstTable("yard", owners);
  AddEvenLoad(20);
  const auto moves = PlanEvacuation(table, loads, {"u0", 1}, owners, "north");
  int keys = 0;
  for (const PlannedMove& move : moves) {
    keys += move.last - move.first + 1;
    STRCMP_EQUAL("north", move.to.zone.c_str());
    CHECK(move.to.id != "u0");
  }
  LONGS_EQUAL(CountKeys(table, "u0"), keys);
}

// Guards against a table that grows without bound. Load pattern: upstreams
// leave and return for hours. If each evacuation cut ranges of little load, the
// number of ranges, and with it of grant renewals, would rise.
TEST(RangePlanner, RangesOfLittleLoadMoveWhole) {
  RangeTable table = MakeFirstTable("yard", owners);
  AddEvenLoad(2);
  for (int i = 0; i < 200; ++i) {
    const std::string leaving = "u" + std::to_string(i % 10);
    std::vector<OwnerCandidate> staying;
    for (const OwnerCandidate& owner : owners) {
      if (owner.id != leaving) staying.push_back(owner);
    }
    for (const PlannedMove& move :
         PlanEvacuation(table, loads, {leaving, 1}, staying, "north"))
      ApplyMove(table, move);
  }
  LONGS_EQUAL(28, table.ranges.size());
}

TEST(RangePlanner, ATableOfManyRangesChangesForOverloadOnly) {
  RangeTable table = MakeFirstTable("yard", owners);
  for (int key = 0; key < kLastKey; key += 300) {
    KeyRange part = *FindRange(table, key);
    part.first = key;
    part.last = key;
    part.owner = part.owner == "u3" ? "u4" : "u3";
    AssignPart(table, part);
  }
  AddEvenLoad(20);
  const KeyRange busy = *FindRange(table, 301);
  AddHotKeys(busy.first, 100, 0.8);
  LONGS_EQUAL(0,
              PlanBalance(table, loads, owners, busy.zone, kLimits, 0).size());
  AddHotKeys(busy.first, 100, 1.5);
  CHECK(PlanBalance(table, loads, owners, busy.zone, kLimits, 0).size() > 0);
}

// Guards against many leaving owners that choose the same new owners and
// overload them. Load pattern: half of a zone's upstreams lose their
// registrations at once, as in a partition of the zone, while two new upstreams
// have no keys yet.
TEST(RangePlanner, ManyThatLeaveTogetherDoNotChooseTheSameNewOwners) {
  RangeTable table = MakeFirstTable("yard", owners);
  AddEvenLoad(28);
  owners.push_back({"new0", 1, "north", 2});
  owners.push_back({"new1", 1, "north", 2});
  // All but the first five of the zone's ten.
  const std::vector<OwnerCandidate> staying(owners.begin() + 5, owners.end());
  for (const char* leaving : {"u0", "u1", "u2", "u3", "u4"}) {
    for (const PlannedMove& move :
         PlanEvacuation(table, loads, {leaving, 1}, staying, "north"))
      ApplyMove(table, move);
  }
  CHECK(HighestLoad(table) < 1);
}

TEST(RangePlanner, AnOwnerAloneInItsZoneIsEvacuatedToOtherZones) {
  const std::vector<OwnerCandidate> two = {{"a", 1, "north", 2},
                                           {"b", 1, "south", 2}};
  const RangeTable table = MakeFirstTable("yard", two);
  const auto moves = PlanEvacuation(table, loads, {"a", 1}, two, "north");
  CHECK_FALSE(moves.empty());
  STRCMP_EQUAL("b", moves[0].to.id.c_str());
}

TEST_GROUP(KeyLoad){};

TEST(KeyLoad, TheEstimateOfASteadyLoadMatchesIt) {
  KeyLoad load{{milliseconds(1500), seconds(15), milliseconds(500)}};
  MonotonicTime now{};
  CellLoads rates;
  for (int i = 0; i < 40; ++i) {
    load.Add(3, 0.25);
    now += std::chrono::milliseconds(500);
    rates = load.Rates(now);
  }
  CHECK(rates[3] > 0.35 && rates[3] < 0.65);
}

// Load pattern: within a second, one key begins to receive a hundred requests a
// second.
TEST(KeyLoad, AHotKeyShowsWithinASecondAndFadesWithinFour) {
  KeyLoad load{{milliseconds(1500), seconds(15), milliseconds(500)}};
  MonotonicTime now{seconds(100)};
  const auto step = [&](double hot) {
    load.Add(3, 0.1);
    load.Add(500, hot);
    now += milliseconds(500);
    return load.Rates(now);
  };
  for (int i = 0; i < 40; ++i) step(0);
  step(10);
  CHECK(step(10)[500] > 8);
  for (int i = 0; i < 6; ++i) step(10);
  CellLoads rates;
  for (int i = 0; i < 8; ++i) rates = step(0);
  CHECK(rates[500] < 4);
}

// Guards against moves that only noise causes. Load pattern: each group of
// 2,000 keys receives five requests a second. Groups with equal load must have
// similar estimates.
TEST(KeyLoad, NoiseMakesNoKeyRangeLookTwiceAsLoaded) {
  KeyLoad load{{milliseconds(1500), seconds(15), milliseconds(500)}};
  Random random(7);
  MonotonicTime now{seconds(100)};
  constexpr int kGroups = 30;
  constexpr size_t kGroupKeys = 2000;
  double worst = 0;
  for (int i = 0; i < 60; ++i) {
    for (int request = 0; request < kGroups * 5 / 2; ++request)
      load.Add(random.Next() % (kGroups * kGroupKeys), 0.2);
    now += milliseconds(500);
    const CellLoads rates = load.Rates(now);
    if (i < 20) continue;
    for (size_t group = 0; group < kGroups; ++group) {
      const auto begin = rates.begin() + static_cast<int>(group * kGroupKeys);
      worst = std::max(worst, std::accumulate(begin, begin + kGroupKeys, 0.0));
    }
  }
  CHECK(worst < 2.0);  // 5 requests of 0.2 s a second are 1.0.
}

// Load pattern: the busy keys change. 2,700 neighbouring keys receive 500
// requests a second, which is one request per key in five seconds.
TEST(KeyLoad, ABusySpanShowsWithinASecondThoughNoKeyOfItIsHot) {
  KeyLoad load{{milliseconds(1500), seconds(15), milliseconds(500)}};
  Random random(11);
  MonotonicTime now{seconds(100)};
  const auto step = [&](int span_requests) {
    for (int i = 0; i < 500; ++i) load.Add(random.Next() % kCells, 0.2);
    for (int i = 0; i < span_requests; ++i)
      load.Add(30000 + random.Next() % 2700, 0.2);
    now += milliseconds(500);
    return load.Rates(now);
  };
  for (int i = 0; i < 40; ++i) step(0);
  step(250);
  const CellLoads rates = step(250);
  const double estimate =
      std::accumulate(rates.begin() + 30000, rates.begin() + 32700, 0.0);
  // The actual load is 100, and 8 from the requests to all keys.
  CHECK(estimate > 45 && estimate < 130);
}

// Guards against moves that only noise causes; every move delays the callers of
// its keys. Load pattern: 300 owners with the same load of five requests a
// second each.
TEST(RangePlanner, ChanceMovesFewKeys) {
  owners.clear();
  constexpr int kOwners = 300;
  for (int i = 0; i < kOwners; ++i)
    owners.push_back({"u" + std::to_string(1000 + i), 1, "north", 2});
  RangeTable table = MakeFirstTable("yard", owners);
  KeyLoad load{{milliseconds(1500), seconds(15), milliseconds(500)}};
  Random random(5);
  MonotonicTime now{seconds(100)};
  size_t moved = 0;
  BalanceLimits limits = kLimits;
  limits.moves_per_owner = 0.35;
  for (int i = 0; i < 60; ++i) {
    for (int request = 0; request < kOwners * 5 / 2; ++request)
      load.Add(random.Next() % kCells, 0.22);
    now += milliseconds(500);
    const CellLoads rates = load.Rates(now);
    const auto moves =
        PlanBalance(table, rates, owners, "north", limits, load.noise());
    moved += moves.size();
    ApplyMoves(table, moves);
  }
  CHECK(moved < 30);  // Of 300 owners in 30 s: one in ten.
}

// Guards against slow balancing in large zones. Load pattern: after the loss of
// a third of 300 upstreams, dozens of owners are overloaded. At four moves per
// half second, balancing would take a minute.
TEST(RangePlanner, ALargeZoneIsBalancedInAsManyRoundsAsASmallOne) {
  owners.clear();
  constexpr int kOwners = 120;
  for (int i = 0; i < kOwners; ++i)
    owners.push_back({"u" + std::to_string(i), 1, "north", 2});
  RangeTable table = MakeFirstTable("yard", owners);
  // Every fourth owner has three times the load of the others.
  for (const KeyRange& range : table.ranges) {
    const int owner = std::stoi(range.owner.substr(1));
    AddHotKeys(range.first, range.last - range.first + 1,
               owner % 4 == 0 ? 2.36 : 0.8);
  }
  BalanceLimits limits = kLimits;
  limits.moves_per_owner = 0.1;
  int rounds = 0;
  while (HighestLoad(table) > 0.8 && ++rounds < 8)
    ApplyMoves(table, PlanBalance(table, loads, owners, "north", limits, 0));
  CHECK(rounds <= 5);
}

// Guards against an evacuation that takes keys from a restarted upstream. A
// slow move can assign keys to an incarnation that has ended meanwhile, so
// ranges of two incarnations of one upstream are in the table.
TEST(RangePlanner, OnlyTheRangesOfTheEndedIncarnationAreEvacuated) {
  owners = {{"a", 2, "north", 2}, {"b", 1, "north", 2}};
  RangeTable table = MakeFirstTable("yard", owners);
  KeyRange stale = table.ranges[1];
  stale.first = 60000;
  stale.owner = "a";
  stale.owner_incarnation = 1;
  AssignPart(table, stale);
  const auto moves = PlanEvacuation(table, loads, {"a", 1}, owners, "north");
  CHECK_FALSE(moves.empty());
  LONGS_EQUAL(60000, moves.front().first);
  LONGS_EQUAL(kLastKey, moves.back().last);
  for (const PlannedMove& move : moves)
    CHECK(move.to.id == "b" || move.to.incarnation == 2);
}

}  // namespace
}  // namespace mimosadeal
