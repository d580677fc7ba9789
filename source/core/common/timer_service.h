// The timer service that parts subscribe to. It holds no clock of its own: the event loop, or a
// test, tells it the time, so that the same code runs in real and in simulated time.
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

  explicit TimerService(MonotonicTime now) : now_(now) {}

  // The time that the current round of callbacks runs at.
  MonotonicTime now() const { return now_; }
  // Moves the time forward without running timers.
  void SetNow(MonotonicTime now);

  // Runs `callback` once after `delay`.
  TimerId After(Duration delay, Callback callback);
  // Runs `callback` every `period` until cancelled. A late round is not made up for.
  TimerId Every(Duration period, Callback callback);
  // Does nothing when the timer has run or never existed.
  void Cancel(TimerId id);

  // Runs every timer that is due at `now`, in order of due time.
  void RunDue(MonotonicTime now);
  std::optional<MonotonicTime> NextDue() const;

 private:
  struct Timer {
    Duration period;  // Zero for a timer that runs once.
    Callback callback;
    MonotonicTime due;
  };
  using Order = std::pair<MonotonicTime, TimerId>;

  TimerId Add(MonotonicTime due, Duration period, Callback callback);

  MonotonicTime now_;
  TimerId next_id_ = 1;
  // Invariant: due_ holds exactly one entry for each timer in timers_.
  std::map<Order, char> due_;
  std::unordered_map<TimerId, Timer> timers_;
};

}  // namespace mimosadeal
