// Tests of second tries of late requests: the decision, its limit, and the
// quantile of response times that it is based on.
#include "balance/hedge_decision.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "balance/hedge_limit.h"
#include "balance/latency_quantile.h"
#include "balance/retry_budget.h"
#include "common/ids.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};

TEST_GROUP(LatencyQuantile) {
  LatencyQuantile latencies;

  // Observes responses that take from `first` to `last` ms, evenly spread.
  void Observe(int first, int last, int count, MonotonicTime now) {
    for (int i = 0; i < count; ++i) {
      ObserveLatency(latencies,
                     milliseconds(first + (last - first) * i / count), now);
    }
  }
  int64_t At(double quantile) {
    return ToMilliseconds(LatencyAt(latencies, quantile).value());
  }
};

TEST(LatencyQuantile, IsUnknownWithFewResponses) {
  CHECK_FALSE(LatencyAt(latencies, 0.5).has_value());
  Observe(100, 200, 20, kStart);
  CHECK(LatencyAt(latencies, 0.5).has_value());
  CHECK_FALSE(LatencyAt(latencies, 0.95).has_value());
  Observe(100, 200, 20, kStart);
  CHECK(LatencyAt(latencies, 0.95).has_value());
}

TEST(LatencyQuantile, IsExactToABucket) {
  Observe(100, 1100, 1000, kStart);
  CHECK(At(0.5) >= 540 && At(0.5) <= 670);
  CHECK(At(0.95) >= 945 && At(0.95) <= 1160);
}

TEST(LatencyQuantile, FollowsADriftAndForgetsOldResponses) {
  for (int second = 0; second < 60; ++second)
    Observe(100, 200, 20, kStart + seconds(second));
  const int64_t before = At(0.95);
  for (int second = 60; second < 120; ++second)
    Observe(300, 600, 20, kStart + seconds(second));
  CHECK(before <= 225);
  CHECK(At(0.95) >= 540);
  CHECK(At(0.5) >= 300);
  ObserveLatency(latencies, milliseconds(100), kStart + seconds(1000));
  CHECK_FALSE(LatencyAt(latencies, 0.5).has_value());
}

TEST(LatencyQuantile, HoldsTimesOfAnyLength) {
  for (int i = 0; i < 50; ++i) {
    ObserveLatency(latencies, Duration::zero(), kStart);
    ObserveLatency(latencies, seconds(100000), kStart);
  }
  CHECK(LatencyAt(latencies, 0.25).value() < milliseconds(5));
  CHECK(LatencyAt(latencies, 0.75).value() > seconds(20));
}

TEST_GROUP(HedgeLimit){};

TEST(HedgeLimit, NoWindowOf10SecondsHasMoreThanTheShare) {
  for (const double share : {0.02, 0.1, 0.2}) {
    HedgeLimit limit;
    Random random(7);
    std::vector<MonotonicTime> requests;
    std::vector<MonotonicTime> hedges;
    // The load falls to a twentieth in the middle.
    MonotonicTime now = kStart;
    while (now < kStart + seconds(60)) {
      const bool low = now > kStart + seconds(30);
      now += milliseconds(1 + random.Below(low ? 400 : 20));
      CountRequest(limit, now);
      requests.push_back(now);
      if (!AllowsHedge(limit, share, now)) continue;
      CountHedge(limit, now);
      hedges.push_back(now);
    }
    CHECK(!hedges.empty());
    for (const MonotonicTime end : hedges) {
      const auto in_window = [end](const std::vector<MonotonicTime>& times) {
        return std::count_if(times.begin(), times.end(), [end](auto time) {
          return time > end - seconds(10) && time <= end;
        });
      };
      CHECK(static_cast<double>(in_window(hedges)) <=
            share * static_cast<double>(in_window(requests)));
    }
  }
}

TEST(HedgeLimit, AllowsNoneWithoutAShareOrRequests) {
  HedgeLimit limit;
  CHECK_FALSE(AllowsHedge(limit, 0.2, kStart));
  for (int i = 0; i < 1000; ++i) CountRequest(limit, kStart);
  CHECK_FALSE(AllowsHedge(limit, 0, kStart));
  CHECK(AllowsHedge(limit, 0.001, kStart));
  CHECK_FALSE(AllowsHedge(limit, 0.001, kStart + seconds(11)));
}

TEST_GROUP(HedgeDecision) {
  HedgePlanInput plan;
  HedgeInput input;

  void setup() override {
    plan.share = 0.05;
    plan.repeatable = true;
    plan.late_after = milliseconds(300);
    input.time_left = milliseconds(900);
    input.typical = milliseconds(150);
    input.attempts_left = true;
    input.share_left = true;
    input.budget_left = true;
    input.target.usable = true;
    input.target.load.slots = 2;
    input.target.load.service_seconds = 0.15;
  }
  void CheckPlan(HedgeRefusal expected) {
    CHECK(expected == PlanHedge(plan).refusal);
    setup();
  }
  void CheckDecision(HedgeRefusal expected) {
    CHECK(expected == DecideHedge(input, kStart));
    input = HedgeInput();
    setup();
  }
};

TEST(HedgeDecision, PlansASecondTryWhenTheResponseIsLate) {
  const HedgePlan made = PlanHedge(plan);
  CHECK(HedgeRefusal::kNone == made.refusal);
  LONGS_EQUAL(300, ToMilliseconds(made.after));
}

TEST(HedgeDecision, PlansNoneForRequestsThatMayNotGetOne) {
  plan.share = 0;
  CheckPlan(HedgeRefusal::kOff);
  plan.repeatable = false;
  CheckPlan(HedgeRefusal::kNotRepeatable);
  plan.first_try = false;
  CheckPlan(HedgeRefusal::kNotFirstTry);
  plan.first_try = true;
  plan.relayed = true;
  CheckPlan(HedgeRefusal::kRelayed);
  plan.relayed = false;
  plan.suspect = true;
  CheckPlan(HedgeRefusal::kSuspect);
  plan.suspect = false;
  plan.stopping = true;
  CheckPlan(HedgeRefusal::kStopping);
  plan.stopping = false;
  plan.late_after.reset();
  CheckPlan(HedgeRefusal::kFewSamples);
}

TEST(HedgeDecision, AnUpstreamKnownToBeSlowIsLateByItsOwnTimes) {
  plan.same_upstream = true;
  plan.upstream_service_time = milliseconds(60);
  LONGS_EQUAL(300, ToMilliseconds(PlanHedge(plan).after));
  plan.upstream_service_time = milliseconds(400);
  LONGS_EQUAL(1200, ToMilliseconds(PlanHedge(plan).after));
  plan.same_upstream = false;
  LONGS_EQUAL(300, ToMilliseconds(PlanHedge(plan).after));
}

TEST(HedgeDecision, SendsIntoFreeRoom) { CheckDecision(HedgeRefusal::kNone); }

TEST(HedgeDecision, SendsNothingWithoutTimeAttemptsShareOrBudget) {
  input.time_left = milliseconds(100);
  CheckDecision(HedgeRefusal::kNoTime);
  input.attempts_left = false;
  CheckDecision(HedgeRefusal::kAttempts);
  input.share_left = false;
  CheckDecision(HedgeRefusal::kShare);
  input.budget_left = false;
  CheckDecision(HedgeRefusal::kBudget);
}

TEST(HedgeDecision, SendsNothingToAShortServiceWhateverElseHolds) {
  input.service_short = true;
  CheckDecision(HedgeRefusal::kShort);
}

TEST(HedgeDecision, SendsNothingToAnUpstreamWithoutFreeRoom) {
  input.target.usable = false;
  CheckDecision(HedgeRefusal::kNoRoom);
  input.target.cold = true;
  CheckDecision(HedgeRefusal::kNoRoom);
  input.target.limited = true;
  CheckDecision(HedgeRefusal::kNoRoom);
  input.target.load.in_flight = 2;
  CheckDecision(HedgeRefusal::kNoRoom);
  // The report is several service times old, but a queue was there.
  OnLoadReport(input.target.load, {2, 3, 2, 1}, kStart - milliseconds(900));
  CheckDecision(HedgeRefusal::kNoRoom);
  OnLoadReport(input.target.load, {2, 0, 2, 1}, kStart - milliseconds(900));
  CheckDecision(HedgeRefusal::kNone);
}

TEST(HedgeDecision, TheShareGoesToTheSlowestResponses) {
  DOUBLES_EQUAL(0.98, LateQuantile(0.02), 1e-9);
  DOUBLES_EQUAL(0.95, LateQuantile(0.05), 1e-9);
  DOUBLES_EQUAL(0.9, LateQuantile(0.2), 1e-9);
  DOUBLES_EQUAL(0.99, LateQuantile(0.001), 1e-9);
}

TEST(HedgeDecision, KeepsPartOfTheRetryBudgetForFailedRequests) {
  const RetryBudgetPolicy policy = {0.1, 0, 4};
  RetryBudget budget;
  int hedges = 0;
  while (HasTokenForHedge(budget, policy, kStart)) {
    CHECK(SpendOnRetry(budget, policy, kStart));
    ++hedges;
  }
  LONGS_EQUAL(2, hedges);
  CHECK(SpendOnRetry(budget, policy, kStart));
  CHECK(SpendOnRetry(budget, policy, kStart));
  CHECK_FALSE(SpendOnRetry(budget, policy, kStart));
}

}  // namespace
}  // namespace mimosadeal
