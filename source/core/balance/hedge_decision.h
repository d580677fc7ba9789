// Decides whether and when a request gets a second try because the response to
// its first one is late (hedging). The decision is made in two steps: a plan
// when the first try is sent, and a decision when the response is late.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "balance/upstream_load.h"
#include "common/boot_clock.h"
#include "common/enum_names.h"

namespace mimosadeal {

enum class HedgeRefusal : uint8_t {
  kNone,           // The second try may be sent.
  kOff,            // The operator allows no second tries.
  kNotRepeatable,  // The request may run only once.
  kNotFirstTry,    // Its first try failed, or it had its second one.
  kRelayed,        // Another host sends it.
  kSuspect,        // It was in flight at an upstream that crashed.
  kStopping,
  kFewSamples,  // Too few responses of the route are known.
  kNoTime,      // A second try would probably end after the caller's time.
  kShort,       // The service has too little room for its requests.
  kAttempts,    // The route allows no further upstream.
  kNoRoom,      // No upstream is known to have a free slot.
  kShare,       // The operator's limit is reached.
  kBudget,      // The remaining retries are kept for failed requests.
};

inline constexpr EnumNames<HedgeRefusal, 14> kHedgeRefusalNames = {{
    {HedgeRefusal::kNone, "none"},
    {HedgeRefusal::kOff, "off"},
    {HedgeRefusal::kNotRepeatable, "not-repeatable"},
    {HedgeRefusal::kNotFirstTry, "not-first-try"},
    {HedgeRefusal::kRelayed, "relayed"},
    {HedgeRefusal::kSuspect, "suspect"},
    {HedgeRefusal::kStopping, "stopping"},
    {HedgeRefusal::kFewSamples, "few-samples"},
    {HedgeRefusal::kNoTime, "no-time"},
    {HedgeRefusal::kShort, "short"},
    {HedgeRefusal::kAttempts, "attempts"},
    {HedgeRefusal::kNoRoom, "no-room"},
    {HedgeRefusal::kShare, "share"},
    {HedgeRefusal::kBudget, "budget"},
}};

// Of a request whose first try is being sent.
struct HedgePlanInput {
  double share = 0;  // Operator's limit, as a fraction of requests.
  bool repeatable = false;
  bool first_try = true;
  bool relayed = false;
  bool suspect = false;
  bool stopping = false;
  // Response time of the route beyond which a response is late, see
  // LateQuantile; nullopt if unknown.
  std::optional<Duration> late_after;
  // Whether the second try would go to the upstream of the first one, and that
  // upstream's own mean service time, zero if unknown.
  bool same_upstream = false;
  Duration upstream_service_time{};
};

struct HedgePlan {
  HedgeRefusal refusal = HedgeRefusal::kNone;
  Duration after{};  // Since the first try; only without a refusal.
};

// What this host knows about the upstream of the second try.
struct HedgeTarget {
  bool usable = false;   // Connectable, not resting and not leaving.
  bool cold = false;     // Started recently.
  bool limited = false;  // Takes a limited number of requests per second.
  UpstreamLoad load;
};

// Of a request whose response is late.
struct HedgeInput {
  Duration time_left{};  // Until the caller or the route gives up.
  // Median response time of the route.
  Duration typical{};
  bool service_short = false;
  bool attempts_left = false;
  HedgeTarget target;
  bool share_left = false;
  bool budget_left = false;
};

// Returns the quantile of response times beyond which a response is late. The
// share that the operator allows goes to the slowest responses.
double LateQuantile(double share);

HedgePlan PlanHedge(const HedgePlanInput& input);
HedgeRefusal DecideHedge(const HedgeInput& input, MonotonicTime now);

}  // namespace mimosadeal
