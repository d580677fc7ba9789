// Tests of telling a copy that stays behind from one that is being updated.
#include "entry/zone_coordinator.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLimit = milliseconds(250);

TEST_GROUP(CopyLag) {
  CopyLag lag;
  MonotonicTime now{std::chrono::seconds(10)};

  bool Hello(uint64_t copy, uint64_t newest) {
    now += milliseconds(300);
    return LagsFor(lag, copy, newest, now, kLimit);
  }
};

// Load pattern: the registry changes with every hello, and nothing arrives at
// the copy. Counting from the last update sent, this was never noticed.
TEST(CopyLag, ACopyThatGetsNothingIsNoticedAlthoughUpdatesAreSentAllTheTime) {
  CHECK_FALSE(Hello(10, 11));
  CHECK(Hello(10, 12));
  CHECK(Hello(10, 13));
}

TEST(CopyLag, ACopyThatFollowsAStormOfChangesIsNot) {
  for (uint64_t revision = 10; revision < 60; ++revision)
    CHECK_FALSE(Hello(revision, revision + 1));
}

TEST(CopyLag, ACopyThatHasCaughtUpStartsAnew) {
  CHECK_FALSE(Hello(10, 11));
  CHECK_FALSE(Hello(11, 11));
  CHECK_FALSE(Hello(11, 12));
  CHECK(Hello(11, 12));
}

TEST_GROUP(FeedDecision) {
  Follower follower;
  MonotonicTime now{std::chrono::seconds(10)};

  int Sent(const FeedDecision& decision) {
    return static_cast<int>(std::count(decision.send_whole.begin(),
                                       decision.send_whole.end(), true));
  }
};

// Load pattern: a host that was cut off for longer than it is remembered comes
// back and lacks a configuration, registrations and tables. What came later
// than the first kind had it use an upstream that had left.
TEST(FeedDecision, ANewFollowerGetsEveryKindThatItLacksAtOnce) {
  const FeedDecision decision =
      DecideFeed(follower, {1, 2, 9}, {4, 5, 9}, false, now, kLimit);
  CHECK(decision.send_whole[0]);
  CHECK(decision.send_whole[1]);
  CHECK_FALSE(decision.send_whole[2]);
  CHECK_FALSE(decision.reconnect);
}

TEST(FeedDecision, WhatWasJustSentIsNotSentAgain) {
  DecideFeed(follower, {1, 2, 9}, {4, 5, 9}, false, now, kLimit);
  LONGS_EQUAL(0, Sent(DecideFeed(follower, {1, 2, 9}, {4, 5, 9}, false,
                                 now + milliseconds(100), kLimit)));
  const FeedDecision late = DecideFeed(follower, {1, 2, 9}, {4, 5, 9}, false,
                                       now + milliseconds(400), kLimit);
  LONGS_EQUAL(2, Sent(late));
  CHECK(late.reconnect);
}

TEST(FeedDecision, AFollowerThatAsksGetsOnlyWhatItLacks) {
  DecideFeed(follower, {4, 5, 9}, {4, 5, 9}, false, now, kLimit);
  follower.sent_any = true;
  LONGS_EQUAL(
      0, Sent(DecideFeed(follower, {4, 5, 9}, {4, 5, 9}, true, now, kLimit)));
  LONGS_EQUAL(
      1, Sent(DecideFeed(follower, {4, 4, 9}, {4, 5, 9}, true, now, kLimit)));
}

}  // namespace
}  // namespace mimosadeal
