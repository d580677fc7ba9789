// A monotonic clock that also counts while the host is suspended. Leases are
// timed with it, so that a host that resumes sees that its leases have expired.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace mimosadeal {

struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  // Returns the time since boot, including time in suspension (CLOCK_BOOTTIME,
  // clock_gettime(2)).
  static time_point now() noexcept {
    timespec spec{};
    clock_gettime(CLOCK_BOOTTIME, &spec);
    return time_point(std::chrono::seconds(spec.tv_sec) +
                      std::chrono::nanoseconds(spec.tv_nsec));
  }
};

using MonotonicTime = BootClock::time_point;
using Duration = BootClock::duration;

// Times before and after all others. They keep a distance from the ends of the
// range, so that differences to other times do not overflow.
inline constexpr MonotonicTime kNever =
    MonotonicTime(MonotonicTime::min().time_since_epoch() / 4);
inline constexpr MonotonicTime kForever =
    MonotonicTime(MonotonicTime::max().time_since_epoch() / 4);

inline int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

inline int64_t ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace mimosadeal
