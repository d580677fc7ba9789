// Tests of the timer service, with a clock controlled by the test.
#include "common/timer_service.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(TimerService) {
  MonotonicTime now{};
  TimerService timers{[this] { return now; }};
  std::vector<int> ran;

  void Advance(Duration by) {
    now += by;
    timers.RunDue();
  }
};

TEST(TimerService, RunsTimersInOrderOfDueTime) {
  timers.After(milliseconds(20), [this] { ran.push_back(2); });
  timers.After(milliseconds(10), [this] { ran.push_back(1); });
  Advance(milliseconds(30));
  LONGS_EQUAL(2, ran.size());
  LONGS_EQUAL(1, ran[0]);
  LONGS_EQUAL(2, ran[1]);
}

TEST(TimerService, APeriodicTimerSkipsMissedRuns) {
  timers.Every(milliseconds(10), [this] { ran.push_back(0); });
  Advance(milliseconds(35));
  LONGS_EQUAL(1, ran.size());
  Advance(milliseconds(10));
  LONGS_EQUAL(2, ran.size());
}

TEST(TimerService, ACancelledTimerDoesNotRun) {
  const TimerId id =
      timers.After(milliseconds(10), [this] { ran.push_back(0); });
  timers.Cancel(id);
  Advance(milliseconds(20));
  LONGS_EQUAL(0, ran.size());
  CHECK_FALSE(timers.NextDue().has_value());
}

TEST(TimerService, ATimerCanCancelAnotherThatIsDueAtTheSameTime) {
  TimerId second = kNoTimer;
  timers.After(milliseconds(10), [&] { timers.Cancel(second); });
  second = timers.After(milliseconds(10), [this] { ran.push_back(0); });
  Advance(milliseconds(20));
  LONGS_EQUAL(0, ran.size());
}

TEST(TimerService, ATimerAddedByACallbackRunsInTheNextCall) {
  timers.After(Duration::zero(), [this] {
    timers.After(Duration::zero(), [this] { ran.push_back(0); });
  });
  Advance(milliseconds(1));
  LONGS_EQUAL(0, ran.size());
  Advance(Duration::zero());
  LONGS_EQUAL(1, ran.size());
}

}  // namespace
}  // namespace mimosadeal
