// Tests of zone leases, and of HoldTracker, which bounds the times for which
// grants are in force.
#include "ranges/zone_lease.h"

#include <CppUTest/TestHarness.h>

#include "ranges/hold_tracker.h"
#include "store/store_revision.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ZoneLeaseTiming kTiming = {milliseconds(700), milliseconds(2000),
                                     milliseconds(200), 0.02};

TEST_GROUP(ZoneLease) { MonotonicTime start{seconds(50)}; };

// Guards against two lease holders at a time. The holder counts from before it
// sent its renewal, and another host from after it read the renewal, so their
// times must not overlap at any network delay.
TEST(ZoneLease, ARivalNeverSucceedsBeforeTheHolderHasStopped) {
  for (int delay_ms = 0; delay_ms <= 3000; delay_ms += 50) {
    const MonotonicTime sent = start;
    const MonotonicTime read = start + milliseconds(delay_ms);
    LeaseObservation observation;
    ObserveLease(observation, 5, read);
    for (int ms = 0; ms <= 8000; ms += 10) {
      const MonotonicTime now = start + milliseconds(ms);
      CHECK_FALSE(LeaseHeld(sent, kTiming, now) &&
                  LeaseExpired(observation, kTiming, now));
    }
  }
}

TEST(ZoneLease, AnObservedRenewalRestartsTheWait) {
  LeaseObservation observation;
  ObserveLease(observation, 5, start);
  ObserveLease(observation, 6, start + seconds(2));
  CHECK_FALSE(LeaseExpired(observation, kTiming, start + seconds(3)));
  CHECK(LeaseExpired(observation, kTiming, start + seconds(5)));
}

TEST(ZoneLease, ReadingTheSameRevisionAgainDoesNotRestartTheWait) {
  LeaseObservation observation;
  ObserveLease(observation, 5, start);
  ObserveLease(observation, 5, start + seconds(2));
  CHECK(LeaseExpired(observation, kTiming, start + milliseconds(2300)));
}

TEST(ZoneLease, DecodesWhatItEncodes) {
  ZoneLease lease;
  lease.zone = "north";
  lease.holder = "h1";
  lease.process = "h1.ab";
  lease.address = "127.0.0.1:1";
  lease.term = 3;
  lease.renewals = 9;
  const auto read = DecodeZoneLease("north", 12, EncodeZoneLease(lease));
  CHECK(read.has_value());
  STRCMP_EQUAL("h1.ab", read.value().process.c_str());
  LONGS_EQUAL(12, read.value().revision);
  CHECK_FALSE(DecodeZoneLease("north", 1, {{"holder", 3}}).has_value());
}

TEST(ZoneLease, IsTheLatestOnlyInTheEraInWhichItWasWritten) {
  ZoneLease lease;
  const uint64_t revision = MakeStoreRevision(2, 12);
  auto read = DecodeZoneLease("north", revision, EncodeZoneLease(lease));
  CHECK_FALSE(IsLatestLease(read.value()));  // A former build's.
  lease.era = 1;
  read = DecodeZoneLease("north", revision, EncodeZoneLease(lease));
  CHECK_FALSE(IsLatestLease(read.value()));
  lease.era = 2;
  read = DecodeZoneLease("north", revision, EncodeZoneLease(lease));
  CHECK(IsLatestLease(read.value()));
}

TEST_GROUP(HoldTracker) {
  HoldTracker holds{0.025, milliseconds(200)};
  MonotonicTime start{seconds(50)};
  UpstreamIncarnation upstream{"u1", 1};
};

TEST(HoldTracker, AnUpstreamIsFreeWhenItsLongestGrantHasExpired) {
  holds.OnSent(upstream, start, seconds(10));
  holds.OnSent(upstream, start + seconds(1), seconds(4));
  CHECK(holds.FreeAt(upstream) >= start + milliseconds(10250));
  CHECK(holds.FreeAt(upstream) <= start + milliseconds(10500));
}

TEST(HoldTracker, AnUnknownUpstreamIsFree) {
  CHECK(holds.FreeAt(upstream) == kNever);
}

TEST(HoldTracker, AfterATakeoverAnyUpstreamMayHoldKeys) {
  holds.AssumeHeld(start, seconds(10));
  CHECK(holds.FreeAt(upstream) > start + seconds(10));
}

TEST(HoldTracker, AnEndedIncarnationHoldsNothing) {
  holds.OnSent(upstream, start, seconds(10));
  holds.OnEnded(upstream);
  CHECK(holds.FreeAt(upstream) == kNever);
  CHECK(holds.FreeAt({"u1", 2}) == kNever);
}

TEST(HoldTracker, AfterAReleaseOnlyGrantsWithoutAReplyCount) {
  holds.OnSent(upstream, start, seconds(4));
  CHECK(holds.FreeAfterRelease(upstream) == kNever);
  holds.OnUnanswered(upstream, start, seconds(4));
  CHECK(holds.FreeAfterRelease(upstream) > start + seconds(4));
}

// Guards against a slow host that takes the lease only because it started
// first. The values are those of known classes of hosts.
TEST(ZoneLease, FastHostsTakeOverFirst) {
  const Duration longest = milliseconds(800);
  CHECK(Duration::zero() == TakeoverDelay(0.5, 200, longest));
  CHECK(TakeoverDelay(0.14, 700, longest) > milliseconds(500));
  CHECK(TakeoverDelay(0.07, 10, longest) > TakeoverDelay(0.14, 700, longest));
  CHECK(TakeoverDelay(0.5, 10, longest) > milliseconds(700));
  CHECK(TakeoverDelay(0, 0, longest) == longest);
}

}  // namespace
}  // namespace mimosadeal
