#include "balance/hedge_decision.h"

#include <algorithm>

namespace mimosadeal {
namespace {

// A second try at an earlier quantile adds work and hardly cuts the slowest
// responses; a later one is known from too few samples.
constexpr double kMinQuantile = 0.9;
constexpr double kMaxQuantile = 0.99;
// A second try costs a connection and a round trip, so no response is late
// before this time.
constexpr Duration kMinDelay = std::chrono::milliseconds(20);
// An upstream that is slow itself answers a second request no sooner. A
// response is late for such an upstream after this many of its service times.
constexpr int kOwnServiceTimes = 3;
// How long a report of waiting requests excludes an upstream. The queues of
// busy upstreams take longer than a service time to become empty.
constexpr Duration kQueueReportAge = std::chrono::seconds(1);

bool HasFreeSlot(const UpstreamLoad& load, MonotonicTime now) {
  const bool queue_reported = load.reported_at != kNever &&
                              load.reported.waiting > 0 &&
                              now - load.reported_at < kQueueReportAge;
  return !queue_reported && ExpectedBacklog(load, now) + 1 <= load.slots;
}

}  // namespace

double LateQuantile(double share) {
  return std::clamp(1 - share, kMinQuantile, kMaxQuantile);
}

HedgePlan PlanHedge(const HedgePlanInput& input) {
  if (input.share <= 0) return {HedgeRefusal::kOff, {}};
  if (!input.repeatable) return {HedgeRefusal::kNotRepeatable, {}};
  if (!input.first_try) return {HedgeRefusal::kNotFirstTry, {}};
  if (input.relayed) return {HedgeRefusal::kRelayed, {}};
  if (input.suspect) return {HedgeRefusal::kSuspect, {}};
  if (input.stopping) return {HedgeRefusal::kStopping, {}};
  if (!input.late_after.has_value()) return {HedgeRefusal::kFewSamples, {}};
  Duration after = std::max(kMinDelay, *input.late_after);
  if (input.same_upstream)
    after = std::max(after, kOwnServiceTimes * input.upstream_service_time);
  return {HedgeRefusal::kNone, after};
}

HedgeRefusal DecideHedge(const HedgeInput& input, MonotonicTime now) {
  if (input.time_left < input.typical) return HedgeRefusal::kNoTime;
  if (input.service_short) return HedgeRefusal::kShort;
  if (!input.attempts_left) return HedgeRefusal::kAttempts;
  const HedgeTarget& target = input.target;
  if (!target.usable || target.cold || target.limited ||
      !HasFreeSlot(target.load, now)) {
    return HedgeRefusal::kNoRoom;
  }
  if (!input.share_left) return HedgeRefusal::kShare;
  if (!input.budget_left) return HedgeRefusal::kBudget;
  return HedgeRefusal::kNone;
}

}  // namespace mimosadeal
