// Runs the recovery test with some seeds. A seed that fails gets a test of its
// own here. scripts/recovery FIRST LAST runs it with more seeds.
#include "recovery.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeed = 1;
// The platform's bound on the time from the return of all hosts until most
// requests are served.
constexpr Duration kRecoveryDeadline = seconds(15);
constexpr double kQuarter = 0.25;

// A return of all hosts of a small deployment without other faults.
RecoveryPlan SmallPlan() {
  RecoveryPlan plan;
  plan.hosts = 6;
  plan.keyed = 6;
  plan.unkeyed = 2;
  plan.page = 500;
  plan.change_before = milliseconds(200);
  plan.down = milliseconds(1000);
  return plan;
}

class RecoveryTest : public EntryTest {
 public:
  RecoveryResult RunPlan(uint64_t seed, const RecoveryPlan& plan) {
    Recovery recovery(fixture, seed, plan);
    const RecoveryResult result = recovery.Run();
    const auto text = [](double number) { return std::to_string(number); };
    UT_PRINT(("seed " + std::to_string(seed) + ": a quarter after " +
              text(ToSeconds(result.quarter_after)) + " s, all after " +
              text(ToSeconds(result.all_after)) + " s, a quarter " +
              text(ToSeconds(result.quarter_after_return)) +
              " s after the return, " + text(result.served_before) +
              " served before, " + text(result.served_late) + " late; " +
              DescribePlan(plan) + "; the logs of the hosts are in " +
              fixture.directory())
                 .c_str());
    CHECK(result.served_before >= kQuarter);
    CHECK(result.quarter_after < kRecoveryDeadline);
    // No fault is left by then, so every key must be served.
    CHECK(result.all_after < kRecoveryDeadline);
    fixture.CheckRecord();
    return result;
  }
};

TEST_GROUP_BASE(Recovery, RecoveryTest){};

TEST(Recovery, ASeededReturnOfAllHostsIsServedInTime) {
  const char* seed_text = std::getenv("MIMOSADEAL_RECOVERY_SEED");
  const uint64_t seed =
      seed_text == nullptr ? kSeed : std::strtoull(seed_text, nullptr, 10);
  const bool full = std::getenv("MIMOSADEAL_RECOVERY_FULL") != nullptr;
  RunPlan(seed, MakeRecoveryPlan(seed, full));
}

// A new holder waited for the grants of its predecessor from when it got the
// lease, though the predecessor had ended before the store was back.
TEST(Recovery, KeysOfNewUpstreamsAreServedInTimeWhenTheStoreReturnsLate) {
  RecoveryPlan plan = SmallPlan();
  plan.upstreams = UpstreamsEnd::kNewIds;
  plan.upstreams_back = plan.down;
  plan.store = StoreTrouble::kSilent;
  plan.store_begins = -milliseconds(500);
  plan.store_ends = plan.down + seconds(6);
  const RecoveryResult result = RunPlan(kSeed, plan);
  CHECK(result.quarter_after_return < kRecoveryDeadline);
}

}  // namespace
}  // namespace mimosadeal
