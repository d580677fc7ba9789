// Tests of HoldTracker, which bounds the times for which grants hold.
#include "ranges/hold_tracker.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(HoldTracker) {
  HoldTracker holds{{0.025, milliseconds(200), milliseconds(700)}};
  MonotonicTime start{seconds(50)};
  UpstreamIncarnation upstream{"u1", 1};

  SentGrantId Send(Duration hold) {
    return holds.OnSent(upstream, {{0, 9}, hold});
  }
};

TEST(HoldTracker, AnUpstreamIsFreeWhenItsLongestGrantHasExpired) {
  holds.OnAnswered(upstream, Send(seconds(10)), start);
  holds.OnAnswered(upstream, Send(seconds(4)), start + seconds(1));
  CHECK(holds.FreeAt(upstream) >= start + milliseconds(10250));
  CHECK(holds.FreeAt(upstream) <= start + milliseconds(10500));
}

// Guards against two owners: the hold of a grant that was on its way counted
// from its sending.
TEST(HoldTracker, AGrantOnItsWayHasNoEnd) {
  const SentGrantId sent = Send(seconds(4));
  CHECK(holds.FreeAt(upstream) == kForever);
  CHECK(holds.KnownUntil(upstream) == kNever);
  holds.OnAnswered(upstream, sent, start + seconds(60));
  CHECK(holds.KnownUntil(upstream) == holds.FreeAt(upstream));
  CHECK(holds.FreeAt(upstream) >= start + milliseconds(64080));
}

TEST(HoldTracker, AGrantWithoutAResponseCountsFromTheCloseOfItsConnection) {
  const SentGrantId sent = Send(seconds(4));
  holds.OnClosed(upstream, sent, start + seconds(60));
  CHECK(holds.FreeAt(upstream) >= start + milliseconds(64280));
  CHECK(holds.FreeAt(upstream) <= start + milliseconds(64400));
}

TEST(HoldTracker, AGrantThatDidNotLeaveDoesNotCount) {
  holds.OnUnsent(upstream, Send(seconds(4)));
  CHECK(holds.FreeAt(upstream) == kNever);
}

TEST(HoldTracker, AllOpenGrantsEndWhenTheirConnectionsAreClosed) {
  const SentGrantId first = Send(seconds(4));
  const SentGrantId second = holds.OnSent({"u2", 1}, {{10, 19}, seconds(4)});
  holds.OnAllClosed(start);
  CHECK(holds.FreeAt(upstream) >= start + milliseconds(4280));
  CHECK(holds.FreeAt({"u2", 1}) >= start + milliseconds(4280));
  // Late replies do not count.
  const MonotonicTime free_at = holds.FreeAt(upstream);
  holds.OnAnswered(upstream, first, start + seconds(9));
  holds.OnClosed({"u2", 1}, second, start + seconds(9));
  CHECK(holds.FreeAt(upstream) == free_at);
  CHECK(holds.FreeAt({"u2", 1}) == free_at);
}

TEST(HoldTracker, AnUnknownUpstreamIsFree) {
  CHECK(holds.FreeAt(upstream) == kNever);
}

TEST(HoldTracker, AfterATakeoverAnyUpstreamMayHoldKeys) {
  holds.AssumeHeld(start, seconds(10));
  CHECK(holds.FreeAt(upstream) >= start + milliseconds(11100));
  CHECK(holds.FreeAt(upstream) <= start + milliseconds(11200));
}

TEST(HoldTracker, AnEndedIncarnationHoldsNothing) {
  const SentGrantId sent = Send(seconds(10));
  holds.OnEnded(upstream);
  CHECK(holds.FreeAt(upstream) == kNever);
  CHECK(holds.FreeAt({"u1", 2}) == kNever);
  holds.OnAnswered(upstream, sent, start);
  CHECK(holds.FreeAt(upstream) == kNever);
}

TEST(HoldTracker, AfterAReleaseOnlyGrantsWithoutAReplyCount) {
  holds.OnAnswered(upstream, Send(seconds(4)), start);
  CHECK(holds.FreeAfterRelease(upstream) == kNever);
  holds.OnClosed(upstream, Send(seconds(4)), start);
  CHECK(holds.FreeAfterRelease(upstream) > start + seconds(4));
}

TEST(HoldTracker, AnUpstreamMayTakeTheKeysOfOpenGrants) {
  const SentGrantId sent = Send(seconds(4));
  CHECK(holds.MayTake(upstream, {9, 12}));
  CHECK_FALSE(holds.MayTake(upstream, {10, 12}));
  CHECK_FALSE(holds.MayTake({"u1", 2}, {9, 12}));
  holds.OnAnswered(upstream, sent, start);
  CHECK_FALSE(holds.MayTake(upstream, {9, 12}));
}

}  // namespace
}  // namespace mimosadeal
