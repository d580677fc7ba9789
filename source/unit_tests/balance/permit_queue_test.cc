// Tests of the permits for upstreams with a limit: replays of load from many
// hosts, counted at the upstream.
#include "balance/permit_queue.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/ids.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(4);
constexpr Duration kStep = milliseconds(1);

// What the platform allows within kWindow at a limit.
double Allowed(double limit) { return 1.5 * limit * ToSeconds(kWindow) + 5; }

struct RankCounts {
  int asked = 0;
  int served = 0;

  double share() const { return asked == 0 ? 1 : 1.0 * served / asked; }
};

// Replays callers of `hosts` hosts that send requests at random times. Refused
// callers come back up to two times when they were told to.
struct Replay {
  struct Call {
    MonotonicTime at;
    int rank = 0;
    int attempt = 0;
  };

  Random random{7};
  int hosts = 24;
  double demand = 10;  // Requests per second of all hosts together.
  int ranks = 3;
  MonotonicTime now{seconds(1000)};
  uint64_t next_ticket = 0;
  std::map<uint64_t, Call> waiting;
  std::deque<Call> returning;
  std::multiset<MonotonicTime> on_the_way;  // To the upstream.
  std::deque<MonotonicTime> arrivals;
  size_t arrived = 0;
  size_t most = 0;  // Arrivals within kWindow, at worst.
  std::map<int, RankCounts> counts;

  // The time that a request takes to the upstream, which differs by host.
  Duration DelayOf(uint64_t host) const {
    return milliseconds(host % 4) + Duration(host * 1000);
  }

  void Ask(PermitQueue& queue, Call call) {
    if (call.attempt == 0) ++counts[call.rank].asked;
    waiting[++next_ticket] = call;
    AddWaiter(queue, {next_ticket, call.rank, now + milliseconds(300)});
  }

  void TakeAll(PermitQueue& queue) {
    for (const PermitOutcome& outcome : TakeOutcomes(queue, now)) {
      Call call = waiting.extract(outcome.ticket).mapped();
      if (outcome.granted) {
        ++counts[call.rank].served;
        on_the_way.insert(now +
                          DelayOf(random.Below(static_cast<uint64_t>(hosts))));
      } else if (++call.attempt <= 2) {
        CHECK(outcome.retry_after > Duration::zero());
        call.at = now + outcome.retry_after;
        returning.push_back(call);
      }
    }
  }

  void CountArrivals() {
    while (!on_the_way.empty() && *on_the_way.begin() <= now) {
      on_the_way.erase(on_the_way.begin());
      arrivals.push_back(now);
      ++arrived;
    }
    while (!arrivals.empty() && now - arrivals.front() > kWindow)
      arrivals.pop_front();
    most = std::max(most, arrivals.size());
  }

  // `queues`: the hosts that give permits, of which each request asks one.
  void RunFor(Duration time, const std::vector<PermitQueue*>& queues) {
    const MonotonicTime end = now + time;
    while (now < end) {
      now += kStep;
      if (random.Unit() < demand * ToSeconds(kStep)) {
        Ask(*queues[random.Below(queues.size())],
            {now, static_cast<int>(random.Below(static_cast<uint64_t>(ranks))),
             0});
      }
      for (size_t i = returning.size(); i > 0; --i) {
        const Call call = returning.front();
        returning.pop_front();
        if (call.at > now) {
          returning.push_back(call);
        } else {
          Ask(*queues[random.Below(queues.size())], call);
        }
      }
      for (PermitQueue* queue : queues) TakeAll(*queue);
      CountArrivals();
    }
  }
};

TEST_GROUP(PermitQueue) {
  PermitQueue queue;
  Replay replay;

  void CheckBound(double limit) const {
    CHECK_TEXT(static_cast<double>(replay.most) <= Allowed(limit),
               (std::to_string(replay.most) + " within 4 s").c_str());
  }
};

TEST(PermitQueue, TheSumOfManyHostsStaysWithinTheLimitAndUsesIt) {
  struct Case {
    int hosts;
    double limit;
    double demand;
  };
  for (const Case& c :
       {Case{24, 1.1, 3.3}, Case{24, 1.1, 10}, Case{295, 1.1, 10},
        Case{295, 5, 15}, Case{24, 20, 60}, Case{295, 20, 60}}) {
    queue = {};
    replay = {};
    replay.hosts = c.hosts;
    replay.demand = c.demand;
    SetRate(queue, c.limit, 1, replay.now);
    replay.RunFor(seconds(120), {&queue});
    CheckBound(c.limit);
    CHECK(static_cast<double>(replay.arrived) >= 0.8 * c.limit * 120);
  }
}

// The former giver goes on with half of the limit while its successor, which
// begins without saved permits, gives the whole limit.
TEST(PermitQueue, TwoGiversAtAChangeStayWithinTheBound) {
  for (const double limit : {0.0, 1.1, 5.0, 20.0}) {
    queue = {};
    replay = {};
    replay.hosts = 295;
    replay.demand = 3 * limit + 5;
    SetRate(queue, limit, 1, replay.now);
    for (int change = 0; change < 20; ++change) {
      replay.RunFor(seconds(6), {&queue});
      SetRate(queue, limit, 0.5, replay.now);
      PermitQueue successor;
      SetRate(successor, limit, 1, replay.now);
      replay.RunFor(seconds(5), {&queue, &successor});
      queue = successor;
    }
    CheckBound(limit);
  }
}

TEST(PermitQueue, AGiverThatWasFrozenHasNotSavedUpPermits) {
  SetRate(queue, 20, 1, replay.now);
  replay.demand = 100;
  replay.RunFor(seconds(5), {&queue});
  replay.now += seconds(60);
  replay.RunFor(seconds(5), {&queue});
  CheckBound(20);
}

TEST(PermitQueue, ALimitThatHalvesBindsAtOnce) {
  SetRate(queue, 20, 1, replay.now);
  replay.demand = 100;
  replay.RunFor(seconds(10), {&queue});
  SetRate(queue, 10, 1, replay.now);
  replay.RunFor(kWindow, {&queue});
  replay.most = 0;
  replay.RunFor(seconds(10), {&queue});
  CheckBound(10);
}

// Load pattern: ten times as many requests as the upstream takes.
TEST(PermitQueue, UrgentRanksGoFirstAndNoneIsStarved) {
  SetRate(queue, 1.1, 1, replay.now);
  replay.demand = 11;
  replay.RunFor(seconds(600), {&queue});
  RankCounts all;
  for (const auto& [rank, counts] : replay.counts) {
    all.asked += counts.asked;
    all.served += counts.served;
  }
  CHECK(replay.counts[0].share() > replay.counts[1].share());
  CHECK(replay.counts[1].share() > replay.counts[2].share());
  CHECK(replay.counts[2].share() >= all.share() / 4);
}

TEST(PermitQueue, AtALimitOfZeroAPermitIsGivenFromTimeToTime) {
  SetRate(queue, 0, 1, replay.now);
  replay.RunFor(seconds(60), {&queue});
  CheckBound(0);
  CHECK(replay.arrived >= 10);
}

TEST(PermitQueue, AWaiterWithoutTimeToWaitGetsAPermitThatIsAvailable) {
  const MonotonicTime now{seconds(1)};
  SetRate(queue, 1, 1, now);
  const MonotonicTime later = now + seconds(2);
  AddWaiter(queue, {1, 0, later - milliseconds(1)});
  AddWaiter(queue, {2, 0, later - milliseconds(1)});
  AddWaiter(queue, {3, 0, later - milliseconds(1)});
  const auto outcomes = TakeOutcomes(queue, later);
  LONGS_EQUAL(3, outcomes.size());
  CHECK(outcomes[0].granted);
  CHECK(outcomes[1].granted);
  CHECK_FALSE(outcomes[2].granted);
}

TEST(PermitQueue, AWaiterThatCannotBeServedInTimeIsRefusedAtOnce) {
  const MonotonicTime now{seconds(1)};
  SetRate(queue, 1, 1, now);
  AddWaiter(queue, {1, 0, now + milliseconds(1500)});
  AddWaiter(queue, {2, 0, now + milliseconds(1500)});
  AddWaiter(queue, {3, 0, now + milliseconds(1500)});
  const auto outcomes = TakeOutcomes(queue, now);
  LONGS_EQUAL(2, outcomes.size());
  LONGS_EQUAL(2, outcomes[0].ticket);
  CHECK_FALSE(outcomes[0].granted);
  // They come back one permit apart.
  CHECK(outcomes[1].retry_after - outcomes[0].retry_after == seconds(1));
  LONGS_EQUAL(0, TakeOutcomes(queue, now + milliseconds(900)).size());
  const auto later = TakeOutcomes(queue, NextPermitAt(queue));
  LONGS_EQUAL(1, later.size());
  CHECK(later[0].granted);
}

}  // namespace
}  // namespace mimosadeal
