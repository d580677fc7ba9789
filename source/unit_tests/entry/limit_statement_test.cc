// Tests of what hosts tell each other about the limits of upstreams.
#include "entry/limit_statement.h"

#include <CppUTest/TestHarness.h>

#include <limits>

namespace mimosadeal {
namespace {

using std::chrono::seconds;

TEST_GROUP(LimitStatement) { MonotonicTime now{seconds(5000)}; };

TEST(LimitStatement, AStatementKeepsItsAgeBetweenClocks) {
  const UpstreamLimit limit{1.4, now - seconds(2)};
  const MonotonicTime other_clock = now + seconds(77);
  const auto received = FromStatement(ToStatement(limit, now), other_clock);
  CHECK(received.has_value());
  CHECK(received->per_second == 1.4);
  CHECK(received->stated_at == other_clock - seconds(2));
  const UpstreamLimit ended{std::nullopt, now};
  CHECK_FALSE(FromStatement(ToStatement(ended, now), now)->per_second);
}

TEST(LimitStatement, AnEmptyOrCorruptStatementSaysNothing) {
  CHECK_FALSE(FromStatement(ToStatement({}, now), now).has_value());
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  for (const double wrong : {-1.0, kInfinity, kInfinity - kInfinity})
    CHECK_FALSE(FromStatement({true, wrong, 0}, now).has_value());
  for (const int64_t age : {int64_t{-5}, std::numeric_limits<int64_t>::min(),
                            std::numeric_limits<int64_t>::max()})
    CHECK_FALSE(FromStatement({true, 1.4, age}, now).has_value());
}

}  // namespace
}  // namespace mimosadeal
