// Tests of the planner for evacuated zones, with the load pattern that each one
// covers.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

#include "ranges/range_planner.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOwnersPerZone = 48;
constexpr int kSlots = 6;
constexpr BalanceLimits kLimits = {0.6, 0.25, 0.05, 0.1, 4, 0.1};
const std::vector<std::string> kZones = {"east", "south", "west"};

TEST_GROUP(ZoneEvacuation) {
  std::vector<OwnerCandidate> owners;
  CellLoads loads = CellLoads(kCells, 0);
  RangeTable table;

  void setup() override {
    for (const std::string& zone : kZones) {
      for (int i = 0; i < kOwnersPerZone; ++i)
        owners.push_back({zone + std::to_string(i), 1, zone, kSlots});
    }
    table = MakeFirstTable("yard", owners);
  }

  // Loads all owners to this share of their capacity.
  void AddEvenLoad(double share) {
    const double slots = share * kSlots * static_cast<double>(owners.size());
    for (float& load : loads)
      load += static_cast<float>(slots / static_cast<double>(kCells));
  }

  void AddHotKeys(int first, int count, double slots) {
    for (int key = first; key < first + count; ++key)
      loads[static_cast<size_t>(key)] += static_cast<float>(slots / count);
  }

  std::vector<OwnerCandidate> OwnersOutside(
      const std::set<std::string>& evacuated) {
    std::vector<OwnerCandidate> staying;
    for (const OwnerCandidate& owner : owners) {
      if (!evacuated.contains(owner.zone)) staying.push_back(owner);
    }
    return staying;
  }

  double LoadOf(const std::string& owner) {
    double load = 0;
    for (const KeyRange& range : table.ranges) {
      if (range.owner == owner)
        load += LoadOfKeys(loads, range.first, range.last);
    }
    return load;
  }

  double HighestLoad() {
    double highest = 0;
    for (const OwnerCandidate& owner : owners)
      highest = std::max(highest, LoadOf(owner.id) / owner.capacity);
    return highest;
  }

  int KeysIn(const std::string& zone) {
    int keys = 0;
    for (const KeyRange& range : table.ranges) {
      if (range.zone == zone) keys += range.last - range.first + 1;
    }
    return keys;
  }

  void Evacuate(const std::string& zone,
                const std::vector<OwnerCandidate>& targets) {
    for (const PlannedMove& move :
         PlanZoneEvacuation(table, loads, targets, zone, kCells))
      ApplyMove(table, move);
  }

  // Returns the number of keys that a round of balancing moves.
  int Balance(const std::vector<OwnerCandidate>& candidates) {
    int moved = 0;
    for (const std::string& zone : kZones) {
      for (const PlannedMove& move :
           PlanBalance(table, loads, candidates, zone, kLimits, 0)) {
        moved += move.last - move.first + 1;
        ApplyMove(table, move);
      }
    }
    return moved;
  }
};

// Load pattern: all owners at 45%.
TEST(ZoneEvacuation, AThirdOfTheOwnersGiveTheirKeysToTheOthersEvenly) {
  AddEvenLoad(0.45);
  Evacuate("west", OwnersOutside({"west"}));
  LONGS_EQUAL(0, KeysIn("west"));
  CHECK(HighestLoad() < 0.8);  // The mean is 0.675.
}

// Load pattern: all owners at 40%, and 200 neighbouring keys of the zone get as
// much as a sixth of all the other traffic.
TEST(ZoneEvacuation, HotKeysOfTheZoneGoToManyOwners) {
  AddEvenLoad(0.4);
  const KeyRange hot = *FindRange(table, kLastKey - 100);
  CHECK(hot.zone == "west");
  AddHotKeys(kLastKey - 250, 200, 57);
  Evacuate("west", OwnersOutside({"west"}));
  LONGS_EQUAL(0, KeysIn("west"));
  for (int round = 0; round < 4; ++round) Balance(OwnersOutside({"west"}));
  CHECK(HighestLoad() < 1.2);
}

// Load pattern: all owners at 30%. Each zone's holder plans for itself, on the
// same table.
TEST(ZoneEvacuation, TwoZonesAtOnceFitIntoTheThird) {
  AddEvenLoad(0.3);
  const auto targets = OwnersOutside({"west", "south"});
  const auto west = PlanZoneEvacuation(table, loads, targets, "west", kCells);
  Evacuate("south", targets);
  for (const PlannedMove& move : west) ApplyMove(table, move);
  LONGS_EQUAL(0, KeysIn("west") + KeysIn("south"));
  for (int round = 0; round < 4; ++round) Balance(targets);
  CHECK(HighestLoad() < 1.1);  // The mean is 0.9.
}

// Load pattern: all owners at 80%. The requests that do not fit are refused by
// rank, so no owner may be much worse off than the others.
TEST(ZoneEvacuation, LoadBeyondTheCapacityIsDividedEvenly) {
  AddEvenLoad(0.8);
  Evacuate("west", OwnersOutside({"west"}));
  LONGS_EQUAL(0, KeysIn("west"));
  CHECK(HighestLoad() < 1.4);  // The mean is 1.2.
}

TEST(ZoneEvacuation, WithoutTargetsNothingMoves) {
  AddEvenLoad(0.45);
  LONGS_EQUAL(0, PlanZoneEvacuation(table, loads, {}, "west", kCells).size());
  // Nor within the zone itself.
  LONGS_EQUAL(0,
              PlanZoneEvacuation(table, loads, OwnersOutside({"east", "south"}),
                                 "west", kCells)
                  .size());
}

TEST(ZoneEvacuation, TheBusiestRangesMoveFirst) {
  AddEvenLoad(0.45);
  AddHotKeys(kLastKey - 250, 200, 4);
  const auto moves =
      PlanZoneEvacuation(table, loads, OwnersOutside({"west"}), "west", 1);
  CHECK_FALSE(moves.empty());
  for (const PlannedMove& move : moves)
    CHECK(FindRange(table, move.first)->last == kLastKey);
}

// Load pattern: half of the targets are cold and take 4.5 requests of 0.29 s a
// second.
TEST(ZoneEvacuation, ColdTargetsGetNoMoreThanTheirIntake) {
  AddEvenLoad(0.2);
  auto targets = OwnersOutside({"west"});
  const double cold_capacity = 4.5 * 0.29;
  for (OwnerCandidate& target : targets) {
    if (target.zone == "east") target.cold_capacity = cold_capacity;
  }
  Evacuate("west", targets);
  LONGS_EQUAL(0, KeysIn("west"));
  // At most one range, or a part of one, beyond the cold capacity.
  for (const OwnerCandidate& target : targets) {
    if (target.cold_capacity.has_value())
      CHECK(LoadOf(target.id) < cold_capacity + 0.2 * kSlots);
  }
}

// Load pattern: the zone is taken back, and its owners are cold for 3 s. Keys
// return by their cold capacity, and no key goes back and forth.
TEST(ZoneEvacuation, KeysReturnToAColdZoneSlowlyAndStay) {
  AddEvenLoad(0.45);
  Evacuate("west", OwnersOutside({"west"}));
  const double cold_capacity = 4.5 * 0.29;
  auto cold = owners;
  for (OwnerCandidate& owner : cold) {
    if (owner.zone == "west") owner.cold_capacity = cold_capacity;
  }
  // Six rounds take 3 s.
  int most_moved = 0;
  for (int round = 0; round < 6; ++round) {
    const int before = KeysIn("west");
    most_moved = std::max(most_moved, Balance(cold));
    CHECK(KeysIn("west") >= before);
    for (const OwnerCandidate& owner : cold) {
      if (owner.zone == "west") CHECK(LoadOf(owner.id) <= cold_capacity * 1.1);
    }
  }
  CHECK(KeysIn("west") > 0);
  CHECK(most_moved < kLastKey / 10);
  for (int round = 0; round < 30; ++round) {
    const int before = KeysIn("west");
    Balance(owners);
    CHECK(KeysIn("west") >= before);
  }
  CHECK(HighestLoad() < 0.75);
  LONGS_EQUAL(0, Balance(owners));
}

TEST(ZoneEvacuation, RangesMoveSomeAtATimeAndAllWithinASecond) {
  const size_t first = EvacuationQuota(58, 0, milliseconds(0));
  CHECK(first >= 8 && first < 30);
  LONGS_EQUAL(0, EvacuationQuota(58 - first, first, milliseconds(200)));
  LONGS_EQUAL(3, EvacuationQuota(3, 0, milliseconds(0)));
  LONGS_EQUAL(58, EvacuationQuota(58, 20, seconds(1)));
}

}  // namespace
}  // namespace mimosadeal
