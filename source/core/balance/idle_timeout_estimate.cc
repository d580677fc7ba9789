#include "balance/idle_timeout_estimate.h"

#include <algorithm>

namespace mimosadeal {
namespace {

// Of the shortest rest after which a connection was lost. Few hosts reuse a
// connection often, so that each loss should teach as much as it can.
constexpr int kTrustedPart = 4;
// Upstreams that forget connections do so for some tens of seconds.
constexpr Duration kRememberLoss = std::chrono::seconds(30);

bool Remembers(const IdleTimeoutEstimate& trust, MonotonicTime now) {
  return trust.lost_at != kNever && now - trust.lost_at < kRememberLoss;
}

}  // namespace

void OnIdleConnectionReset(IdleTimeoutEstimate& trust, Duration rested,
                           MonotonicTime now) {
  trust.shortest_lost =
      Remembers(trust, now) ? std::min(trust.shortest_lost, rested) : rested;
  trust.lost_at = now;
}

Duration ReusableIdleTime(const IdleTimeoutEstimate& trust, Duration announced,
                          MonotonicTime now) {
  if (!Remembers(trust, now)) return announced;
  return std::min(announced, trust.shortest_lost / kTrustedPart);
}

}  // namespace mimosadeal
