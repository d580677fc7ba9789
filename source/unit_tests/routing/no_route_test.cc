// Tests of when a host may report that a route does not exist.
#include "routing/no_route.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kBound = seconds(2);
constexpr MonotonicTime kNow{seconds(100)};

TEST_GROUP(NoRoute){};

TEST(NoRoute, AllowedWhenTheConfigurationWasCurrentRecently) {
  CHECK(MayReportNoRoute(kNow, kBound, kNow));
  CHECK(MayReportNoRoute(kNow - milliseconds(1400), kBound, kNow));
}

// Guards against a 404 for a route that exists: a host that is disconnected
// from the store gets a request for a route that was added in the meantime.
// Such hosts responded 404 up to 3.2 s after the store acknowledged the route.
TEST(NoRoute, NotAllowedWithAnOutdatedConfiguration) {
  for (const int age : {2000, 2050, 2500, 2800, 3200})
    CHECK_FALSE(MayReportNoRoute(kNow - milliseconds(age), kBound, kNow));
  CHECK_FALSE(MayReportNoRoute(kNever, kBound, kNow));
}

}  // namespace
}  // namespace mimosadeal
