#include "balance/cold_upstream.h"

#include <algorithm>

#include "fleet/upstream_directory.h"
#include "routing/route_table.h"

namespace mimosadeal {
namespace {

// Worst second, in requests, while permits are given at a rate of r and a
// former giver goes on with half of it: what the former has saved, and r and a
// half for the second and the half in which a permit is valid.
constexpr double kSavedPermits = 2;
constexpr double kWorstSeconds = 2.25;
// Least rate, as PermitQueue gives permits at no lower one.
constexpr double kMinColdRate = 0.25;
// A lost upstream is tried again this soon while callers want it, and hosts may
// learn of its return that much later than of their last refusal.
constexpr Duration kRetryGap = std::chrono::seconds(1);

}  // namespace

std::optional<double> ColdRate(const ServiceConfig& service,
                               const ColdBound& bound) {
  const double stated = service.warmup_requests_per_second;
  if (!(bound.ratio > 0) || !(stated > 0)) return std::nullopt;
  const double allowed = stated * bound.ratio + bound.allowance;
  return std::clamp((allowed - kSavedPermits) / kWorstSeconds,
                    std::min(kMinColdRate, stated), stated);
}

Duration AssumedColdTime(const ServiceConfig& service) {
  return service.warmup_time + kRetryGap;
}

std::optional<double> RateLimit(const ListedUpstream& upstream,
                                const ServiceConfig* service,
                                const ColdBound& bound, MonotonicTime at) {
  const std::optional<double>& stated = upstream.limit.per_second;
  if (service == nullptr || ColdUntil(upstream.cold) <= at) return stated;
  const std::optional<double> cold = ColdRate(*service, bound);
  if (!cold.has_value() || !stated.has_value())
    return cold.has_value() ? cold : stated;
  return std::min(*cold, *stated);
}

}  // namespace mimosadeal
