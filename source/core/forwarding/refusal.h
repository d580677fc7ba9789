// Final answers that this host gives itself, each with its reason.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/boot_clock.h"
#include "common/enum_names.h"

namespace mimosadeal {

enum class RefusalReason : uint8_t {
  kNone,
  // Not run, and never will be:
  kNoConfiguration,
  // No route as far as this host knows, whose configuration may be outdated.
  kRouteUnconfirmed,
  kNoOwner,      // The key has no owner that can be reached.
  kNoUpstream,   // The service has no upstream that can be reached.
  kOverloaded,   // It could not be served in time.
  kNotExecuted,  // The upstream turned it away.
  kResting,      // All that could serve it want no requests for a time.
  kSuspect,      // It crashed the upstreams that ran it.
  kStopping,
  // Wrong in itself:
  kNoRoute,
  kMalformed,
  // Possibly run:
  kTimeout,
  kLostAnswer,
};

inline constexpr EnumNames<RefusalReason, 14> kRefusalReasonNames = {{
    {RefusalReason::kNone, "none"},
    {RefusalReason::kNoConfiguration, "no-configuration"},
    {RefusalReason::kRouteUnconfirmed, "route-unconfirmed"},
    {RefusalReason::kNoOwner, "no-owner"},
    {RefusalReason::kNoUpstream, "no-upstream"},
    {RefusalReason::kOverloaded, "overloaded"},
    {RefusalReason::kNotExecuted, "not-executed"},
    {RefusalReason::kResting, "resting"},
    {RefusalReason::kSuspect, "suspect"},
    {RefusalReason::kStopping, "stopping"},
    {RefusalReason::kNoRoute, "no-route"},
    {RefusalReason::kMalformed, "malformed"},
    {RefusalReason::kTimeout, "timeout"},
    {RefusalReason::kLostAnswer, "lost-answer"},
}};

struct Refusal {
  RefusalReason reason = RefusalReason::kNone;
  std::string request_id;
  std::optional<Duration> retry_after;
};

}  // namespace mimosadeal
