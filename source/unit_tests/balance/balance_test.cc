// Tests of upstream selection, the retry budget, crash suspects and the idle
// timeout estimate.
#include <CppUTest/TestHarness.h>

#include <map>

#include "balance/crash_suspects.h"
#include "balance/idle_timeout_estimate.h"
#include "balance/retry_budget.h"
#include "balance/upstream_choice.h"
#include "balance/upstream_load.h"
#include "common/ids.h"
#include "forwarding/deployment_bounds.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(UpstreamLoad) {
  UpstreamLoad load;
  MonotonicTime now{seconds(10)};

  void setup() override {
    load.slots = 2;
    load.service_seconds = 0.2;
  }
};

TEST(UpstreamLoad, AReportLosesItsWeightWithAge) {
  OnLoadReport(load, {2, 6, 2}, now);
  DOUBLES_EQUAL(8, ExpectedBacklog(load, now), 0.01);
  CHECK(ExpectedBacklog(load, now + milliseconds(200)) < 4);
  CHECK(ExpectedBacklog(load, now + seconds(2)) < 0.1);
}

TEST(UpstreamLoad, OwnRequestsAlwaysCount) {
  load.in_flight = 5;
  OnLoadReport(load, {1, 0, 2}, now);
  DOUBLES_EQUAL(5, ExpectedBacklog(load, now), 0.01);
}

TEST(UpstreamLoad, NoWaitIsExpectedWhileASlotIsFree) {
  load.in_flight = 1;
  CHECK(ExpectedWait(load, now) == Duration::zero());
  load.in_flight = 5;
  LONGS_EQUAL(400, ToMilliseconds(ExpectedWait(load, now)));
}

TEST(UpstreamLoad, EachConnectFailureExtendsTheBackoffUpToALimit) {
  OnConnectFailure(load, now);
  const Duration first = load.connect_backoff_until - now;
  OnConnectFailure(load, now);
  CHECK(load.connect_backoff_until - now > first);
  for (int i = 0; i < 50; ++i) OnConnectFailure(load, now);
  CHECK(load.connect_backoff_until - now <= seconds(2));
  OnConnected(load);
  CHECK(load.connect_backoff_until == kNever);
}

TEST_GROUP(UpstreamChoice) {
  std::vector<ChoiceCandidate> candidates;
  MonotonicTime now{seconds(10)};

  void setup() override {
    for (int i = 0; i < 6; ++i) {
      ChoiceCandidate candidate;
      candidate.id = std::to_string(i);
      candidate.load.slots = 2;
      candidate.load.service_seconds = 0.1;
      candidate.same_zone = i < 2;
      candidates.push_back(candidate);
    }
  }
};

TEST(UpstreamChoice, ReturnsNoIndexWithoutCandidates) {
  LONGS_EQUAL(-1, ChooseUpstream({}, 0.5, 7, now));
}

TEST(UpstreamChoice, StaysInTheZoneWhileItHasFreeSlots) {
  for (uint64_t i = 0; i < 50; ++i)
    CHECK(
        candidates[static_cast<size_t>(ChooseUpstream(candidates, 0.5, i, now))]
            .same_zone);
}

// Guards against requests that queue in their own zone while other zones have
// free upstreams: a burst fills all upstreams of the zone.
TEST(UpstreamChoice, LeavesTheZoneWhenItsUpstreamsAreFull) {
  candidates[0].load.in_flight = 4;
  candidates[1].load.in_flight = 4;
  CHECK_FALSE(
      candidates[static_cast<size_t>(ChooseUpstream(candidates, 0.5, 3, now))]
          .same_zone);
}

TEST(UpstreamChoice, EqualUpstreamsShareTheRequests) {
  std::map<int, int> chosen;
  Random random(4);
  for (int i = 0; i < 600; ++i)
    ++chosen[ChooseUpstream(candidates, 0, random.Next(), now)];
  for (int i = 0; i < 6; ++i) CHECK(chosen[i] > 50);
}

TEST(UpstreamChoice, AnUpstreamThatWarmsUpGetsFewerRequests) {
  candidates[0].warmup_left = seconds(2);
  for (uint64_t i = 0; i < 20; ++i)
    LONGS_EQUAL(1, ChooseUpstream(candidates, 0.5, i, now));
}

// Guards against a new upstream that gets no requests under low load: without a
// service time of its own it must count as an average one. With a fixed default
// it would be left out until the others become as slow as the default.
TEST(UpstreamChoice, AnUpstreamWithoutServiceTimeCountsAsAverage) {
  for (ChoiceCandidate& candidate : candidates)
    candidate.load.service_seconds = 0.02;
  candidates[0].load.service_seconds = 0;
  std::map<int, int> chosen;
  for (uint64_t i = 0; i < 60; ++i)
    ++chosen[ChooseUpstream(candidates, 0.5, i, now)];
  CHECK(chosen[0] > 0);
}

TEST_GROUP(RetryBudget) {
  RetryBudgetPolicy policy{0.1, 0.15, 3};
  RetryBudget budget;
  MonotonicTime now{seconds(10)};
};

// Guards against retries that amplify an overload: all requests of 25 hosts
// fail and would be retried. Together the hosts may retry 20 % of their
// requests plus 141 within 10 s.
TEST(RetryBudget, AllHostsTogetherStayWithinTheBudget) {
  constexpr int hosts = 25;
  constexpr int requests_per_host = 600;
  int retries = 0;
  for (int host = 0; host < hosts; ++host) {
    RetryBudget own;
    for (int i = 0; i < requests_per_host; ++i) {
      const MonotonicTime at =
          now + milliseconds(10000 * i / requests_per_host);
      EarnForRequest(own, policy, at);
      if (SpendOnRetry(own, policy, at)) ++retries;
    }
  }
  CHECK(retries <= 0.2 * hosts * requests_per_host + 141);
  CHECK(retries >= 0.1 * hosts * requests_per_host);
}

// 295 hosts earn the constant rate without knowing how many they are.
TEST(RetryBudget, ManyIdleHostsStayWithinALargeAllowance) {
  DeploymentBounds bounds;
  bounds.retry_allowance = 630;
  const RetryBudgetPolicy large = MakeRetryBudgetPolicy(bounds);
  CHECK(295 * large.earned_per_second * ToSeconds(bounds.retry_window) <=
        bounds.retry_allowance);
}

TEST(RetryBudget, AHostWithoutTrafficMayRetryAtOnce) {
  CHECK(SpendOnRetry(budget, policy, now));
  CHECK(SpendOnRetry(budget, policy, now));
  CHECK(SpendOnRetry(budget, policy, now));
  CHECK_FALSE(SpendOnRetry(budget, policy, now));
}

TEST_GROUP(CrashSuspects) {
  CrashSuspects suspects{{3, seconds(60), 100, seconds(3), seconds(4)}};
  MonotonicTime now{seconds(10)};
};

TEST(CrashSuspects, ARequestInFlightAtThreeCrashesIsRefused) {
  const uint64_t request = RequestFingerprint("GET", "h", "/a", "");
  suspects.RecordCrash(request, "u1/1", now);
  suspects.RecordCrash(request, "u2/1", now);
  CHECK_FALSE(suspects.ShouldRefuse(request, now));
  CHECK(suspects.RecordCrash(request, "u1/2", now));
  CHECK(suspects.ShouldRefuse(request, now));
  CHECK_FALSE(suspects.ShouldRefuse(request, now + seconds(61)));
}

TEST(CrashSuspects, ACrashCountsOnce) {
  CHECK(suspects.RecordCrash(1, "u1/1", now));
  for (int i = 0; i < 5; ++i) CHECK_FALSE(suspects.RecordCrash(1, "u1/1", now));
  CHECK_FALSE(suspects.ShouldRefuse(1, now));
}

// Guards against the loss of requests of a popular kind for a minute, because
// several upstreams lost power while each had such requests in flight.
TEST(CrashSuspects, ATrialClearsARequestWhoseCrashesMayHaveACommonCause) {
  for (const char* upstream : {"u1/1", "u2/1", "u3/1", "u4/1"})
    suspects.RecordCrash(1, upstream, now);
  SuspectDecision decision = suspects.Decide(1, now + seconds(1));
  CHECK(decision.verdict == SuspectVerdict::kRefuse);
  CHECK(decision.next_trial == now + seconds(4));
  const MonotonicTime trial = now + seconds(4);
  CHECK(suspects.Decide(1, trial).verdict == SuspectVerdict::kTrial);
  decision = suspects.Decide(1, trial + seconds(3));
  CHECK(decision.verdict == SuspectVerdict::kRefuse);
  CHECK(decision.next_trial == trial + seconds(4));
  suspects.Clear(1);
  CHECK(suspects.Decide(1, trial + seconds(3)).verdict ==
        SuspectVerdict::kSend);
}

TEST(CrashSuspects, ARequestWhoseTrialEndsWithACrashGetsNoOther) {
  for (const char* upstream : {"u1/1", "u2/1", "u3/1"})
    suspects.RecordCrash(1, upstream, now);
  const MonotonicTime trial = now + seconds(4);
  CHECK(suspects.Decide(1, trial).verdict == SuspectVerdict::kTrial);
  suspects.RecordCrash(1, "u1/2", trial + milliseconds(100));
  for (int i = 1; i < 60; ++i) {
    const SuspectDecision decision = suspects.Decide(1, trial + seconds(i));
    CHECK(decision.verdict == SuspectVerdict::kRefuse);
    CHECK(decision.next_trial == kNever);
  }
}

TEST(CrashSuspects, ARequestAtCrashesThatLieApartGetsNoTrial) {
  suspects.RecordCrash(1, "u1/1", now);
  suspects.RecordCrash(1, "u2/1", now + seconds(2));
  suspects.RecordCrash(1, "u3/1", now + seconds(4));
  CHECK(suspects.Decide(1, now + seconds(50)).verdict ==
        SuspectVerdict::kRefuse);
}

TEST(CrashSuspects, TheNumberOfSuspectsIsBounded) {
  for (uint64_t i = 0; i < 1000; ++i)
    suspects.RecordCrash(i, "u", now + milliseconds(static_cast<int64_t>(i)));
  CHECK_FALSE(suspects.RecordCrash(999, "u", now + seconds(1)));
  CHECK(suspects.RecordCrash(0, "u", now + seconds(1)));
}

TEST(CrashSuspects, RequestsThatDifferInTheBodyAreDistinct) {
  CHECK(RequestFingerprint("POST", "h", "/a", "1") !=
        RequestFingerprint("POST", "h", "/a", "2"));
}

// Guards against requests lost on connections that the upstream has dropped:
// half of the upstreams drop connections after 300 ms of idle time, although
// they announce several seconds.
TEST_GROUP(IdleTimeoutEstimate) {
  IdleTimeoutEstimate estimate;
  MonotonicTime now{seconds(10)};
  Duration announced = seconds(4);
};

TEST(IdleTimeoutEstimate, WithoutAResetTheAnnouncedTimeoutApplies) {
  CHECK(ReusableIdleTime(estimate, announced, now) == announced);
}

TEST(IdleTimeoutEstimate, TwoResetsLowerTheEstimateBelowTheActualTimeout) {
  OnIdleConnectionReset(estimate, seconds(3), now);
  const Duration first = ReusableIdleTime(estimate, announced, now);
  CHECK(first < seconds(1));
  OnIdleConnectionReset(estimate, first, now + seconds(1));
  CHECK(ReusableIdleTime(estimate, announced, now + seconds(2)) <
        milliseconds(300));
  // A reset after a longer idle time does not raise the estimate.
  OnIdleConnectionReset(estimate, seconds(2), now + seconds(2));
  CHECK(ReusableIdleTime(estimate, announced, now + seconds(2)) <
        milliseconds(300));
}

TEST(IdleTimeoutEstimate, OldResetsExpire) {
  OnIdleConnectionReset(estimate, milliseconds(400), now);
  CHECK(ReusableIdleTime(estimate, announced, now + seconds(31)) == announced);
  OnIdleConnectionReset(estimate, seconds(3), now + seconds(31));
  CHECK(ReusableIdleTime(estimate, announced, now + seconds(32)) >
        milliseconds(400));
}

}  // namespace
}  // namespace mimosadeal
