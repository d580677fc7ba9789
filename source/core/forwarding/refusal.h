// Refusals: final responses to callers that this host creates itself, each with
// its reason.
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
  // The request was not run and will not be:
  kNoConfiguration,
  // No route in this host's configuration, which may be outdated.
  kRouteUnconfirmed,
  kNoOwner,      // The key has no reachable owner.
  kNoUpstream,   // The service has no reachable upstream.
  kOverloaded,   // The request could not be served in time.
  kNotExecuted,  // The upstream rejected the request without running it.
  kResting,      // All eligible upstreams asked for no requests for some time.
  kZoneEvacuated,  // Only upstreams of evacuated zones could run it.
  kLimited,        // The upstream's limit leaves no room for the request.
  kSuspect,        // The request is suspected to crash upstreams.
  kStopping,
  kOutOfRoom,  // This host has no room for its body.
  // The request is invalid:
  kNoRoute,
  kMalformed,
  // The request may have run:
  kTimeout,
  kLostAnswer,  // The request was sent, but its response was lost.
};

inline constexpr EnumNames<RefusalReason, 17> kRefusalReasonNames = {{
    {RefusalReason::kNone, "none"},
    {RefusalReason::kNoConfiguration, "no-configuration"},
    {RefusalReason::kRouteUnconfirmed, "route-unconfirmed"},
    {RefusalReason::kNoOwner, "no-owner"},
    {RefusalReason::kNoUpstream, "no-upstream"},
    {RefusalReason::kOverloaded, "overloaded"},
    {RefusalReason::kNotExecuted, "not-executed"},
    {RefusalReason::kResting, "resting"},
    {RefusalReason::kZoneEvacuated, "zone-evacuated"},
    {RefusalReason::kLimited, "limited"},
    {RefusalReason::kSuspect, "suspect"},
    {RefusalReason::kStopping, "stopping"},
    {RefusalReason::kOutOfRoom, "out-of-room"},
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
