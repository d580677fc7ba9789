#include "routing/no_route.h"

namespace mimosadeal {
namespace {

// Part of the apply bound up to which a configuration counts as current. The
// rest covers the request's transit and processing delays of this host.
constexpr double kMaxAgeShare = 0.75;

}  // namespace

bool MayReportNoRoute(MonotonicTime configuration_current_at,
                      Duration apply_bound, MonotonicTime now) {
  const auto max_age = Duration(static_cast<int64_t>(
      static_cast<double>(apply_bound.count()) * kMaxAgeShare));
  return now - configuration_current_at <= max_age;
}

}  // namespace mimosadeal
