#include "balance/permit_queue.h"

#include <algorithm>
#include <cmath>

namespace mimosadeal {
namespace {

// Permits are saved up for kSavedSeconds, because requests arrive at random
// times; kFewSaved of them for as long as kFewSavedSeconds, and one in any
// case. The platform allows all hosts together 1.5 times the limit and 5
// requests in 4 s.
constexpr double kSavedSeconds = 0.5;
constexpr double kFewSaved = 2;
constexpr double kFewSavedSeconds = 4;
// Least rate at which permits are given, per second. The platform's allowance
// has room for it even at a limit of 0.
constexpr double kMinRate = 0.25;
// Longer than the permits of any waiting time, and short enough to order them
// at each change.
constexpr size_t kMaxWaiters = 64;
// Each rank gets this part of the permits of the next more urgent one.
constexpr double kRankShare = 0.5;
// Less urgent ranks count as this one.
constexpr int kLowestRank = 6;
// Refused waiters return within this time, when the demand may have changed.
constexpr Duration kMaxReturnDelay = std::chrono::seconds(5);

Duration PermitTime(double permits, double rate) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(permits / rate));
}

void Refill(PermitQueue& queue, MonotonicTime now) {
  if (queue.refilled_at != kNever && now > queue.refilled_at) {
    queue.available = std::min(
        MaxAvailable(queue.rate),
        queue.available + queue.rate * ToSeconds(now - queue.refilled_at));
  }
  queue.refilled_at = now;
}

double CostOf(int rank) { return 1 / WeightOf(rank); }

// Returns the waiters in the order of service.
std::vector<PermitWaiter> InServiceOrder(const PermitQueue& queue) {
  std::map<int, std::vector<PermitWaiter>> by_rank;
  for (const PermitWaiter& waiter : queue.waiters)
    by_rank[waiter.rank].push_back(waiter);
  std::map<int, double> progress;
  std::map<int, size_t> taken;
  for (const auto& [rank, waiters] : by_rank) {
    const auto known = queue.progress.find(rank);
    // A rank that did not wait has saved up nothing.
    progress[rank] =
        std::max(queue.served_progress,
                 known == queue.progress.end() ? 0 : known->second);
  }
  std::vector<PermitWaiter> ordered;
  while (ordered.size() < queue.waiters.size()) {
    int next = -1;
    for (const auto& [rank, waiters] : by_rank) {
      const bool waits = taken[rank] < waiters.size();
      if (waits && (next < 0 || progress[rank] < progress[next])) next = rank;
    }
    ordered.push_back(by_rank[next][taken[next]++]);
    progress[next] += CostOf(next);
  }
  return ordered;
}

void Remove(PermitQueue& queue, uint64_t ticket) {
  std::erase_if(queue.waiters, [ticket](const PermitWaiter& waiter) {
    return waiter.ticket == ticket;
  });
}

void CountServed(PermitQueue& queue, int rank) {
  double& progress = queue.progress[rank];
  progress = std::max(progress, queue.served_progress);
  queue.served_progress = progress;
  progress += CostOf(rank);
}

PermitOutcome MakeRefusal(PermitQueue& queue, uint64_t ticket, double rate,
                          MonotonicTime next_free, MonotonicTime now) {
  queue.return_at =
      std::min(std::max(queue.return_at, next_free) + PermitTime(1, rate),
               now + kMaxReturnDelay);
  return {ticket, false, queue.return_at - now, Duration::zero()};
}

// Returns when the waiter at this place in the order gets a permit, by the rate
// and by the room.
MonotonicTime ServedAt(const PermitQueue& queue, const PermitRoom& room,
                       const PermitWaiter& waiter, double place,
                       MonotonicTime now) {
  const auto free = static_cast<double>(room.free);
  const auto left = room.left_by_urgent.find(waiter.rank);
  const bool overtaken = !waiter.kept && left != room.left_by_urgent.end();
  const double per_second = room.per_second * (overtaken ? left->second : 1);
  return now + std::max(PermitTime(std::max(0.0, place - queue.available),
                                   queue.rate),
                        PermitTime(std::max(0.0, place - free), per_second));
}

}  // namespace

double WeightOf(int rank) { return std::pow(kRankShare, rank); }

double MaxAvailable(double rate) {
  return std::max(std::clamp(rate * kFewSavedSeconds, 1.0, kFewSaved),
                  rate * kSavedSeconds);
}

void SetRate(PermitQueue& queue, double limit, double share,
             MonotonicTime now) {
  Refill(queue, now);
  queue.rate = std::max(limit, kMinRate) * share;
  queue.available = std::min(queue.available, MaxAvailable(queue.rate));
}

void AddWaiter(PermitQueue& queue, const PermitWaiter& waiter) {
  queue.waiters.push_back(waiter);
  queue.waiters.back().rank = std::clamp(waiter.rank, 0, kLowestRank);
}

std::vector<PermitOutcome> TakeOutcomes(PermitQueue& queue, MonotonicTime now,
                                        const PermitRoom& room) {
  std::vector<PermitOutcome> outcomes;
  Refill(queue, now);
  PermitRoom left = room;
  const std::vector<PermitWaiter> ordered = InServiceOrder(queue);
  size_t remaining = 0;
  for (const PermitWaiter& waiter : ordered) {
    if (remaining == 0 && queue.available >= 1 && left.free > 0) {
      queue.available -= 1;
      --left.free;
      CountServed(queue, waiter.rank);
      Remove(queue, waiter.ticket);
      outcomes.push_back({waiter.ticket, true, Duration::zero(), waiter.hold});
      continue;
    }
    const MonotonicTime served_at =
        ServedAt(queue, left, waiter, static_cast<double>(remaining + 1), now);
    if (served_at <= LatestServiceOf(waiter) && remaining < kMaxWaiters) {
      ++remaining;
      continue;
    }
    Remove(queue, waiter.ticket);
    outcomes.push_back(MakeRefusal(queue, waiter.ticket,
                                   std::min(queue.rate, room.per_second),
                                   served_at, now));
  }
  for (PermitWaiter& waiter : queue.waiters) waiter.kept = true;
  return outcomes;
}

MonotonicTime LatestServiceOf(const PermitWaiter& waiter) {
  return waiter.kept ? std::max(waiter.until, waiter.keep_until) : waiter.until;
}

MonotonicTime NextPermitAt(const PermitQueue& queue) {
  if (queue.waiters.empty()) return kForever;
  const double missing = std::max(0.0, 1 - queue.available);
  // Rounded up, so that the permit is complete then.
  return queue.refilled_at + PermitTime(missing, queue.rate) + Duration(1000);
}

}  // namespace mimosadeal
