// Tests of the requests that wait for room at a host: replays of arrivals in
// time, with the room that a host has.
#include "balance/room_queue.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <string>

#include "common/ids.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kService = milliseconds(200);
constexpr Duration kTarget = milliseconds(800);
constexpr Duration kStep = milliseconds(1);

struct Counts {
  int asked = 0;
  int served = 0;
  int refused = 0;  // Attempts.
  int late = 0;     // Refused after a wait.
  int returned = 0;
  int served_on_return = 0;

  double share() const { return asked == 0 ? 1 : 1.0 * served / asked; }
};

// A host with room for `room` requests at once, at upstreams that are never
// full otherwise.
struct Replay {
  struct Class {
    std::string route;
    int rank = 0;
    double per_second = 0;
    int attempts = 2;
  };
  struct Call {
    Class* kind = nullptr;
    int attempt = 0;
    MonotonicTime first = kNever;
    MonotonicTime arrived = kNever;
  };

  Random random{5};
  RoomQueue queue;
  int room = 4;
  int busy = 0;
  MonotonicTime now{seconds(1000)};
  uint64_t next_ticket = 0;
  std::map<uint64_t, Call> waiting;
  std::multimap<MonotonicTime, int> ends;
  std::multimap<MonotonicTime, Call> returning;
  std::map<std::string, Counts> counts;

  double PerSecond() const { return room / ToSeconds(kService); }

  void Begin(const Call& call) {
    ++busy;
    Counts& of = counts[call.kind->route];
    ++of.served;
    if (call.attempt > 0) ++of.served_on_return;
    const double service = ToSeconds(kService) * (0.5 + random.Unit());
    ends.emplace(now + Duration(static_cast<int64_t>(service * 1e9)), 0);
  }

  void Arrive(Call call) {
    call.arrived = now;
    Counts& of = counts[call.kind->route];
    if (call.attempt == 0) {
      ++of.asked;
    } else {
      ++of.returned;
    }
    if (busy < room && queue.waiters.empty()) {
      Begin(call);
      return;
    }
    waiting[++next_ticket] = call;
    AddWaiter(queue, {next_ticket, call.kind->rank, call.kind->route, now,
                      now + kTarget - kService, now + 2 * kTarget - kService});
    Refuse();
  }

  void Refuse() {
    for (const RoomRefusal& refusal : TakeRefusals(queue, PerSecond(), now)) {
      Call call = waiting.extract(refusal.ticket).mapped();
      Counts& of = counts[call.kind->route];
      ++of.refused;
      if (now != call.arrived) ++of.late;
      CHECK(refusal.retry_after > Duration::zero());
      if (++call.attempt < call.kind->attempts)
        returning.emplace(now + refusal.retry_after, call);
    }
  }

  void Serve() {
    while (busy < room) {
      const auto ticket = NextWaiter(queue);
      if (!ticket.has_value()) break;
      TakeWaiter(queue, *ticket);
      Begin(waiting.extract(*ticket).mapped());
    }
    Refuse();
  }

  void RunFor(Duration time, std::vector<Class>& classes) {
    const MonotonicTime end = now + time;
    while (now < end) {
      now += kStep;
      bool ended = false;
      while (!ends.empty() && ends.begin()->first <= now) {
        ends.erase(ends.begin());
        --busy;
        ended = true;
      }
      if (ended) Serve();
      for (Class& kind : classes) {
        if (random.Unit() < kind.per_second * ToSeconds(kStep))
          Arrive({&kind, 0, now, now});
      }
      while (!returning.empty() && returning.begin()->first <= now) {
        const Call call = returning.extract(returning.begin()).mapped();
        Arrive(call);
      }
    }
  }
};

std::string Describe(const Counts& counts) {
  return std::to_string(counts.served) + " of " + std::to_string(counts.asked) +
         " served, " + std::to_string(counts.refused) + " refusals, " +
         std::to_string(counts.late) + " late, " +
         std::to_string(counts.served_on_return) + " of " +
         std::to_string(counts.returned) + " served on return";
}

TEST_GROUP(RoomQueue) { Replay replay; };

// Load pattern: a burst of 2.2 times of an urgent class, which alone is more
// than there is room for, beside a less urgent one.
TEST(RoomQueue, UrgentRequestsGoFirstAndNoClassIsStarved) {
  std::vector<Replay::Class> classes = {{"urgent", 0, 2.2 * 10, 1},
                                        {"other", 1, 8, 1}};
  replay.RunFor(seconds(60), classes);
  const Counts& urgent = replay.counts["urgent"];
  const Counts& other = replay.counts["other"];
  CHECK_TEXT(urgent.share() > other.share(), Describe(urgent).c_str());
  CHECK_TEXT(urgent.share() > 0.65, Describe(urgent).c_str());
  CHECK_TEXT(other.share() > 0.3, Describe(other).c_str());
  // All room is used: 20 requests per second.
  CHECK(urgent.served + other.served > 60 * 20 * 0.9);
}

// Load pattern: 2.2 times of the only class.
TEST(RoomQueue, WhatDoesNotFitIsRefusedAtOnce) {
  std::vector<Replay::Class> classes = {{"a", 1, 2.2 * 20, 1}};
  replay.RunFor(seconds(60), classes);
  const Counts& counts = replay.counts["a"];
  CHECK_TEXT(counts.refused > counts.asked / 3, Describe(counts).c_str());
  CHECK_TEXT(counts.late * 50 < counts.refused, Describe(counts).c_str());
}

// Load pattern: a burst of 2.2 times of the room for a second, with calm times
// of 0.4 between. Whoever is told a time after the burst finds room then.
TEST(RoomQueue, ThoseThatAreRefusedInABurstAreServedWhenTheyReturn) {
  std::vector<Replay::Class> burst = {{"a", 1, 2.2 * 20, 1}};
  std::vector<Replay::Class> calm = {{"a", 1, 0.4 * 20, 1}};
  int told = 0;
  int served = 0;
  for (int round = 0; round < 20; ++round) {
    burst.front().attempts = 2;
    replay.RunFor(seconds(1), burst);
    told += static_cast<int>(replay.returning.size());
    const int before = replay.counts["a"].served_on_return;
    replay.RunFor(seconds(5), calm);
    served += replay.counts["a"].served_on_return - before;
    CHECK(replay.returning.empty());
  }
  CHECK(told > 100);
  CHECK_TEXT(served >= told * 0.95,
             (std::to_string(served) + " of " + std::to_string(told)).c_str());
  // Of 84 requests in 6 s, with room for 120.
  const Counts& counts = replay.counts["a"];
  CHECK_TEXT(counts.share() > 0.9, Describe(counts).c_str());
}

TEST(RoomQueue, TimesToReturnAreApart) {
  MonotonicTime now{seconds(1000)};
  RoomQueue queue;
  const Duration first = ReturnDelay(queue, 20, now);
  const Duration second = ReturnDelay(queue, 20, now);
  CHECK(second - first == milliseconds(100));
  // They are forgotten once they have passed.
  now += seconds(10);
  CHECK(ReturnDelay(queue, 20, now) == first);
}

// A caller that repeats at once queues behind those that wait.
TEST(RoomQueue, ThoseOfAClassAreServedInOrderOfArrival) {
  const MonotonicTime now{seconds(1000)};
  RoomQueue queue;
  AddWaiter(queue, {1, 1, "a", now, kForever, kForever});
  AddWaiter(queue, {2, 1, "a", now, kForever, kForever});
  LONGS_EQUAL(1, *NextWaiter(queue));
  RemoveWaiter(queue, 1);
  AddWaiter(queue, {3, 1, "a", now, kForever, kForever});
  LONGS_EQUAL(2, *NextWaiter(queue));
}

// A class that waits gets its part of the room while a more urgent one has
// always more requests.
TEST(RoomQueue, AClassOfTheLowestRankGetsItsPart) {
  const MonotonicTime now{seconds(1000)};
  RoomQueue queue;
  uint64_t ticket = 0;
  std::map<uint64_t, std::string> routes;
  const auto add = [&](const std::string& route, int rank) {
    routes[++ticket] = route;
    AddWaiter(queue, {ticket, rank, route, now, kForever, kForever});
  };
  std::map<std::string, int> served;
  for (int i = 0; i < 4; ++i) {
    add("urgent", 0);
    add("low", 1);
  }
  for (int i = 0; i < 100; ++i) {
    const uint64_t next = *NextWaiter(queue);
    TakeWaiter(queue, next);
    const std::string route = routes[next];
    ++served[route];
    add(route, route == "urgent" ? 0 : 1);
  }
  CHECK(served["low"] >= 18 && served["low"] <= 22);
}

TEST(RoomQueue, AWaiterWhoseTimeIsUpIsRefused) {
  const MonotonicTime now{seconds(1000)};
  RoomQueue queue;
  AddWaiter(queue,
            {1, 0, "a", now, now + milliseconds(400), now + milliseconds(800)});
  CHECK(TakeRefusals(queue, 20, now).empty());
  CHECK(TakeRefusals(queue, 20, now + milliseconds(500)).empty());
  const auto refusals = TakeRefusals(queue, 20, now + milliseconds(800));
  LONGS_EQUAL(1, refusals.size());
  CHECK(queue.waiters.empty());
}

}  // namespace
}  // namespace mimosadeal
