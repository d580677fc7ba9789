#include "fleet/copy_confirmation.h"

namespace mimosadeal {
namespace {

// Shares of the bound. A copy that is confirmed at intervals of a second, by a
// host that has to replace its connection or its feed, is never older than
// kMaxAgeShare of it.
constexpr double kMaxAgeShare = 0.8;
constexpr double kRecentShare = 0.4;
// For which the registry's copy must have been recent. After an outage of the
// store both copies are read again within this time.
constexpr double kRecentForShare = 0.4;

bool IsWithin(MonotonicTime at, MonotonicTime now, Duration bound,
              double share) {
  return at != kNever && ToSeconds(now - at) <= ToSeconds(bound) * share;
}

}  // namespace

bool UpdateConfirmation(CopyConfirmation& confirmation, MonotonicTime now,
                        MonotonicTime registry_current_at,
                        MonotonicTime evacuations_current_at, Duration bound) {
  if (!IsWithin(registry_current_at, now, bound, kRecentShare)) {
    confirmation.registry_recent_since = kNever;
  } else if (confirmation.registry_recent_since == kNever) {
    confirmation.registry_recent_since = now;
  }
  const bool store_is_there = confirmation.registry_recent_since != kNever &&
                              !IsWithin(confirmation.registry_recent_since, now,
                                        bound, kRecentForShare);
  const bool confirmed = !store_is_there || IsWithin(evacuations_current_at,
                                                     now, bound, kMaxAgeShare);
  const bool changed = confirmed != confirmation.confirmed;
  confirmation.confirmed = confirmed;
  return changed;
}

}  // namespace mimosadeal
