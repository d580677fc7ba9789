// Tests of whether a host acts on a copy that may be outdated, for copies whose
// timing follows from the bound of their changes.
#include "fleet/copy_confirmation.h"

#include <CppUTest/TestHarness.h>

#include "fleet/propagation.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array kBounds = {milliseconds(2000), milliseconds(2500),
                                milliseconds(3000)};
constexpr Duration kStep = milliseconds(10);

// Two copies, each of which the store confirms when its watch ends.
struct Copies {
  Duration bound{};
  PropagationTiming timing;
  CopyConfirmation confirmation;
  MonotonicTime now{seconds(100)};
  MonotonicTime copy_at = now;
  MonotonicTime others_at = now;
  Duration unconfirmed{};  // For which the copy was not acted on.

  explicit Copies(Duration the_bound)
      : bound(the_bound),
        timing(MakePropagationTiming(the_bound, Duration::zero())) {}

  // Runs for `time`. A copy is confirmed `delay` after its watch has waited for
  // its time; the confirmation is as old as the delay. Zero: never.
  void RunFor(Duration time, Duration copy_delay, Duration others_delay) {
    const MonotonicTime end = now + time;
    for (; now < end; now += kStep) {
      Confirm(copy_at, copy_delay);
      Confirm(others_at, others_delay);
      UpdateConfirmation(confirmation, now, copy_at, others_at,
                         MakeConfirmationLimits(timing, bound));
      if (!confirmation.confirmed) unconfirmed += kStep;
    }
  }

 private:
  void Confirm(MonotonicTime& at, Duration delay) const {
    if (delay > Duration::zero() && now - at >= timing.watch_wait + 2 * delay)
      at = now - delay;
  }
};

constexpr Duration kCalm = milliseconds(10);
constexpr Duration kLost{};

TEST_GROUP(PropagatedCopy){};

TEST(PropagatedCopy, IsActedOnWhileAllIsWell) {
  for (const Duration bound : kBounds) {
    Copies copies(bound);
    copies.RunFor(seconds(30), kCalm, kCalm);
    CHECK(copies.unconfirmed == Duration::zero());
  }
}

TEST(PropagatedCopy, IsNotActedOnForLongerThanItsBoundIfOthersAreConfirmed) {
  for (const Duration bound : kBounds) {
    Copies copies(bound);
    copies.RunFor(seconds(5), kCalm, kCalm);
    const MonotonicTime confirmed_at = copies.copy_at;
    while (copies.confirmation.confirmed &&
           copies.now < confirmed_at + seconds(10))
      copies.RunFor(kStep, kLost, kCalm);
    CHECK(copies.now - confirmed_at <= bound);
    copies.RunFor(seconds(5), kCalm, kCalm);
    CHECK(copies.confirmation.confirmed);
  }
}

TEST(PropagatedCopy, IsActedOnWhileTheStoreIsAway) {
  for (const Duration bound : kBounds) {
    Copies copies(bound);
    copies.RunFor(seconds(5), kCalm, kCalm);
    copies.RunFor(seconds(60), kLost, kLost);
    // The other copies are read first after the outage.
    copies.others_at = copies.now;
    copies.RunFor(milliseconds(1500), kLost, kCalm);
    CHECK(copies.unconfirmed == Duration::zero());
  }
}

// The copies are confirmed in turn, each long after its call.
TEST(PropagatedCopy, IsActedOnWhileTheStoreRespondsSlowly) {
  for (const Duration bound : kBounds) {
    for (int delay_ms = 50; delay_ms <= 1000; delay_ms += 50) {
      Copies copies(bound);
      copies.others_at -= copies.timing.watch_wait / 2;
      copies.RunFor(seconds(30), milliseconds(delay_ms),
                    milliseconds(delay_ms));
      CHECK_TEXT(copies.unconfirmed == Duration::zero(),
                 ("delay " + std::to_string(delay_ms)).c_str());
    }
  }
}

}  // namespace
}  // namespace mimosadeal
