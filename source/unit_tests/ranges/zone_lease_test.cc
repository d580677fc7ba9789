// Tests of zone leases.
#include "ranges/zone_lease.h"

#include <CppUTest/TestHarness.h>

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
