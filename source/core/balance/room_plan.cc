#include "balance/room_plan.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>
#include <utility>

#include "common/ids.h"

namespace mimosadeal {
namespace {

// Requests arrive at random, so the number in service varies by about the root
// of its mean; twice that is exceeded in 1 of 40 cases.
constexpr double kBurstDeviations = 2;
// The share of a host without demand, in requests at once: its first requests
// need room before it can report them.
constexpr double kIdleShare = 0.25;
// A host gives up room above this multiple of its share, and gets room of
// others below kPoorShare of it. Measured demand varies by less from one report
// to the next.
constexpr double kRichShare = 1.35;
constexpr double kPoorShare = 0.65;
// A host that has parts of this many upstreams gets more room at the same ones.
constexpr size_t kFewUpstreams = 3;
// A request at the end of an upstream's queue is answered within this share of
// the target latency: the rest is for slower requests than the mean.
constexpr double kQueuedShare = 0.75;

struct Planner {
  const std::vector<PlannedUpstream>& upstreams;
  int part;
  RoomByHost loans;
  std::map<std::string, double> shares;  // By host, in room times speed.
  std::map<std::string, double> held;    // As `shares`.
  std::map<std::string, int> free;       // By upstream.
  std::map<std::string, double> speeds;  // By upstream.

  // Changes a loan; `room` may be negative.
  void Add(const std::string& host, const std::string& upstream, int room) {
    RoomByUpstream& own = loans[host];
    own[upstream] += room;
    if (own[upstream] <= 0) own.erase(upstream);
    free[upstream] -= room;
    held[host] += room * speeds[upstream];
  }

  double Fill(const std::string& host) const {
    return held.at(host) / shares.at(host);
  }
};

Planner MakePlanner(const std::vector<PlannedUpstream>& upstreams, int part,
                    const std::vector<PlannedHost>& hosts) {
  Planner planner{upstreams, std::max(1, part), {}, {}, {}, {}, {}};
  double capacity = 0;
  for (const PlannedUpstream& upstream : upstreams) {
    planner.free[upstream.id] = upstream.room;
    planner.speeds[upstream.id] = upstream.speed;
    capacity += upstream.room * upstream.speed;
  }
  double sum = 0;
  for (const PlannedHost& host : hosts) {
    const double demand = std::max(0.0, host.demand);
    planner.shares[host.name] =
        demand + kBurstDeviations * std::sqrt(demand) + kIdleShare;
    planner.held[host.name] = 0;
    sum += planner.shares[host.name];
  }
  for (auto& [name, share] : planner.shares) share *= capacity / sum;
  return planner;
}

// Takes one request's room at the upstream from the host that has the most
// above its share.
void TakeOne(Planner& planner, const std::string& upstream) {
  std::string richest;
  for (const auto& [host, loans] : planner.loans) {
    if (loans.contains(upstream) &&
        (richest.empty() || planner.Fill(host) > planner.Fill(richest))) {
      richest = host;
    }
  }
  planner.Add(richest, upstream, -1);
}

// Keeps the loans of hosts and upstreams that there are still, as far as the
// upstream has room.
void Keep(Planner& planner, const RoomByHost& current) {
  for (const auto& [host, loans] : current) {
    if (!planner.shares.contains(host)) continue;
    for (const auto& [upstream, room] : loans) {
      if (room > 0 && planner.free.contains(upstream))
        planner.Add(host, upstream, room);
    }
  }
  for (const PlannedUpstream& upstream : planner.upstreams) {
    while (planner.free[upstream.id] < 0) TakeOne(planner, upstream.id);
  }
}

// Takes up to one part of the host's smallest loan, but not its last request.
// Returns whether it had any to give.
bool TakePart(Planner& planner, const std::string& host) {
  const RoomByUpstream& own = planner.loans[host];
  int total = 0;
  const std::pair<const std::string, int>* smallest = nullptr;
  for (const auto& loan : own) {
    total += loan.second;
    if (smallest == nullptr || loan.second < smallest->second) smallest = &loan;
  }
  const int taken = smallest == nullptr
                        ? 0
                        : std::min({planner.part, smallest->second, total - 1});
  if (taken <= 0) return false;
  planner.Add(host, std::string(smallest->first), -taken);
  return true;
}

void TakeFromRich(Planner& planner) {
  for (const auto& [host, share] : planner.shares) {
    if (planner.Fill(host) <= kRichShare) continue;
    while (planner.held[host] - planner.part >= share &&
           TakePart(planner, host)) {
    }
  }
}

// Returns the free upstream that suits the host best, or null.
const PlannedUpstream* FindFree(const Planner& planner,
                                const std::string& host) {
  const RoomByUpstream& own = planner.loans.at(host);
  const bool keeps_to_own = own.size() >= kFewUpstreams;
  const uint64_t seed = HashText(host);
  const PlannedUpstream* best = nullptr;
  std::tuple<int, bool, int, uint64_t> best_score;
  for (const PlannedUpstream& upstream : planner.upstreams) {
    const int free = planner.free.at(upstream.id);
    if (free <= 0) continue;
    const std::tuple<int, bool, int, uint64_t> score = {
        std::min(free, planner.part), own.contains(upstream.id) == keeps_to_own,
        free, HashText(upstream.id, seed)};
    if (best != nullptr && score <= best_score) continue;
    best = &upstream;
    best_score = score;
  }
  return best;
}

std::string PoorestHost(const Planner& planner) {
  std::string poorest;
  for (const auto& [host, share] : planner.shares) {
    if (poorest.empty() || planner.Fill(host) < planner.Fill(poorest))
      poorest = host;
  }
  return poorest;
}

// Returns the host that has most above its share; empty if none has a part to
// give.
std::string RichestHost(const Planner& planner, bool above_share) {
  std::string richest;
  double most = 0;
  for (const auto& [host, share] : planner.shares) {
    const double above = planner.held.at(host) - share;
    int room = 0;
    for (const auto& [upstream, part] : planner.loans.at(host)) room += part;
    if (room < 2 || (above_share && above <= 0)) continue;
    if (richest.empty() || above > most) {
      richest = host;
      most = above;
    }
  }
  return richest;
}

void GiveFree(Planner& planner) {
  for (;;) {
    const std::string host = PoorestHost(planner);
    const PlannedUpstream* upstream = FindFree(planner, host);
    if (upstream == nullptr) return;
    planner.Add(host, upstream->id,
                std::min(planner.part, planner.free[upstream->id]));
  }
}

// Moves room to hosts that have much less than their share, or none.
void FeedPoor(Planner& planner) {
  const size_t limit = planner.shares.size() * 2;
  for (size_t moves = 0; moves < limit; ++moves) {
    const std::string poor = PoorestHost(planner);
    const bool has_none = planner.loans.at(poor).empty();
    if (!has_none && planner.Fill(poor) >= kPoorShare) return;
    const std::string rich = RichestHost(planner, !has_none);
    if (rich.empty() || rich == poor || !TakePart(planner, rich)) return;
    const PlannedUpstream* upstream = FindFree(planner, poor);
    if (upstream == nullptr) return;
    planner.Add(poor, upstream->id,
                std::min(planner.part, planner.free[upstream->id]));
  }
}

}  // namespace

int RoomOf(int slots, Duration service_time, Duration target) {
  slots = std::max(1, slots);
  if (service_time <= Duration::zero()) return 2 * slots;
  const double rounds =
      kQueuedShare * ToSeconds(target) / ToSeconds(service_time) - 1;
  return slots + std::clamp(static_cast<int>(rounds * slots), 0, slots);
}

int RoomPart(int slots) { return std::max(2, slots / 2); }

RoomByHost PlanRoom(const std::vector<PlannedUpstream>& upstreams, int part,
                    const std::vector<PlannedHost>& hosts,
                    const RoomByHost& current) {
  if (hosts.empty()) return {};
  Planner planner = MakePlanner(upstreams, part, hosts);
  for (const PlannedHost& host : hosts) planner.loans[host.name];
  Keep(planner, current);
  TakeFromRich(planner);
  GiveFree(planner);
  FeedPoor(planner);
  GiveFree(planner);
  return planner.loans;
}

}  // namespace mimosadeal
