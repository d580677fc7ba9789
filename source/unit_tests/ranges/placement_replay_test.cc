// Replays of placement over a minute: owners of different speeds on machines
// whose pace changes twice a second, and the load pattern that each test names.
// Load and speeds are measured as lease holders do it.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "balance/service_time.h"
#include "common/ids.h"
#include "ranges/key_load.h"
#include "ranges/range_planner.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BalanceLimits kLimits = {0.6, 0.25, 0.05, 0.1, 4, 0.1};
constexpr int kSlots = 6;
constexpr double kWorkSeconds = 0.29;
constexpr int kRequestsPerRound = 676;  // In half a second.
// A fifth of the machines takes three times as long, others at each moment.
constexpr double kSlowMachines = 0.2;
constexpr double kSlowFactor = 3;
constexpr double kMilliseconds = 1000;
// The weight of earlier responses, by round.
constexpr double kSpeedDecay = 0.9;
// Rounds until the owners' speeds are measured and keys lie accordingly.
constexpr int kFirstRounds = 20;

class PlacementReplay : public Utest {
 public:
  void setup() override {
    constexpr std::array<int, 3> owners_by_zone = {44, 43, 58};
    for (size_t zone = 0; zone < zones.size(); ++zone) {
      for (int i = 0; i < owners_by_zone.at(zone); ++i) {
        owners.push_back({zones.at(zone) + std::to_string(1000 + i), 1,
                          zones.at(zone), kSlots});
        index[owners.back().id] = speeds.size();
        constexpr std::array<double, 3> kSpeeds = {0.6, 1, 1.4};
        speeds.push_back(kSpeeds.at(random.Below(kSpeeds.size())));
      }
    }
    factors.resize(owners.size(), 1);
    table = MakeFirstTable("yard", owners);
  }

  // Sends the requests of half a second and balances once. Returns the share of
  // all keys that move.
  double Round(double hot_share) {
    for (double& factor : factors)
      factor = random.Unit() < kSlowMachines ? kSlowFactor : 1;
    for (int i = 0; i < kRequestsPerRound; ++i) SendRequest(hot_share);
    now += milliseconds(500);
    const CellLoads rates = load.Rates(now);
    std::vector<OwnerCandidate> candidates = owners;
    for (OwnerCandidate& owner : candidates) {
      auto& [expected, measured] = times[owner.id];
      expected *= kSpeedDecay;
      measured *= kSpeedDecay;
      owner.capacity = kSlots * SpeedFromTimes(expected, measured);
    }
    int moved = 0;
    for (const std::string& zone : zones) {
      for (const PlannedMove& move :
           PlanBalance(table, rates, candidates, zone, kLimits, load.noise())) {
        moved += move.last - move.first + 1;
        ApplyMove(table, move);
      }
    }
    return static_cast<double>(moved) / (kLastKey + 1);
  }

  double Rounds(int count, double hot_share) {
    double moved = 0;
    for (int i = 0; i < count; ++i) moved += Round(hot_share);
    return moved;
  }

  // Returns the highest load of an owner relative to what it can do on a
  // machine of the usual pace, over some rounds without moves.
  double HighestLoad(double hot_share) {
    constexpr int kRounds = 20;
    std::vector<double> busy(owners.size(), 0);
    for (int i = 0; i < kRounds * kRequestsPerRound; ++i) {
      const size_t owner =
          index.at(FindRange(table, PickKey(hot_share))->owner);
      busy[owner] += kWorkSeconds / speeds[owner];
    }
    return *std::max_element(busy.begin(), busy.end()) * 2 / kRounds / kSlots;
  }

  const std::vector<std::string> zones = {"east", "south", "west"};
  std::vector<OwnerCandidate> owners;
  std::vector<double> speeds;  // By owner, as its index in `owners`.

 private:
  int PickKey(double hot_share) {
    if (random.Unit() < hot_share)
      return 30000 + static_cast<int>(random.Below(200));
    return std::min(kLastKey, static_cast<int>((kLastKey + 1) *
                                               std::pow(random.Unit(), 1.3)));
  }

  void SendRequest(double hot_share) {
    const int key = PickKey(hot_share);
    const std::string& owner = FindRange(table, key)->owner;
    const size_t at = index.at(owner);
    const double work = kWorkSeconds * (0.7 + 0.6 * random.Unit());
    const double taken = work / speeds[at] * factors[at];
    const double usual = UsualSeconds(taken, factors[at]);
    load.Add(static_cast<size_t>(key), mean);
    times[owner].first += usual_mean * kMilliseconds;
    times[owner].second += usual * kMilliseconds;
    constexpr double kWeight = 0.001;
    mean += kWeight * (taken - mean);
    usual_mean += kWeight * (usual - usual_mean);
  }

  Random random{7};
  std::map<std::string, size_t> index;
  std::vector<double> factors;  // By owner, at the moment.
  RangeTable table;
  KeyLoad load{{milliseconds(1500), seconds(15), milliseconds(500)}};
  // By owner: expected and measured milliseconds.
  std::map<std::string, std::pair<double, double>> times;
  double mean = kWorkSeconds;
  double usual_mean = kWorkSeconds;
  MonotonicTime now{seconds(100)};
};

TEST_GROUP_BASE(Placement, PlacementReplay){};

// Load pattern: steady. Moves that only the machines' momentary pace causes
// turn callers away.
TEST(Placement, TheMomentaryPaceOfMachinesMovesFewKeys) {
  Rounds(kFirstRounds, 0);
  CHECK(Rounds(60, 0) < 0.06);
  CHECK(HighestLoad(0) < 1);
}

// Load pattern: 200 neighbouring keys get a third of the traffic for 10 s.
TEST(Placement, HotKeysSpreadWithinSecondsAndMoveLittleElse) {
  Rounds(kFirstRounds, 0);
  CHECK(Rounds(8, 0.33) < 0.15);
  CHECK(HighestLoad(0.33) < 2);
  CHECK(Rounds(12, 0.33) < 0.1);
}

// Load pattern: a third of the owners becomes slower by a factor of three.
TEST(Placement, SlowOwnersGiveKeysAwayWithinFiveSeconds) {
  Rounds(kFirstRounds, 0);
  for (size_t i = 0; i < speeds.size(); i += 3) speeds[i] /= 3;
  const double before = HighestLoad(0);
  Rounds(10, 0);
  CHECK(HighestLoad(0) < before);
  CHECK(Rounds(40, 0) < 0.25);
}

TEST_GROUP(ServiceTime){};

TEST(ServiceTime, ASlowMachineDoesNotMakeItsUpstreamSlow) {
  const double seconds = SlotSeconds(milliseconds(900), 0, kSlots);
  DOUBLES_EQUAL(0.3, UsualSeconds(seconds, 3), 1e-9);
  DOUBLES_EQUAL(0.9, UsualSeconds(seconds, 0), 1e-9);
  DOUBLES_EQUAL(0.45, SlotSeconds(milliseconds(900), kSlots, kSlots), 1e-9);
}

}  // namespace
}  // namespace mimosadeal
