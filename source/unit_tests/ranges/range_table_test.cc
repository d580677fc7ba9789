// Tests of range tables: lookup, assigning and merging ranges, table steps, and
// the stored form.
#include "ranges/range_table.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "common/ids.h"

namespace mimosadeal {
namespace {

KeyRange MakeRange(int first, int last, const std::string& owner,
                   uint64_t generation, const std::string& zone = "north") {
  KeyRange range;
  range.first = first;
  range.last = last;
  range.owner = owner;
  range.owner_incarnation = 1;
  range.zone = zone;
  range.generation = generation;
  return range;
}

TEST_GROUP(RangeTable) {
  RangeTable table;

  void setup() override {
    table.service = "yard";
    table.last_generation = 2;
    table.ranges = {MakeRange(0, 9999, "a", 1),
                    MakeRange(10000, kLastKey, "b", 2)};
  }

  void CheckEncoding() {
    const auto read = DecodeRangeTable("yard", 7, EncodeRangeTable(table));
    CHECK(read.has_value());
    CHECK(read.value().ranges == table.ranges);
    LONGS_EQUAL(7, read.value().revision);
  }
};

TEST(RangeTable, FindsTheRangeOfEachKey) {
  STRCMP_EQUAL("a", FindRange(table, 0)->owner.c_str());
  STRCMP_EQUAL("a", FindRange(table, 9999)->owner.c_str());
  STRCMP_EQUAL("b", FindRange(table, 10000)->owner.c_str());
  STRCMP_EQUAL("b", FindRange(table, kLastKey)->owner.c_str());
}

TEST(RangeTable, AnAssignedPartSplitsOverlappingRanges) {
  AssignPart(table, MakeRange(9000, 10999, "c", 3));
  LONGS_EQUAL(3, table.ranges.size());
  STRCMP_EQUAL("c", FindRange(table, 9000)->owner.c_str());
  STRCMP_EQUAL("c", FindRange(table, 10999)->owner.c_str());
  STRCMP_EQUAL("b", FindRange(table, 11000)->owner.c_str());
  CheckEncoding();
}

TEST(RangeTable, RandomPartsKeepEveryKeyCoveredOnce) {
  Random random(20261204);
  for (int i = 0; i < 300; ++i) {
    const int first = static_cast<int>(random.Below(kLastKey + 1));
    const int last = first + static_cast<int>(random.Below(
                                 static_cast<uint64_t>(kLastKey + 1 - first)));
    AssignPart(table, MakeRange(first, last, std::to_string(random.Below(9)),
                                ++table.last_generation));
    if (i % 10 == 0) MergeNeighbours(table, "north");
    CheckEncoding();
  }
}

TEST(RangeTable, MergedNeighboursGetAHigherGeneration) {
  AssignPart(table, MakeRange(10000, 10999, "a", 3));
  table.last_generation = 3;
  MergeNeighbours(table, "north");
  LONGS_EQUAL(2, table.ranges.size());
  LONGS_EQUAL(10999, table.ranges[0].last);
  LONGS_EQUAL(4, table.ranges[0].generation);
}

TEST(RangeTable, RangesOfAnotherZoneAreNotMerged) {
  table.ranges = {MakeRange(0, 9, "a", 1, "south"),
                  MakeRange(10, kLastKey, "a", 2, "south")};
  MergeNeighbours(table, "north");
  LONGS_EQUAL(2, table.ranges.size());
}

TEST(RangeTable, ATableWithAGapIsMalformed) {
  table.ranges[1].first = 10001;
  CHECK_FALSE(DecodeRangeTable("yard", 1, EncodeRangeTable(table)).has_value());
}

// Guards against hosts whose table, updated by the steps that the lease holder
// replicates, differs from the stored one.
TEST(RangeTable, ApplyingStepsGivesTheStoredTable) {
  Random random(7);
  RangeTable earlier;
  constexpr int kSteps = 300;
  for (int i = 0; i < kSteps; ++i) {
    RangeTable after = table;
    after.revision = table.revision + 1;
    const int parts = 1 + static_cast<int>(random.Below(4));
    for (int part = 0; part < parts; ++part) {
      const int first = static_cast<int>(random.Below(kLastKey));
      const int size = 1 + static_cast<int>(random.Below(3000));
      AssignPart(
          after,
          MakeRange(first, std::min(kLastKey, first + size),
                    std::string(1, static_cast<char>('a' + random.Below(5))),
                    ++after.last_generation));
    }
    if (random.Below(3) == 0) MergeNeighbours(after, "north");
    const auto read =
        DecodeRangeTableStep(EncodeRangeTableStep(StepBetween(table, after)));
    CHECK(read.has_value());
    LONGS_EQUAL(table.revision, read.value().base);
    const RangeTable result =
        ApplyStep(table, read.value(), after.revision).value();
    CHECK(result.ranges == after.ranges);
    LONGS_EQUAL(after.last_generation, result.last_generation);
    LONGS_EQUAL(after.revision, result.revision);
    // A step from an older version must also apply to the present one.
    if (!earlier.ranges.empty()) {
      CHECK(ApplyStep(table, StepBetween(earlier, after), after.revision)
                .value()
                .ranges == after.ranges);
    }
    earlier = table;
    table = after;
  }
}

// Guards against steps whose size grows with the table.
TEST(RangeTable, AStepHoldsOnlyChangedRanges) {
  RangeTable after = table;
  for (int first = 0; first < kLastKey; first += 64)
    AssignPart(after,
               MakeRange(first, first + 63, "a", ++after.last_generation));
  RangeTable next = after;
  AssignPart(next, MakeRange(640, 703, "b", ++next.last_generation));
  LONGS_EQUAL(1, StepBetween(after, next).changed.size());
}

TEST(RangeTable, AMalformedStepIsRejected) {
  CHECK_FALSE(DecodeRangeTableStep({{"base", 1}}).has_value());
  nlohmann::json step = EncodeRangeTableStep(StepBetween(table, table));
  step["changed"].push_back({1, 2});
  CHECK_FALSE(DecodeRangeTableStep(step).has_value());
}

TEST(RangeTable, AStepOutOfOrderIsRejected) {
  for (const auto& [first, last] : std::vector<std::pair<int, int>>{
           {5, 9}, {30, 20}, {40, kLastKey + 1}, {-1, 3}}) {
    RangeTableStep step;
    step.changed = {MakeRange(0, 10, "a", 7), MakeRange(first, last, "b", 8)};
    CHECK_FALSE(ApplyStep(table, step, 2).has_value());
  }
}

TEST(RangeTable, OnlyAStepHasABase) {
  CHECK_FALSE(StepBase(EncodeRangeTable(table)).has_value());
  table.revision = 12;
  LONGS_EQUAL(12, *StepBase(EncodeRangeTableStep(StepBetween(table, table))));
}

TEST(RangeTable, SubtractSpansReturnsTheRemainingSpans) {
  const auto left = SubtractSpans({0, 100}, {{50, 60}, {0, 9}, {90, 200}});
  LONGS_EQUAL(2, left.size());
  LONGS_EQUAL(10, left[0].first);
  LONGS_EQUAL(49, left[0].last);
  LONGS_EQUAL(61, left[1].first);
  LONGS_EQUAL(89, left[1].last);
}

}  // namespace
}  // namespace mimosadeal
