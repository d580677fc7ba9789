// Tests of the plan of loans of upstreams' room: replays of requests from many
// hosts, counted at the upstreams.
#include "balance/room_plan.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <string>

#include "common/ids.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

std::string Name(const char* kind, int number) {
  return kind + std::to_string(number);
}

// Upstreams with speeds from 0.5 to 1.5; the first `slow` ones have a third of
// that.
std::vector<PlannedUpstream> Upstreams(int count, int room, int slow = 0) {
  std::vector<PlannedUpstream> upstreams;
  for (int i = 0; i < count; ++i) {
    const double speed = 0.5 + 1.0 * i / std::max(1, count - 1);
    upstreams.push_back({Name("u", i), room, i < slow ? speed / 3 : speed});
  }
  return upstreams;
}

std::vector<PlannedHost> Hosts(int count, double demand) {
  std::vector<PlannedHost> hosts;
  for (int i = 0; i < count; ++i) hosts.push_back({Name("h", i), demand});
  return hosts;
}

int Total(const RoomByUpstream& loans) {
  int total = 0;
  for (const auto& [upstream, room] : loans) total += room;
  return total;
}

RoomByUpstream SumByUpstream(const RoomByHost& plan) {
  RoomByUpstream sums;
  for (const auto& [host, loans] : plan) {
    for (const auto& [upstream, room] : loans) sums[upstream] += room;
  }
  return sums;
}

void CheckSums(const RoomByHost& plan,
               const std::vector<PlannedUpstream>& upstreams) {
  RoomByUpstream sums = SumByUpstream(plan);
  for (const PlannedUpstream& upstream : upstreams) {
    CHECK_TEXT(sums[upstream.id] <= upstream.room, upstream.id.c_str());
    sums.erase(upstream.id);
  }
  CHECK(sums.empty());
}

int Moved(const RoomByHost& before, const RoomByHost& after) {
  int moved = 0;
  for (const auto& [host, loans] : after) {
    for (const auto& [upstream, room] : loans) {
      const auto old = before.find(host);
      const bool had = old != before.end() && old->second.contains(upstream);
      moved += std::max(0, room - (had ? old->second.at(upstream) : 0));
    }
  }
  return moved;
}

// Requests of hosts at upstreams of `slots` slots, by the loans of `plan`. Time
// is counted in service times of an upstream of speed 1.
struct Replay {
  struct Event {
    double at = 0;
    std::string host;
    std::string upstream;
    bool operator<(const Event& other) const { return at > other.at; }
  };
  struct Upstream {
    double speed = 1;
    int running = 0;
    std::deque<std::pair<std::string, double>> waiting;  // Host, arrival.
  };

  Random random{11};
  int slots = 2;
  std::map<std::string, Upstream> upstreams;
  std::map<std::string, std::map<std::string, int>> in_flight;
  std::map<std::string, std::deque<double>> queues;  // Of hosts: arrivals.
  std::priority_queue<Event> ends;
  int arrived = 0;
  int late_starts = 0;  // After more than two service times of waiting.
  size_t most_held = 0;

  void Load(const std::vector<PlannedUpstream>& planned) {
    for (const PlannedUpstream& upstream : planned)
      upstreams[upstream.id].speed = upstream.speed;
  }

  void Start(const std::string& host, const std::string& id, double arrived_at,
             double now) {
    Upstream& upstream = upstreams[id];
    if (now - arrived_at > 2) ++late_starts;
    ++upstream.running;
    const double service = -std::log(1 - random.Unit()) * 0.5 + 0.5;
    ends.push({now + service / upstream.speed, host, id});
  }

  // Sends the host's oldest request to the lent upstream that is expected to
  // finish it first. Returns false without free room.
  bool Send(const RoomByHost& plan, const std::string& host, double now) {
    std::string best;
    double best_time = 0;
    for (const auto& [id, room] : plan.at(host)) {
      const int own = in_flight[host][id];
      if (own >= room) continue;
      const double time = (1 + std::max(0, own + 1 - slots) / double(slots)) /
                          upstreams[id].speed;
      if (!best.empty() && time >= best_time) continue;
      best = id;
      best_time = time;
    }
    if (best.empty()) return false;
    const double arrived_at = queues[host].front();
    queues[host].pop_front();
    ++in_flight[host][best];
    Upstream& upstream = upstreams[best];
    if (upstream.running < slots) {
      Start(host, best, arrived_at, now);
    } else {
      upstream.waiting.emplace_back(host, arrived_at);
    }
    most_held = std::max(most_held, upstream.waiting.size() +
                                        static_cast<size_t>(upstream.running));
    return true;
  }

  void End(const RoomByHost& plan, const Event& event) {
    Upstream& upstream = upstreams[event.upstream];
    --upstream.running;
    --in_flight[event.host][event.upstream];
    if (!upstream.waiting.empty()) {
      const auto [host, arrived_at] = upstream.waiting.front();
      upstream.waiting.pop_front();
      Start(host, event.upstream, arrived_at, event.at);
    }
    if (!queues[event.host].empty()) Send(plan, event.host, event.at);
  }

  // Runs `time` with these demands by host.
  void Run(const RoomByHost& plan, const std::vector<PlannedHost>& hosts,
           double time) {
    double total = 0;
    for (const PlannedHost& host : hosts) total += host.demand;
    double now = 0;
    while (now < time) {
      const double next = now - std::log(1 - random.Unit()) / total;
      while (!ends.empty() && ends.top().at <= next) {
        const Event event = ends.top();
        ends.pop();
        End(plan, event);
      }
      now = next;
      double pick = random.Unit() * total;
      size_t chosen = 0;
      while (chosen + 1 < hosts.size() && pick >= hosts[chosen].demand)
        pick -= hosts[chosen++].demand;
      ++arrived;
      queues[hosts[chosen].name].push_back(now);
      Send(plan, hosts[chosen].name, now);
    }
  }

  double LateShare() const { return 1.0 * late_starts / arrived; }
};

TEST_GROUP(RoomPlan){};

// Load pattern: 84 hosts, 98 upstreams of 2 slots at a load of 0.45, with
// speeds from 0.5 to 1.5.
TEST(RoomPlan, ManyHostsWithFewSlotsEachDoNotOverrunAnyUpstream) {
  const auto upstreams = Upstreams(98, 4);
  const auto hosts = Hosts(84, 0.45 * 98 * 2 / 84);
  const RoomByHost plan = PlanRoom(upstreams, RoomPart(2), hosts, {});
  CheckSums(plan, upstreams);
  for (const auto& [host, loans] : plan) {
    CHECK_TEXT(Total(loans) >= 2, host.c_str());
    CHECK_TEXT(loans.size() <= 5, host.c_str());
  }
  Replay replay;
  replay.Load(upstreams);
  replay.Run(plan, hosts, 200);
  CHECK(replay.most_held <= 4);
  // A caller with a target of four service times waits for two at most.
  CHECK_TEXT(replay.LateShare() < 0.03,
             std::to_string(replay.LateShare()).c_str());
}

// Load pattern: 122 hosts, 69 upstreams of 6 slots at a load of 0.45.
TEST(RoomPlan, FewUpstreamsOfMoreSlotsAreSharedByHosts) {
  const auto upstreams = Upstreams(69, 12);
  const auto hosts = Hosts(122, 0.45 * 69 * 6 / 122);
  const RoomByHost plan = PlanRoom(upstreams, RoomPart(6), hosts, {});
  CheckSums(plan, upstreams);
  for (const auto& [host, loans] : plan) {
    CHECK_TEXT(Total(loans) >= 3, host.c_str());
    CHECK_TEXT(loans.size() <= 5, host.c_str());
  }
  Replay replay;
  replay.slots = 6;
  replay.Load(upstreams);
  replay.Run(plan, hosts, 200);
  CHECK(replay.most_held <= 12);
  CHECK_TEXT(replay.LateShare() < 0.03,
             std::to_string(replay.LateShare()).c_str());
}

// Load pattern: a third of the upstreams are three times as slow.
TEST(RoomPlan, HostsWithSlowUpstreamsGetMoreOfThem) {
  const auto upstreams = Upstreams(98, 4, 33);
  double capacity = 0;
  for (const PlannedUpstream& upstream : upstreams)
    capacity += 2 * upstream.speed;
  const auto hosts = Hosts(84, 0.45 * capacity / 84);
  const RoomByHost plan = PlanRoom(upstreams, RoomPart(2), hosts, {});
  CheckSums(plan, upstreams);
  std::map<std::string, double> speeds;
  for (const PlannedUpstream& upstream : upstreams)
    speeds[upstream.id] = upstream.speed;
  const double share = 2 * capacity / 84;
  for (const auto& [host, loans] : plan) {
    double held = 0;
    for (const auto& [id, room] : loans) held += room * speeds[id];
    CHECK_TEXT(held >= share * 0.5, host.c_str());
  }
  Replay replay;
  replay.Load(upstreams);
  replay.Run(plan, hosts, 200);
  CHECK(replay.most_held <= 4);
}

// Load pattern: the hosts' demand swings by 0.55, in three groups out of phase.
TEST(RoomPlan, LoansFollowAWaveAndFewOfThemMove) {
  const auto upstreams = Upstreams(98, 4);
  const double mean = 0.45 * 98 * 2 / 84;
  RoomByHost plan;
  int moved = 0;
  constexpr int kRounds = 240;  // Two waves of 60 s, planned twice a second.
  for (int round = 0; round < kRounds; ++round) {
    std::vector<PlannedHost> hosts = Hosts(84, mean);
    for (size_t i = 0; i < hosts.size(); ++i) {
      const double phase =
          2 * M_PI * (round / 120.0 + static_cast<double>(i % 3) / 3);
      hosts[i].demand = mean * (1 + 0.55 * std::sin(phase));
    }
    const RoomByHost next = PlanRoom(upstreams, RoomPart(2), hosts, plan);
    CheckSums(next, upstreams);
    if (round > 0) moved += Moved(plan, next);
    plan = next;
    for (const auto& [host, loans] : plan)
      CHECK_TEXT(Total(loans) >= 1, host.c_str());
  }
  // Of 392 requests at once, less than a twentieth in a second.
  CHECK_TEXT(moved < kRounds / 2 * 392 / 20, std::to_string(moved).c_str());
}

TEST(RoomPlan, NothingMovesWhileDemandStaysNearlyTheSame) {
  const auto upstreams = Upstreams(98, 4);
  Random random(3);
  RoomByHost plan = PlanRoom(upstreams, 2, Hosts(84, 1), {});
  int moved = 0;
  for (int round = 0; round < 50; ++round) {
    std::vector<PlannedHost> hosts = Hosts(84, 1);
    for (PlannedHost& host : hosts) host.demand *= 0.9 + 0.2 * random.Unit();
    const RoomByHost next = PlanRoom(upstreams, 2, hosts, plan);
    moved += Moved(plan, next);
    plan = next;
  }
  CHECK_TEXT(moved <= 50, std::to_string(moved).c_str());
}

TEST(RoomPlan, EachHostGetsALoanHoweverLittleItAsksFor) {
  const auto upstreams = Upstreams(25, 4);
  std::vector<PlannedHost> hosts = Hosts(60, 0);
  for (int i = 0; i < 10; ++i) hosts[static_cast<size_t>(i)].demand = 20;
  const RoomByHost plan = PlanRoom(upstreams, 2, hosts, {});
  CheckSums(plan, upstreams);
  for (const auto& [host, loans] : plan)
    CHECK_TEXT(Total(loans) >= 1, host.c_str());
}

// Hosts that come later get room that others have.
TEST(RoomPlan, HostsThatReturnTogetherGetLoans) {
  const auto upstreams = Upstreams(25, 4);
  const RoomByHost before = PlanRoom(upstreams, 2, Hosts(4, 3), {});
  const RoomByHost plan = PlanRoom(upstreams, 2, Hosts(21, 1), before);
  CheckSums(plan, upstreams);
  for (const auto& [host, loans] : plan)
    CHECK_TEXT(Total(loans) >= 2, host.c_str());
}

// A zone is lost: its hosts and upstreams are gone.
// Upstreams turn slower, so that they have half the room.
TEST(RoomPlan, NoHostLosesAllItsLoansWhenThereIsLessRoom) {
  const auto hosts = Hosts(40, 1);
  const RoomByHost before = PlanRoom(Upstreams(25, 4), 2, hosts, {});
  const auto upstreams = Upstreams(25, 2);
  const RoomByHost plan = PlanRoom(upstreams, 2, hosts, before);
  CheckSums(plan, upstreams);
  for (const auto& [host, loans] : plan) {
    CHECK_TEXT(Total(loans) >= 1, host.c_str());
    // Room that another host has still cannot be used at once.
    int kept = 0;
    for (const auto& [upstream, room] : loans)
      kept += before.at(host).contains(upstream) ? 1 : 0;
    CHECK_TEXT(kept > 0, host.c_str());
  }
}

TEST(RoomPlan, OnlyUpstreamsThatThereAreAreLent) {
  const auto all = Upstreams(98, 4);
  const RoomByHost before = PlanRoom(all, 2, Hosts(84, 1), {});
  const std::vector<PlannedUpstream> left(all.begin(), all.begin() + 73);
  const RoomByHost plan = PlanRoom(left, 2, Hosts(63, 1.4), before);
  CheckSums(plan, left);
  LONGS_EQUAL(63, plan.size());
  for (const auto& [host, loans] : plan)
    CHECK_TEXT(Total(loans) >= 2, host.c_str());
}

TEST(RoomPlan, MoreHostsThanRoomOverrunNothing) {
  const auto upstreams = Upstreams(2, 2);
  const RoomByHost plan = PlanRoom(upstreams, 2, Hosts(10, 1), {});
  CheckSums(plan, upstreams);
  int with_room = 0;
  for (const auto& [host, loans] : plan) with_room += Total(loans) > 0 ? 1 : 0;
  LONGS_EQUAL(4, with_room);
}

TEST(RoomPlan, ThereMayBeNoUpstreamsOrNoHosts) {
  CHECK(PlanRoom({}, 2, Hosts(3, 1), {}).at("h0").empty());
  CHECK(PlanRoom(Upstreams(3, 4), 2, {}, {}).empty());
}

TEST(RoomPlan, ASlowUpstreamHasRoomForItsSlotsOnly) {
  LONGS_EQUAL(4, RoomOf(2, Duration::zero(), milliseconds(800)));
  LONGS_EQUAL(4, RoomOf(2, milliseconds(200), milliseconds(800)));
  LONGS_EQUAL(3, RoomOf(2, milliseconds(400), milliseconds(800)));
  LONGS_EQUAL(2, RoomOf(2, milliseconds(900), milliseconds(800)));
  LONGS_EQUAL(10, RoomOf(6, milliseconds(420), milliseconds(1000)));
}

}  // namespace
}  // namespace mimosadeal
