#include "entry/limit_statement.h"

#include <cmath>

namespace mimosadeal {
namespace {

// An older statement is useless, and its age is probably corrupt.
constexpr std::chrono::hours kMaxAge{1};

}  // namespace

LimitStatement ToStatement(const UpstreamLimit& limit, MonotonicTime now) {
  if (limit.stated_at == kNever) return {};
  return {limit.per_second.has_value(), limit.per_second.value_or(0),
          ToMilliseconds(now - limit.stated_at)};
}

std::optional<UpstreamLimit> FromStatement(const LimitStatement& statement,
                                           MonotonicTime now) {
  const std::chrono::milliseconds age(statement.age_ms);
  const bool valid = age >= age.zero() && age <= kMaxAge &&
                     std::isfinite(statement.per_second) &&
                     statement.per_second >= 0;
  if (!valid) return std::nullopt;
  UpstreamLimit limit;
  if (statement.limited) limit.per_second = statement.per_second;
  limit.stated_at = now - age;
  return limit;
}

}  // namespace mimosadeal
