// Tests of the scheduling of one upstream's queues.
#include "admission/rank_scheduler.h"

#include <CppUTest/TestHarness.h>

#include <map>

#include "common/ids.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

constexpr Duration kService = milliseconds(10);
constexpr size_t kUrgent = 0;
constexpr size_t kMiddle = 1;
constexpr size_t kLeast = 2;

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

  // Runs the slots for `duration` while each rank offers so many requests per
  // service time. Returns how many requests of each rank were served.
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

TEST(RankScheduler, UrgentWorkGoesFirst) {
  Admit(kLeast);
  Admit(kMiddle);
  Admit(kUrgent);
  LONGS_EQUAL(kUrgent, DequeueNext(state, now)->rank);
  LONGS_EQUAL(kMiddle, DequeueNext(state, now)->rank);
  CHECK_FALSE(DequeueNext(state, now).has_value());
}

TEST(RankScheduler, AFloodOfTheLeastUrgentLeavesUrgentWorkAlone) {
  const auto served =
      RunFor(std::chrono::seconds(5), {{kUrgent, 1}, {kLeast, 20}});
  LONGS_EQUAL(500, served.at(kUrgent));
  CHECK_TRUE(served.at(kLeast) > 450);
}

TEST(RankScheduler, EveryRankKeepsItsShareInAFloodOfTheMostUrgent) {
  const auto served = RunFor(std::chrono::seconds(10),
                             {{kUrgent, 20}, {kMiddle, 2}, {kLeast, 2}});
  const int slots_total = 2000;
  CHECK_TRUE(served.at(kMiddle) >= slots_total * 0.2 * 0.95);
  CHECK_TRUE(served.at(kLeast) >= slots_total * 0.2 * 0.95);
  CHECK_TRUE(served.at(kUrgent) >= slots_total * 0.4);
  CHECK_TRUE(served.at(kUrgent) + served.at(kMiddle) + served.at(kLeast) >=
             slots_total * 0.95);
}

TEST(RankScheduler, WhatCannotBeServedInTimeIsRefusedAtOnce) {
  int admitted = 0;
  while (Admit(kUrgent) && admitted < 1000) ++admitted;
  // 100 ms at two slots of 10 ms each are 20 at most; three quarters of that is
  // counted on, and each needs its own service time besides.
  CHECK_TRUE(admitted >= 13 && admitted <= 15);
  const AdmissionResult verdict = TryEnqueue(state, MakeRequest(kUrgent), now);
  CHECK_TRUE(verdict.retry_after > Duration::zero());
  CHECK_FALSE(TryEnqueue(state, MakeRequest(kMiddle, 0, milliseconds(15)), now)
                  .admitted);
}

TEST(RankScheduler, OneKeyCannotTakeARanksWholeShare) {
  while (Admit(kLeast, 1)) {
  }
  CHECK_TRUE(Admit(kLeast, 2));
  int of_second = 0;
  for (int i = 0; i < 4; ++i) {
    const auto next = DequeueNext(state, now);
    OnFinished(state, next->rank, kService, true, now);
    if (next->flow == 2) ++of_second;
  }
  LONGS_EQUAL(1, of_second);
}

TEST(RankScheduler, LateRequestsAreOvertakenOnlyByOthersThatAreInTime) {
  for (uint64_t flow = 1; flow <= 4; ++flow)
    TryEnqueue(state, MakeRequest(kUrgent, flow), now);
  now += milliseconds(95);
  // All are late: they are served, however late.
  LONGS_EQUAL(0, ShedLateRequests(state, now).size());
  for (uint64_t flow = 5; flow <= 7; ++flow)
    TryEnqueue(state, MakeRequest(kUrgent, flow), now);
  LONGS_EQUAL(4, ShedLateRequests(state, now).size());
  LONGS_EQUAL(3, WaitingCount(state));
}

TEST(RankScheduler, ExpiredAndRemovedRequestsLeaveTheQueue) {
  const WaitingRequest first = MakeRequest(kLeast, 1, milliseconds(50));
  const WaitingRequest second = MakeRequest(kLeast, 1);
  TryEnqueue(state, first, now);
  TryEnqueue(state, second, now);
  now += milliseconds(60);
  LONGS_EQUAL(1, RemoveExpired(state, now).size());
  CHECK_TRUE(RemoveWaiting(state, second));
  CHECK_FALSE(RemoveWaiting(state, second));
  LONGS_EQUAL(0, WaitingCount(state));
  CHECK_FALSE(DequeueNext(state, now).has_value());
}

TEST(RankScheduler, ReconfigurationKeepsQueuesByNameAndReturnsTheRest) {
  Admit(kUrgent);
  Admit(kLeast);
  ServiceConfiguration changed = service;
  changed.ranks = {service.ranks[kMiddle], service.ranks[kUrgent]};
  LONGS_EQUAL(1, Reconfigure(state, changed).size());
  LONGS_EQUAL(1, DequeueNext(state, now)->rank);
}

TEST(RankScheduler, TheBaselinesIgnoreSharesAndTargets) {
  state.policy = SchedulingPolicy::kFirstCome;
  for (int i = 0; i < 100; ++i) CHECK_TRUE(Admit(kLeast));
  now += milliseconds(1);
  CHECK_TRUE(Admit(kUrgent));
  LONGS_EQUAL(kLeast, DequeueNext(state, now)->rank);
  state.policy = SchedulingPolicy::kStrictPriority;
  LONGS_EQUAL(kUrgent, DequeueNext(state, now)->rank);
}

}  // namespace
}  // namespace mimosadeal
