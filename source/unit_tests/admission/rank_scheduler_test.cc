// Tests of the scheduler for the requests of one upstream.
#include "admission/rank_scheduler.h"

#include <CppUTest/TestHarness.h>

#include <map>

#include "common/ids.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

constexpr Duration kService = milliseconds(10);
constexpr size_t kHighest = 0;
constexpr size_t kMiddle = 1;
constexpr size_t kLowest = 2;

TEST_GROUP(RankScheduler) {
  ServiceConfiguration service;
  SchedulerState state;
  MonotonicTime now{std::chrono::seconds(100)};
  uint64_t next_ticket = 1;

  void setup() override {
    service.slots = 2;
    service.ranks = {{"urgent", 0, milliseconds(100), 20, 0.4},
                     {"middle", 1, milliseconds(200), 5, 0.2},
                     {"least", 2, milliseconds(400), 1, 0.2}};
    state = MakeScheduler(service, 1000, now);
    for (RankQueue& queue : state.queues) queue.mean_service = kService;
  }

  WaitingRequest MakeRequest(size_t rank, uint64_t flow = 0,
                             Duration deadline = std::chrono::seconds(10)) {
    return {next_ticket++, rank, flow, now, now + deadline};
  }

  bool Admit(size_t rank, uint64_t flow = 0) {
    return TryEnqueue(state, MakeRequest(rank, flow), now).admitted;
  }

  // Runs the slots for `duration`. In each service time, tries to enqueue the
  // given number of requests of each rank. Returns the number of requests
  // served per rank.
  std::map<size_t, int> RunFor(Duration duration,
                               std::map<size_t, int> offered) {
    std::map<size_t, int> served;
    const MonotonicTime end = now + duration;
    while (now < end) {
      for (const auto& [rank, count] : offered) {
        for (int i = 0; i < count; ++i) Admit(rank);
      }
      std::vector<size_t> started;
      while (const auto next = DequeueNext(state, now))
        started.push_back(next->rank);
      now += kService;
      for (const size_t rank : started) {
        OnFinished(state, rank, kService, true, now);
        ++served[rank];
      }
    }
    return served;
  }
};

TEST(RankScheduler, RanksAreServedByPriority) {
  Admit(kLowest);
  Admit(kMiddle);
  Admit(kHighest);
  LONGS_EQUAL(kHighest, DequeueNext(state, now)->rank);
  LONGS_EQUAL(kMiddle, DequeueNext(state, now)->rank);
  CHECK_FALSE(DequeueNext(state, now).has_value());
}

TEST(RankScheduler, AnOverloadOfTheLowestRankDoesNotAffectTheHighest) {
  const auto served =
      RunFor(std::chrono::seconds(5), {{kHighest, 1}, {kLowest, 20}});
  LONGS_EQUAL(500, served.at(kHighest));
  CHECK_TRUE(served.at(kLowest) > 450);
}

TEST(RankScheduler, EveryRankKeepsItsShareInAnOverloadOfTheHighest) {
  const auto served = RunFor(std::chrono::seconds(10),
                             {{kHighest, 20}, {kMiddle, 2}, {kLowest, 2}});
  const int slots_total = 2000;
  CHECK_TRUE(served.at(kMiddle) >= slots_total * 0.2 * 0.95);
  CHECK_TRUE(served.at(kLowest) >= slots_total * 0.2 * 0.95);
  CHECK_TRUE(served.at(kHighest) >= slots_total * 0.4);
  CHECK_TRUE(served.at(kHighest) + served.at(kMiddle) + served.at(kLowest) >=
             slots_total * 0.95);
}

TEST(RankScheduler, RequestsThatWouldMissTheirTargetAreRefused) {
  int admitted = 0;
  while (Admit(kHighest) && admitted < 1000) ++admitted;
  // Two slots serve at most 20 requests of 10 ms in 100 ms. Admission uses
  // three quarters of that, less the service time of the request itself.
  CHECK_TRUE(admitted >= 13 && admitted <= 15);
  const AdmissionResult refused = TryEnqueue(state, MakeRequest(kHighest), now);
  CHECK_TRUE(refused.retry_after > Duration::zero());
  CHECK_FALSE(TryEnqueue(state, MakeRequest(kMiddle, 0, milliseconds(15)), now)
                  .admitted);
}

TEST(RankScheduler, OneFlowCannotUseTheWholeShareOfARank) {
  while (Admit(kLowest, 1)) {
  }
  CHECK_TRUE(Admit(kLowest, 2));
  int served_of_second_flow = 0;
  for (int i = 0; i < 4; ++i) {
    const auto next = DequeueNext(state, now);
    OnFinished(state, next->rank, kService, true, now);
    if (next->flow == 2) ++served_of_second_flow;
  }
  LONGS_EQUAL(1, served_of_second_flow);
}

TEST(RankScheduler, LateRequestsAreShedOnlyIfOthersCanMeetTheirTarget) {
  for (uint64_t flow = 1; flow <= 4; ++flow)
    TryEnqueue(state, MakeRequest(kHighest, flow), now);
  now += milliseconds(95);
  // All requests are late, so they are served nevertheless.
  LONGS_EQUAL(0, ShedLateRequests(state, now).size());
  for (uint64_t flow = 5; flow <= 7; ++flow)
    TryEnqueue(state, MakeRequest(kHighest, flow), now);
  LONGS_EQUAL(4, ShedLateRequests(state, now).size());
  LONGS_EQUAL(3, WaitingCount(state));
}

TEST(RankScheduler, ExpiredAndRemovedRequestsAreDequeued) {
  const WaitingRequest first = MakeRequest(kLowest, 1, milliseconds(50));
  const WaitingRequest second = MakeRequest(kLowest, 1);
  TryEnqueue(state, first, now);
  TryEnqueue(state, second, now);
  now += milliseconds(60);
  LONGS_EQUAL(1, RemoveExpired(state, now).size());
  CHECK_TRUE(RemoveWaiting(state, second));
  CHECK_FALSE(RemoveWaiting(state, second));
  LONGS_EQUAL(0, WaitingCount(state));
  CHECK_FALSE(DequeueNext(state, now).has_value());
}

TEST(RankScheduler, ReconfigureKeepsQueuesByNameAndReturnsTheRest) {
  Admit(kHighest);
  Admit(kLowest);
  ServiceConfiguration changed = service;
  changed.ranks = {service.ranks[kMiddle], service.ranks[kHighest]};
  LONGS_EQUAL(1, Reconfigure(state, changed).size());
  LONGS_EQUAL(1, DequeueNext(state, now)->rank);
}

TEST(RankScheduler, BaselinePoliciesIgnoreSharesAndTargets) {
  state.policy = SchedulingPolicy::kFirstCome;
  for (int i = 0; i < 100; ++i) CHECK_TRUE(Admit(kLowest));
  now += milliseconds(1);
  CHECK_TRUE(Admit(kHighest));
  LONGS_EQUAL(kLowest, DequeueNext(state, now)->rank);
  state.policy = SchedulingPolicy::kStrictPriority;
  LONGS_EQUAL(kHighest, DequeueNext(state, now)->rank);
}

}  // namespace
}  // namespace mimosadeal
