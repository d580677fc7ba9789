// Tests of when a host may state that a route does not exist.
#include "routing/no_route.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kBound = seconds(2);
constexpr MonotonicTime kNow{seconds(100)};

TEST_GROUP(NoRoute){};

TEST(NoRoute, AProofWithinTheBoundIsEnough) {
  CHECK(MayReportNoRoute(kNow, kBound, kNow));
  CHECK(MayReportNoRoute(kNow - milliseconds(1400), kBound, kNow));
}

// Load pattern: a host that was cut off from the store is asked for a route
// that was acknowledged meanwhile. It answered 404 up to 3.2 s later.
TEST(NoRoute, AnOlderProofIsNot) {
  for (const int age : {2000, 2050, 2500, 2800, 3200})
    CHECK_FALSE(MayReportNoRoute(kNow - milliseconds(age), kBound, kNow));
  CHECK_FALSE(MayReportNoRoute(kNever, kBound, kNow));
}

}  // namespace
}  // namespace mimosadeal
