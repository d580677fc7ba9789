// Runs callbacks after a delay or periodically. The clock is injected, so that
// tests control the time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "common/boot_clock.h"

namespace mimosadeal {

using TimerId = uint64_t;

inline constexpr TimerId kNoTimer = 0;

class TimerService {
 public:
  using Callback = std::function<void()>;

  using Clock = std::function<MonotonicTime()>;

  explicit TimerService(Clock clock) : clock_(std::move(clock)) {}

  MonotonicTime now() const { return clock_(); }

  // Runs `callback` once after `delay`.
  TimerId After(Duration delay, Callback callback);
  // Runs `callback` every `period` until cancelled. Missed runs are skipped.
  TimerId Every(Duration period, Callback callback);
  // Does nothing when the timer has already run or does not exist.
  void Cancel(TimerId id);

  // Runs all timers that are due, ordered by due time. A timer that a callback
  // adds is not run before the next call.
  void RunDue();
  // Returns when the next timer is due, or nullopt without timers.
  std::optional<MonotonicTime> NextDue() const;

 private:
  struct Timer {
    Duration period;  // Zero for a timer that runs once.
    Callback callback;
    MonotonicTime due;
  };
  using DueKey = std::pair<MonotonicTime, TimerId>;

  TimerId Add(MonotonicTime due, Duration period, Callback callback);

  Clock clock_;
  TimerId next_id_ = 1;
  // Invariant: due_ holds exactly one entry for each timer in timers_.
  std::map<DueKey, char> due_;
  std::unordered_map<TimerId, Timer> timers_;
};

}  // namespace mimosadeal
