// Tests of how long changes take to reach all hosts, for each thing that may be
// lost on the way and for the bounds of the deployments in use.
#include "fleet/propagation.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

// Bounds of changes that deployments set.
constexpr std::array kBounds = {milliseconds(2000), milliseconds(2500),
                                milliseconds(3000)};
constexpr Duration kEvacuationBound = milliseconds(5000);
constexpr Duration kEvacuationWait = milliseconds(1000);
// Delays before the next watch: of evacuations, configurations, registrations,
// and of hosts that feed no others.
constexpr std::array kBatchDelays = {milliseconds(0), milliseconds(100),
                                     milliseconds(150), milliseconds(400)};

// Returns the losses with which a change takes longer than its bound.
std::vector<PropagationLoss> LateWith(const PropagationTiming& timing,
                                      Duration bound) {
  std::vector<PropagationLoss> late;
  for (const auto& [loss, name] : kPropagationLossNames) {
    if (LongestPropagation(timing, loss) > bound) late.push_back(loss);
  }
  return late;
}

bool IsLateOnlyWith(const PropagationTiming& timing, Duration bound,
                    PropagationLoss loss) {
  return LateWith(timing, bound) == std::vector<PropagationLoss>{loss};
}

TEST_GROUP(Propagation){};

TEST(Propagation, ChangesKeepTheirBoundWhateverIsLost) {
  for (const Duration bound : kBounds) {
    for (const Duration batch_delay : kBatchDelays) {
      const PropagationTiming timing =
          MakePropagationTiming(bound, batch_delay);
      for (const auto& [loss, name] : kPropagationLossNames) {
        const Duration longest = LongestPropagation(timing, loss);
        CHECK_TEXT(longest <= bound,
                   (std::string(name) + ": " +
                    std::to_string(ToMilliseconds(longest)) + " ms of " +
                    std::to_string(ToMilliseconds(bound)))
                       .c_str());
      }
    }
  }
}

TEST(Propagation, TablesKeepTheBoundWhateverIsLost) {
  for (const Duration bound : kBounds)
    CHECK(LateWith(MakeAnnouncedTiming(bound, kAnnouncedBatchDelay), bound)
              .empty());
}

TEST(Propagation, EvacuationsKeepTheirBoundWhateverIsLost) {
  PropagationTiming timing =
      MakePropagationTiming(kEvacuationBound, Duration::zero());
  CHECK(timing.watch_wait >= kEvacuationWait);
  CHECK(LateWith(timing, kEvacuationBound).empty());
  timing.watch_wait = kEvacuationWait;
  CHECK(LateWith(timing, kEvacuationBound).empty());
}

// Guards against the wait of watches that knew no bound: a lost one was noticed
// after 2.8 s.
TEST(Propagation, AWaitThatDoesNotFollowTheBoundIsLate) {
  for (const Duration bound : kBounds) {
    PropagationTiming timing = MakePropagationTiming(bound, milliseconds(150));
    timing.watch_wait = milliseconds(2200);
    timing.response_slack = milliseconds(600);
    CHECK(IsLateOnlyWith(timing, bound, PropagationLoss::kWatch));
  }
}

// The wait that fits the longest of the bounds.
TEST(Propagation, AWaitThatFollowsAnotherBoundIsLate) {
  PropagationTiming timing =
      MakePropagationTiming(milliseconds(2000), milliseconds(150));
  timing.watch_wait =
      MakePropagationTiming(milliseconds(3000), milliseconds(150)).watch_wait;
  CHECK(IsLateOnlyWith(timing, milliseconds(2000), PropagationLoss::kWatch));
}

TEST(Propagation, UpdatesThatAreSentAgainLateAreLate) {
  for (const Duration bound : kBounds) {
    PropagationTiming timing = MakePropagationTiming(bound, milliseconds(150));
    timing.resend_after = milliseconds(2400);
    CHECK(IsLateOnlyWith(timing, bound, PropagationLoss::kUpdate));
  }
}

TEST(Propagation, AFeedThatTimesOutLateIsLate) {
  for (const Duration bound : kBounds) {
    PropagationTiming timing = MakePropagationTiming(bound, milliseconds(150));
    timing.feed_timeout = milliseconds(2700);
    CHECK(IsLateOnlyWith(timing, bound, PropagationLoss::kHolder));
  }
}

// A copy that is confirmed as often as possible must not look old.
TEST(Propagation, CopiesAreConfirmedMoreOftenThanTheBound) {
  for (const Duration bound : kBounds) {
    CHECK(LongestConfirmationAge(MakePropagationTiming(
              bound, Duration::zero())) <= bound * 95 / 100);
  }
}

TEST(Propagation, TheLongestTimeIsThatOfTheWorstLoss) {
  const PropagationTiming timing =
      MakePropagationTiming(milliseconds(2000), Duration::zero());
  CHECK(LongestPropagation(timing) ==
        LongestPropagation(timing, PropagationLoss::kWatch));
}

}  // namespace
}  // namespace mimosadeal
