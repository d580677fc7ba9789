#include "fleet/copy_confirmation.h"

#include "fleet/propagation.h"

namespace mimosadeal {
namespace {

// Shares of the bound on evacuations. A copy that is confirmed at intervals of
// a second, by a host that has to replace its connection or its feed, is never
// older than kMaxAgeShare of it.
constexpr double kMaxAgeShare = 0.8;
constexpr double kRecentShare = 0.4;
// For which the registry's copy must have been recent. After an outage of the
// store both copies are read again within this time.
constexpr double kRecentForShare = 0.4;

Duration ShareOf(Duration bound, double share) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(bound.count()) * share));
}

bool IsWithin(MonotonicTime at, MonotonicTime now, Duration limit) {
  return at != kNever && now - at <= limit;
}

}  // namespace

ConfirmationLimits EvacuationLimits(Duration bound) {
  return {ShareOf(bound, kMaxAgeShare), ShareOf(bound, kRecentShare),
          ShareOf(bound, kRecentForShare)};
}

ConfirmationLimits MakeConfirmationLimits(const PropagationTiming& timing,
                                          Duration bound) {
  const Duration longest = LongestConfirmationAge(timing);
  return {longest, longest, bound};
}

bool UpdateConfirmation(CopyConfirmation& confirmation, MonotonicTime now,
                        MonotonicTime copy_at, MonotonicTime others_at,
                        const ConfirmationLimits& limits) {
  if (!IsWithin(others_at, now, limits.others_age)) {
    confirmation.others_recent_since = kNever;
  } else if (confirmation.others_recent_since == kNever) {
    confirmation.others_recent_since = now;
  }
  const bool store_is_there =
      confirmation.others_recent_since != kNever &&
      !IsWithin(confirmation.others_recent_since, now, limits.others_for);
  const bool confirmed =
      !store_is_there || IsWithin(copy_at, now, limits.copy_age);
  const bool changed = confirmed != confirmation.confirmed;
  confirmation.confirmed = confirmed;
  return changed;
}

}  // namespace mimosadeal
