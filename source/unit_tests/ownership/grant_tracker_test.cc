// Tests of GrantTracker. They guard against a dispatcher that assumes a grant
// after the upstream let it expire, or assumes its end while it is in force.
#include "ownership/grant_tracker.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(GrantTracker) {
  LeaseTiming timing;
  GrantTracker tracker;
  MonotonicTime now{std::chrono::seconds(100)};
  ShardSet shards{8};

  void setup() override {
    timing.grant_ttl = milliseconds(450);
    timing.clock_rate_guard = 0.02;
    shards.Add(3);
  }

  // Sends a grant and receives the upstream's reply after 10 ms.
  void Exchange(uint64_t revision, bool accepted, const std::string& token) {
    const GrantToSend grant = PrepareGrant(tracker, timing, revision, shards,
                                           milliseconds(1000), now);
    OnGrantSent(tracker, timing, grant);
    now += milliseconds(10);
    OnGrantAnswered(tracker, timing, grant, accepted, token, now);
  }
};

TEST(GrantTracker, TheHoldCountsFromBeforeTheTokenWasRequested) {
  const MonotonicTime token_requested = now;
  Exchange(1, false, "t1");
  CHECK_FALSE(GrantHolds(tracker, 3, now));
  Exchange(1, true, "t2");
  CHECK_TRUE(GrantHolds(tracker, 3, now));
  CHECK_FALSE(GrantHolds(tracker, 4, now));
  const MonotonicTime end =
      token_requested + timing.Shortened(timing.grant_ttl);
  CHECK_TRUE(GrantHolds(tracker, 3, end - milliseconds(1)));
  CHECK_FALSE(GrantHolds(tracker, 3, end));
}

TEST(GrantTracker, AnOlderGrantEndsByAnAcknowledgementOrByExpiry) {
  Exchange(1, false, "t1");
  const MonotonicTime token_received = now;
  Exchange(1, true, "t2");
  CHECK_FALSE(OlderGrantsEnded(tracker, 2, now));
  // The newer grant gets no reply.
  const GrantToSend lost =
      PrepareGrant(tracker, timing, 2, ShardSet(8), milliseconds(1000), now);
  OnGrantSent(tracker, timing, lost);
  CHECK_FALSE(OlderGrantsEnded(tracker, 2, now));
  CHECK_TRUE(OlderGrantsEnded(
      tracker, 2, token_received + timing.Lengthened(timing.grant_ttl)));
  now += milliseconds(10);
  OnGrantAnswered(tracker, timing, lost, true, "t3", now);
  CHECK_TRUE(OlderGrantsEnded(tracker, 2, now));
}

TEST(GrantTracker, AGrantNeverOutlastsTheLease) {
  Exchange(1, false, "t1");
  const GrantToSend grant =
      PrepareGrant(tracker, timing, 1, shards, milliseconds(30), now);
  // The token is new, so nothing is added for its age.
  CHECK_TRUE(grant.ttl == timing.Shortened(milliseconds(30)));
  now += milliseconds(100);
  const GrantToSend later =
      PrepareGrant(tracker, timing, 1, shards, milliseconds(30), now);
  CHECK_TRUE(tracker.token_received_at + later.ttl <=
             now + Duration(milliseconds(30)));
  CHECK_TRUE(later.ttl > Duration(milliseconds(100)));
  CHECK_TRUE(
      PrepareGrant(tracker, timing, 1, shards, milliseconds(-5), now).ttl ==
      Duration::zero());
}

TEST(GrantTracker, AReplyToAnOlderGrantDoesNotUndoANewerOne) {
  Exchange(1, false, "t1");
  const GrantToSend old =
      PrepareGrant(tracker, timing, 1, shards, milliseconds(1000), now);
  Exchange(2, true, "t2");
  OnGrantAnswered(tracker, timing, old, true, "t3", now);
  LONGS_EQUAL(2, tracker.acknowledged);
}

}  // namespace
}  // namespace mimosadeal
