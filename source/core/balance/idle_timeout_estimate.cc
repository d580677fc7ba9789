#include "balance/idle_timeout_estimate.h"

#include <algorithm>

namespace mimosadeal {
namespace {

// Divisor of the shortest idle time after which a connection was reset. Hosts
// rarely reuse connections, so each reset has to lower the estimate a lot.
constexpr int kResetIdleTimeDivisor = 4;
// Upstreams that drop idle connections early do so for some tens of seconds.
constexpr Duration kResetRetention = std::chrono::seconds(30);

bool HasRecentReset(const IdleTimeoutEstimate& estimate, MonotonicTime now) {
  return estimate.last_reset_at != kNever &&
         now - estimate.last_reset_at < kResetRetention;
}

}  // namespace

void OnIdleConnectionReset(IdleTimeoutEstimate& estimate, Duration idle_time,
                           MonotonicTime now) {
  estimate.shortest_idle_time =
      HasRecentReset(estimate, now)
          ? std::min(estimate.shortest_idle_time, idle_time)
          : idle_time;
  estimate.last_reset_at = now;
}

Duration ReusableIdleTime(const IdleTimeoutEstimate& estimate,
                          Duration announced, MonotonicTime now) {
  if (!HasRecentReset(estimate, now)) return announced;
  return std::min(announced,
                  estimate.shortest_idle_time / kResetIdleTimeDivisor);
}

}  // namespace mimosadeal
