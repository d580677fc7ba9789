// Tests of what a host knows about evacuated zones, and of whether its copy is
// recent enough.
#include "fleet/zone_evacuations.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kBound = seconds(5);

TEST_GROUP(ZoneEvacuations) {
  ZoneEvacuations evacuations{kBound};
  MonotonicTime now{seconds(100)};

  // Returns the zones that end when `time` has passed.
  std::vector<std::string> AdvanceBy(Duration time) {
    std::vector<std::string> ended;
    now += time;
    evacuations.Advance(
        now, [&ended](const std::string& zone) { ended.push_back(zone); });
    return ended;
  }
};

TEST(ZoneEvacuations, AnOwnerIsUsedForAPartOfTheBoundFromTheEarliestRequest) {
  CHECK(evacuations.Begin("north", now, now - seconds(1)));
  const MonotonicTime until =
      UsableUntil(*evacuations.Find("north"), evacuations.bound());
  CHECK(until > now);
  // Leaves a second or more for a request that is on its way.
  CHECK(until <= now - seconds(1) + kBound - seconds(1));
}

// A host that does not know when the zone was evacuated may be late already.
TEST(ZoneEvacuations, AnOwnerGetsNothingIfTheTimeOfTheRequestIsUnknown) {
  evacuations.Begin("north", now, kNever);
  CHECK(UsableUntil(*evacuations.Find("north"), evacuations.bound()) == kNever);
}

TEST(ZoneEvacuations, AnEntryThatIsWrittenAgainBeginsNothingAnew) {
  evacuations.Begin("north", now, now);
  CHECK_FALSE(evacuations.Begin("north", now + seconds(2), now + seconds(2)));
  CHECK(evacuations.Find("north")->requested_after == now);
}

TEST(ZoneEvacuations, AnEntryThatTheOperatorRemovesEndsAtOnce) {
  evacuations.Begin("north", now, now);
  CHECK(evacuations.End("north", now, false));
  CHECK(evacuations.Find("north") == nullptr);
  CHECK_FALSE(evacuations.End("north", now, false));
}

TEST(ZoneEvacuations, AnEntryThatARestoreLostStaysInForceUntilItIsRewritten) {
  evacuations.Begin("north", now, now);
  CHECK_FALSE(evacuations.End("north", now, true));
  LONGS_EQUAL(0, AdvanceBy(seconds(3)).size());
  CHECK(evacuations.Find("north") != nullptr);
  CHECK_FALSE(evacuations.Begin("north", now, now));
  LONGS_EQUAL(0, AdvanceBy(seconds(60)).size());
  CHECK(evacuations.Find("north") != nullptr);
}

TEST(ZoneEvacuations, AnEntryThatARestoreLostEndsIfNobodyRewritesIt) {
  evacuations.Begin("north", now, now);
  evacuations.End("north", now, true);
  LONGS_EQUAL(1, AdvanceBy(seconds(6)).size());
  CHECK(evacuations.Find("north") == nullptr);
}

TEST_GROUP(CopyConfirmation) {
  CopyConfirmation confirmation;
  MonotonicTime now{seconds(100)};
  MonotonicTime registry = now;
  MonotonicTime evacuations = now;

  // Runs for `time`, in which the copies are confirmed as given.
  void RunFor(Duration time, bool registry_confirmed,
              bool evacuations_confirmed) {
    const MonotonicTime end = now + time;
    while (now < end) {
      now += milliseconds(250);
      if (registry_confirmed) registry = now;
      if (evacuations_confirmed) evacuations = now;
      UpdateConfirmation(confirmation, now, evacuations, registry,
                         EvacuationLimits(kBound));
    }
  }
};

TEST(CopyConfirmation, AnOutageOfTheStoreEndsNoService) {
  RunFor(seconds(5), true, true);
  RunFor(seconds(60), false, false);
  CHECK(confirmation.confirmed);
  // The registry is read first after the outage.
  RunFor(milliseconds(1500), true, false);
  CHECK(confirmation.confirmed);
  RunFor(seconds(5), true, true);
  CHECK(confirmation.confirmed);
}

TEST(CopyConfirmation, AHostThatReadsAllButTheEvacuationsSendsNothing) {
  RunFor(seconds(5), true, true);
  RunFor(seconds(3), true, false);
  CHECK(confirmation.confirmed);
  RunFor(seconds(2), true, false);
  CHECK_FALSE(confirmation.confirmed);
  RunFor(milliseconds(250), true, true);
  CHECK(confirmation.confirmed);
}

// The holder's last confirmation is a second old, 0.9 s pass until its silence
// shows, and the first watch of this host's own waits for a second.
TEST(CopyConfirmation, TheLossOfTheHostThatFeedsThisOneEndsNoService) {
  RunFor(seconds(5), true, true);
  evacuations -= seconds(1);
  RunFor(milliseconds(900), false, false);
  RunFor(milliseconds(1250), true, false);
  CHECK(confirmation.confirmed);
  RunFor(seconds(5), true, true);
  CHECK(confirmation.confirmed);
}

}  // namespace
}  // namespace mimosadeal
