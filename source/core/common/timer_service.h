// The timer service that parts subscribe to. Its clock is given, so that tests
// can set the time.
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
  // Runs `callback` every `period` until cancelled. A late round is not made up
  // for.
  TimerId Every(Duration period, Callback callback);
  // Does nothing when the timer has run or never existed.
  void Cancel(TimerId id);

  // Runs every timer that is due, in order of due time.
  void RunDue();
  std::optional<MonotonicTime> NextDue() const;

 private:
  struct Timer {
    Duration period;  // Zero for a timer that runs once.
    Callback callback;
    MonotonicTime due;
  };
  using Order = std::pair<MonotonicTime, TimerId>;

  TimerId Add(MonotonicTime due, Duration period, Callback callback);

  Clock clock_;
  TimerId next_id_ = 1;
  // Invariant: due_ holds exactly one entry for each timer in timers_.
  std::map<Order, char> due_;
  std::unordered_map<TimerId, Timer> timers_;
};

}  // namespace mimosadeal
