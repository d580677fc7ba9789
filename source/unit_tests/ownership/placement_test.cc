// Tests of shard placement. They guard against uneven load and against more
// moves than a loss or a join needs.
#include "ownership/placement.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "ownership/ownership_table.h"

namespace mimosadeal {
namespace {

constexpr size_t kShards = 1200;

size_t Moves(const std::vector<uint16_t>& before,
             const std::vector<uint16_t>& after) {
  size_t moves = 0;
  for (size_t i = 0; i < before.size(); ++i) {
    if (before[i] != after[i]) ++moves;
  }
  return moves;
}

size_t CountOf(const std::vector<uint16_t>& targets, uint16_t upstream) {
  return static_cast<size_t>(
      std::count(targets.begin(), targets.end(), upstream));
}

TEST_GROUP(Placement) {
  PlacementInput input;

  void setup() override {
    input.shard_loads.assign(kShards, 1.0);
    input.targets.assign(kShards, kNoUpstream);
    input.upstream_weights.assign(10, 1.0);
    input.tolerated_imbalance = 1.05;
  }
};

TEST(Placement, SpreadsShardsEvenly) {
  const auto targets = PlaceShards(input);
  for (uint16_t upstream = 0; upstream < 10; ++upstream)
    LONGS_EQUAL(kShards / 10, CountOf(targets, upstream));
}

TEST(Placement, ALossMovesOnlyTheLostUpstreamsShards) {
  input.targets = PlaceShards(input);
  input.upstream_weights[3] = 0;
  input.max_balancing_moves = kShards;
  const auto after = PlaceShards(input);
  LONGS_EQUAL(kShards / 10, Moves(input.targets, after));
  LONGS_EQUAL(0, CountOf(after, 3));
}

TEST(Placement, AJoinMovesNoMoreThanItsShare) {
  input.upstream_weights[9] = 0;
  input.targets = PlaceShards(input);
  input.upstream_weights[9] = 1;
  input.max_balancing_moves = kShards;
  const auto after = PlaceShards(input);
  CHECK_TRUE(Moves(input.targets, after) <= kShards / 10);
  CHECK_TRUE(CountOf(after, 9) >= kShards / 10 - 5);
}

TEST(Placement, SmallImbalanceIsLeftAlone) {
  input.targets = PlaceShards(input);
  input.targets[0] = static_cast<uint16_t>((input.targets[0] + 1) % 10);
  input.max_balancing_moves = kShards;
  LONGS_EQUAL(0, Moves(input.targets, PlaceShards(input)));
}

TEST(Placement, HotShardsAreSpread) {
  input.shard_loads.assign(kShards, 1.0);
  for (size_t i = 0; i < 10; ++i) input.shard_loads[i] = 100;
  input.targets = PlaceShards(input);
  std::vector<double> loads(10, 0.0);
  for (size_t i = 0; i < kShards; ++i)
    loads[input.targets[i]] += input.shard_loads[i];
  const double mean = (kShards - 10 + 1000) / 10.0;
  CHECK_TRUE(*std::max_element(loads.begin(), loads.end()) / mean < 1.05);
}

TEST(Placement, ShardsOfOtherZonesHaveNoTarget) {
  input.shard_loads[5] = -1;
  LONGS_EQUAL(kNoUpstream, PlaceShards(input)[5]);
}

TEST(Placement, WithoutAnyUpstreamNothingIsPlaced) {
  input.upstream_weights.assign(10, 0.0);
  LONGS_EQUAL(kShards, CountOf(PlaceShards(input), kNoUpstream));
}

}  // namespace
}  // namespace mimosadeal
