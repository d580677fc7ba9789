// Tests of the decisions of the byte budget, without a network.
#include "net/byte_budget.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMb = size_t{1024} * 1024;
constexpr ByteUse kBodies = ByteUse::kRequestBodies;
constexpr ByteUse kUnread = ByteUse::kUnreadResponses;

TEST_GROUP(ByteBudget){std::shared_ptr<ByteBudget> Budget(int64_t memory_mb){
    return std::make_shared<ByteBudget>(MakeByteBudget(memory_mb));
}  // namespace
};  // namespace mimosadeal

TEST(ByteBudget, WithoutAKnownMemoryOnlyUpstreamResponsesAreLimited) {
  const auto budget = Budget(0);
  CHECK(MayHold(*budget, kBodies, 0, 4000 * kMb));
  CHECK(MayHold(*budget, kUnread, 0, 4000 * kMb));
  LONGS_EQUAL(16 * kMb, PartOf(*budget, ByteUse::kUpstreamResponses).limit);
}

TEST(ByteBudget, TheLargestBodyAloneFitsOnTheSmallestHosts) {
  for (const int64_t memory_mb : {112, 120, 182, 512})
    CHECK(MayHold(*Budget(memory_mb), kBodies, 0, 64 * kMb));
}

TEST(ByteBudget, AllPartsTogetherLeaveRoomForTheProcess) {
  for (const int64_t memory_mb : {112, 182, 512}) {
    const auto budget = Budget(memory_mb);
    size_t sum = 0;
    for (const BytePart& part : budget->parts) sum += part.limit;
    CHECK(sum <= static_cast<size_t>(memory_mb) * kMb * 2 / 3);
    CHECK(PartOf(*budget, kBodies).single_limit <=
          static_cast<size_t>(memory_mb) * kMb * 2 / 3);
  }
}

TEST(ByteBudget, ASecondLargeBodyIsRefusedBesideTheLargest) {
  const auto budget = Budget(112);
  ByteHold first(budget, kBodies);
  first.Set(64 * kMb);
  CHECK_FALSE(MayHold(*budget, kBodies, 0, kMb));
  first.Set(0);
  CHECK(MayHold(*budget, kBodies, 0, kMb));
}

// Guards against responses that fail while callers that do not read keep the
// room for them.
TEST(ByteBudget, UnreadResponsesLeaveUpstreamsTheirPart) {
  LONGS_EQUAL(0, UpstreamShortage(*Budget(0)));
  const auto budget = Budget(64);
  ByteHold body(budget, kBodies);
  ByteHold unread(budget, kUnread);
  ByteHold response(budget, ByteUse::kUpstreamResponses);
  const size_t part = PartOf(*budget, ByteUse::kUpstreamResponses).limit;
  body.Set(budget->total_limit - part - 2 * kMb);
  unread.Set(2 * kMb);
  LONGS_EQUAL(0, UpstreamShortage(*budget));
  unread.Set(5 * kMb);
  LONGS_EQUAL(3 * kMb, UpstreamShortage(*budget));
  response.Set(kMb);
  LONGS_EQUAL(3 * kMb, UpstreamShortage(*budget));
  response.Set(part + kMb);
  LONGS_EQUAL(4 * kMb, UpstreamShortage(*budget));
}

TEST(ByteBudget, SmallRequestsFitWhenLargeOnesUseAllThatTheyMay) {
  const auto budget = Budget(64);
  std::vector<std::unique_ptr<ByteHold>> holds;
  while (MayHold(*budget, kBodies, 0, kMb)) {
    holds.push_back(std::make_unique<ByteHold>(budget, kBodies));
    holds.back()->Set(kMb);
  }
  CHECK(holds.size() > 10);
  CHECK(MayHold(*budget, kBodies, 0, kSmallHolderBytes));
  CHECK_FALSE(MayHold(*budget, kBodies, 0, kSmallHolderBytes + 1));
}

TEST(ByteBudget, SmallRequestsFitBesideTheLargestBody) {
  const auto budget = Budget(112);
  ByteHold largest(budget, kBodies);
  largest.Set(64 * kMb);
  std::vector<std::unique_ptr<ByteHold>> holds;
  while (MayHold(*budget, kBodies, 0, kSmallHolderBytes)) {
    holds.push_back(std::make_unique<ByteHold>(budget, kBodies));
    holds.back()->Set(kSmallHolderBytes);
  }
  LONGS_EQUAL(PartOf(*budget, kBodies).small_reserve / kSmallHolderBytes,
              holds.size());
}

TEST(ByteBudget, TheLargestBodyDoesNotFitBesideSmallOnesThatUseTheWholePart) {
  const auto budget = Budget(112);
  std::vector<std::unique_ptr<ByteHold>> holds;
  while (MayHold(*budget, kBodies, 0, kSmallHolderBytes)) {
    holds.push_back(std::make_unique<ByteHold>(budget, kBodies));
    holds.back()->Set(kSmallHolderBytes);
  }
  const size_t shortage = Shortage(*budget, kBodies, 0, 64 * kMb);
  CHECK(shortage > 0 && shortage < PartOf(*budget, kBodies).used);
}

TEST(ByteBudget, TheLargestBodyAndUnreadResponsesShareTheTotal) {
  const auto budget = Budget(112);
  ByteHold largest(budget, kBodies);
  largest.Set(64 * kMb);
  ByteHold unread(budget, kUnread);
  while (MayHold(*budget, kUnread, unread.bytes(), unread.bytes() + kMb))
    unread.Set(unread.bytes() + kMb);
  CHECK(unread.bytes() > 4 * kMb);
  CHECK(PartOf(*budget, kUnread).used < PartOf(*budget, kUnread).limit);
  CHECK_FALSE(ExceedsTotal(*budget));
}

TEST(ByteBudget, TheSumOfSmallRequestsIsLimitedToo) {
  const auto budget = Budget(64);
  std::vector<std::unique_ptr<ByteHold>> holds;
  while (MayHold(*budget, kBodies, 0, kSmallHolderBytes)) {
    holds.push_back(std::make_unique<ByteHold>(budget, kBodies));
    holds.back()->Set(kSmallHolderBytes);
  }
  const BytePart& part = PartOf(*budget, kBodies);
  CHECK(part.used <= part.limit);
}

TEST(ByteBudget, UsesDoNotTakeEachOthersParts) {
  const auto budget = Budget(64);
  ByteHold bodies(budget, kBodies);
  bodies.Set(PartOf(*budget, kBodies).limit);
  CHECK(MayHold(*budget, kUnread, 0, 4 * kMb));
}

TEST(ByteBudget, ABodyThatGrowsNeedsOnlyWhatItAdds) {
  const auto budget = Budget(64);
  ByteHold one(budget, kBodies);
  ByteHold other(budget, kBodies);
  one.Set(10 * kMb);
  other.Set(10 * kMb);
  CHECK(MayHold(*budget, kBodies, 10 * kMb, 11 * kMb));
  CHECK_FALSE(MayHold(*budget, kBodies, 10 * kMb, 12 * kMb));
  LONGS_EQUAL(kMb, Shortage(*budget, kBodies, 10 * kMb, 12 * kMb));
}

TEST(ByteBudget, WhatNeverFitsIsNotWorthAnEviction) {
  const auto budget = Budget(64);
  CHECK(Shortage(*budget, kBodies, 0, 60 * kMb) == SIZE_MAX);
  CHECK(ChooseEvictions({{1, 64 * kMb, true}}, SIZE_MAX,
                        EvictionScope::kStalledOnly)
            .empty());
}

TEST(ByteBudget, AHoldGivesItsBytesBack) {
  const auto budget = Budget(64);
  {
    ByteHold hold(budget, kBodies);
    hold.Set(5 * kMb);
    hold.Set(3 * kMb);
    LONGS_EQUAL(3 * kMb, PartOf(*budget, kBodies).used);
    LONGS_EQUAL(3 * kMb, PartOf(*budget, kBodies).large_used);
    LONGS_EQUAL(1, PartOf(*budget, kBodies).holders);
  }
  LONGS_EQUAL(0, PartOf(*budget, kBodies).used);
  LONGS_EQUAL(0, PartOf(*budget, kBodies).large_used);
  LONGS_EQUAL(0, PartOf(*budget, kBodies).holders);
}

TEST(ByteBudget, StalledHoldersOfMostAreEvictedAndNoMoreThanNeeded) {
  const std::vector<EvictionCandidate> candidates = {
      {1, 10, true}, {2, 30, true}, {3, 90, false}, {4, 20, true}};
  const auto one = ChooseEvictions(candidates, 25, EvictionScope::kStalledOnly);
  LONGS_EQUAL(1, one.size());
  LONGS_EQUAL(2, one[0]);
  const auto two = ChooseEvictions(candidates, 45, EvictionScope::kStalledOnly);
  LONGS_EQUAL(2, two.size());
  LONGS_EQUAL(4, two[1]);
}

TEST(ByteBudget, NoOneIsEvictedIfTheStalledDoNotSuffice) {
  const std::vector<EvictionCandidate> candidates = {{1, 10, true},
                                                     {2, 90, false}};
  CHECK(ChooseEvictions(candidates, 11, EvictionScope::kStalledOnly).empty());
  const auto all =
      ChooseEvictions(candidates, 11, EvictionScope::kStalledFirst);
  LONGS_EQUAL(2, all.size());
  LONGS_EQUAL(1, all[0]);
}

TEST(ByteBudget, ATransferStallsOnlyAfterAWholeStretchWithHardlyAByte) {
  const MonotonicTime start = MonotonicTime() + milliseconds(1000);
  TransferProgress progress;
  RestartProgress(progress, 500, start);
  JudgeProgress(progress, 500, kMb, start + milliseconds(900));
  CHECK_FALSE(progress.stalled);
  JudgeProgress(progress, 500 + kMb / 32, kMb, start + milliseconds(1000));
  CHECK_FALSE(progress.stalled);
  JudgeProgress(progress, 500 + kMb / 32 + 100, kMb,
                start + milliseconds(2000));
  CHECK(progress.stalled);
  JudgeProgress(progress, 500 + kMb, kMb, start + milliseconds(3000));
  CHECK_FALSE(progress.stalled);
}

}  // namespace
}  // namespace mimosadeal
