// Tests of how a lease holder detects followers whose copies are outdated, and
// decides what to send them.
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
    return LagExceeds(lag, copy, newest, now, kLimit);
  }
};

// Load pattern: the registry changes between any two hellos, and no update
// reaches the copy. The lag must not be measured from the last update sent:
// then it would never be detected.
TEST(CopyLag, ACopyThatReceivesNothingLagsWhileUpdatesAreSent) {
  CHECK_FALSE(Hello(10, 11));
  CHECK(Hello(10, 12));
  CHECK(Hello(10, 13));
}

TEST(CopyLag, ACopyThatFollowsFrequentChangesDoesNotLag) {
  for (uint64_t revision = 10; revision < 60; ++revision)
    CHECK_FALSE(Hello(revision, revision + 1));
}

TEST(CopyLag, CatchingUpResetsTheLag) {
  CHECK_FALSE(Hello(10, 11));
  CHECK_FALSE(Hello(11, 11));
  CHECK_FALSE(Hello(11, 12));
  CHECK(Hello(11, 12));
}

TEST_GROUP(FeedDecision) {
  Follower follower;
  MonotonicTime now{std::chrono::seconds(10)};

  int Sent(const FeedDecision& decision) {
    return static_cast<int>(
        std::count(decision.send_full.begin(), decision.send_full.end(), true));
  }
};

// Load pattern: a host returns after a partition that lasted longer than the
// holder remembers followers, with an outdated configuration, registry and
// tables. If the kinds arrive one after the other, the host uses upstreams that
// have left.
TEST(FeedDecision, ANewFollowerReceivesEveryOutdatedKindAtOnce) {
  const FeedDecision decision =
      DecideFeed(follower, {1, 2, 9}, {4, 5, 9}, false, now, kLimit);
  CHECK(decision.send_full[0]);
  CHECK(decision.send_full[1]);
  CHECK_FALSE(decision.send_full[2]);
  CHECK_FALSE(decision.reconnect);
}

TEST(FeedDecision, AKindIsNotSentAgainWithinTheMinimumInterval) {
  DecideFeed(follower, {1, 2, 9}, {4, 5, 9}, false, now, kLimit);
  LONGS_EQUAL(0, Sent(DecideFeed(follower, {1, 2, 9}, {4, 5, 9}, false,
                                 now + milliseconds(100), kLimit)));
  const FeedDecision late = DecideFeed(follower, {1, 2, 9}, {4, 5, 9}, false,
                                       now + milliseconds(400), kLimit);
  LONGS_EQUAL(2, Sent(late));
  CHECK(late.reconnect);
}

TEST(FeedDecision, AResyncSendsOnlyOutdatedKinds) {
  DecideFeed(follower, {4, 5, 9}, {4, 5, 9}, false, now, kLimit);
  follower.sent_any = true;
  LONGS_EQUAL(
      0, Sent(DecideFeed(follower, {4, 5, 9}, {4, 5, 9}, true, now, kLimit)));
  LONGS_EQUAL(
      1, Sent(DecideFeed(follower, {4, 4, 9}, {4, 5, 9}, true, now, kLimit)));
}

// A host of a former build has three kinds, one of this build four if its
// deployment has a bound on evacuations. Each may be the holder.
TEST(FeedDecision, AFollowerGetsOnlyTheKindsThatItStates) {
  LONGS_EQUAL(3, Sent(DecideFeed(follower, {1, 2, 3}, {4, 5, 9, 7}, false, now,
                                 kLimit)));
  LONGS_EQUAL(1, Sent(DecideFeed(follower, {4, 5, 9, 0}, {4, 5, 9, 7}, true,
                                 now, kLimit)));
  Follower other;
  LONGS_EQUAL(
      3, Sent(DecideFeed(other, {1, 2, 3, 4}, {4, 5, 9}, false, now, kLimit)));
}

}  // namespace
}  // namespace mimosadeal
