#include "routing/no_route.h"

namespace mimosadeal {
namespace {

// Of the bound; the rest is left for the request's way and this host's delay.
constexpr double kOldestShare = 0.75;

}  // namespace

bool MayReportNoRoute(MonotonicTime configuration_current_at,
                      Duration apply_bound, MonotonicTime now) {
  const auto oldest = Duration(static_cast<int64_t>(
      static_cast<double>(apply_bound.count()) * kOldestShare));
  return now - configuration_current_at <= oldest;
}

}  // namespace mimosadeal
