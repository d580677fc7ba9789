#include "balance/room_queue.h"

#include <algorithm>
#include <cmath>

namespace mimosadeal {
namespace {

// Each rank gets this part of the room of the next more urgent one while both
// wait. At two ranks the urgent one gets 0.8.
constexpr double kRankShare = 0.25;
// Less urgent ranks count as this one, so that they are not starved.
constexpr int kLowestRank = 3;
// Used while nothing is known of the rate, per second.
constexpr double kMinRate = 1;
// Refused callers return within this time, when the demand may have changed.
constexpr Duration kMaxReturnDelay = std::chrono::seconds(5);
// Refused callers return this many requests apart: other callers need the rest
// of the room meanwhile.
constexpr double kReturnSpacing = 2;
// The rate is a mean. A request is kept if it is expected to start within this
// part of the time that it has, so that few are refused after a wait.
constexpr double kUsableWait = 0.7;

double Weight(int rank) {
  return std::pow(kRankShare, std::clamp(rank, 0, kLowestRank));
}

Duration SendTime(double requests, double per_second) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(requests / std::max(kMinRate, per_second)));
}

double ProgressOf(const RoomQueue& queue, const RoomWaiter& waiter) {
  const auto known = queue.progress.find(waiter.route);
  return known == queue.progress.end() ? queue.served_progress : known->second;
}

// Returns the indices of the waiters in the order in which they are served.
std::vector<size_t> ServiceOrder(const RoomQueue& queue) {
  std::vector<std::pair<double, size_t>> keyed;
  std::map<std::string, double> progress;
  for (size_t i = 0; i < queue.waiters.size(); ++i) {
    const RoomWaiter& waiter = queue.waiters[i];
    const auto start =
        progress.try_emplace(waiter.route, ProgressOf(queue, waiter)).first;
    start->second += 1 / Weight(waiter.rank);
    keyed.emplace_back(start->second, i);
  }
  std::sort(keyed.begin(), keyed.end());
  std::vector<size_t> order;
  for (const auto& [end, index] : keyed) order.push_back(index);
  return order;
}

Duration NextReturn(RoomQueue& queue, size_t waiting, double per_second,
                    MonotonicTime now) {
  const double count = static_cast<double>(waiting);
  queue.return_at =
      std::min(std::max(queue.return_at, now + SendTime(count, per_second)) +
                   SendTime(kReturnSpacing, per_second),
               now + kMaxReturnDelay);
  return queue.return_at - now;
}

}  // namespace

void AddWaiter(RoomQueue& queue, const RoomWaiter& waiter) {
  const bool waits = std::any_of(
      queue.waiters.begin(), queue.waiters.end(),
      [&](const RoomWaiter& other) { return other.route == waiter.route; });
  // A class that did not wait does not catch up on the room that it left.
  if (!waits) {
    queue.progress[waiter.route] =
        std::max(ProgressOf(queue, waiter), queue.served_progress);
  }
  queue.waiters.push_back(waiter);
}

std::optional<uint64_t> NextWaiter(const RoomQueue& queue) {
  if (queue.waiters.empty()) return std::nullopt;
  return queue.waiters[ServiceOrder(queue).front()].ticket;
}

void TakeWaiter(RoomQueue& queue, uint64_t ticket) {
  const auto found = std::find_if(
      queue.waiters.begin(), queue.waiters.end(),
      [ticket](const RoomWaiter& waiter) { return waiter.ticket == ticket; });
  if (found == queue.waiters.end()) return;
  const double before = ProgressOf(queue, *found);
  queue.served_progress = before;
  queue.progress[found->route] = before + 1 / Weight(found->rank);
  queue.waiters.erase(found);
}

void RemoveWaiter(RoomQueue& queue, uint64_t ticket) {
  std::erase_if(queue.waiters, [ticket](const RoomWaiter& waiter) {
    return waiter.ticket == ticket;
  });
}

std::vector<RoomRefusal> TakeRefusals(RoomQueue& queue, double per_second,
                                      MonotonicTime now) {
  std::vector<RoomRefusal> refusals;
  size_t ahead = 0;
  for (const size_t index : ServiceOrder(queue)) {
    const RoomWaiter& waiter = queue.waiters[index];
    const Duration wait = SendTime(static_cast<double>(ahead + 1), per_second);
    const auto usable = Duration(static_cast<int64_t>(
        static_cast<double>((waiter.start_by - now).count()) * kUsableWait));
    const bool refused_on_arrival = waiter.arrived == now && wait > usable;
    const bool displaced = ahead > 0 && now + wait > waiter.drop_at;
    if (refused_on_arrival || displaced || now >= waiter.drop_at) {
      refusals.push_back({waiter.ticket, ahead, Duration::zero()});
    } else {
      ++ahead;
    }
  }
  for (RoomRefusal& refusal : refusals) {
    RemoveWaiter(queue, refusal.ticket);
    refusal.retry_after = NextReturn(queue, ahead, per_second, now);
  }
  return refusals;
}

Duration ReturnDelay(RoomQueue& queue, double per_second, MonotonicTime now) {
  return NextReturn(queue, queue.waiters.size(), per_second, now);
}

}  // namespace mimosadeal
