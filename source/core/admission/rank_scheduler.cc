#include "admission/rank_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosadeal {
namespace {

// Time constant of the slot usage that shares are measured on.
constexpr Duration kUsageWindow = std::chrono::milliseconds(1000);
// Weight of the newest service time in the mean, once so many were seen that
// the plain mean would give it less.
constexpr double kServiceWeight = 0.02;
// A rank below its share goes before more urgent ones once its head has waited
// this part of its target; until then urgent work goes first.
constexpr double kShareUrgency = 0.25;
// How many flows, for each slot, are looked at for requests that can still meet
// their target.
constexpr size_t kOvertakenLookahead = 8;
// Part of the time to its target that a request's predicted wait may fill. The
// rest is for what the prediction cannot know.
constexpr double kPredictedPart = 0.75;
// The least part of the slots that predictions count on for a rank.
constexpr double kLeastFraction = 0.01;

double Capacity(const SchedulerState& state) {
  return state.slots * ToSeconds(kUsageWindow);
}

void DecayUsage(SchedulerState& state, MonotonicTime now) {
  const Duration elapsed = now - state.usage_updated;
  if (elapsed <= Duration::zero()) return;
  const double factor = std::exp(-ToSeconds(elapsed) / ToSeconds(kUsageWindow));
  for (RankQueue& queue : state.queues) {
    // Running requests use their slots all the time; this is the integral of
    // use times decay.
    queue.used_slot_seconds =
        queue.used_slot_seconds * factor +
        queue.running * ToSeconds(kUsageWindow) * (1 - factor);
  }
  state.usage_updated = now;
}

double UsedFraction(const SchedulerState& state, size_t rank) {
  return state.queues[rank].used_slot_seconds / Capacity(state);
}

const WaitingRequest& Head(const RankQueue& queue) {
  return queue.flows.at(queue.turns.front()).front();
}

WaitingRequest PopHead(RankQueue& queue) {
  const uint64_t flow = queue.turns.front();
  queue.turns.pop_front();
  auto found = queue.flows.find(flow);
  WaitingRequest request = found->second.front();
  found->second.pop_front();
  --queue.size;
  if (found->second.empty()) {
    queue.flows.erase(found);
  } else {
    queue.turns.push_back(flow);
  }
  return request;
}

void Push(RankQueue& queue, const WaitingRequest& request) {
  std::deque<WaitingRequest>& flow = queue.flows[request.flow];
  if (flow.empty()) queue.turns.push_back(request.flow);
  flow.push_back(request);
  ++queue.size;
}

std::optional<size_t> MostUrgent(const SchedulerState& state) {
  for (size_t rank = 0; rank < state.queues.size(); ++rank) {
    if (state.queues[rank].size > 0) return rank;
  }
  return std::nullopt;
}

std::optional<size_t> EarliestArrival(const SchedulerState& state) {
  std::optional<size_t> best;
  for (size_t rank = 0; rank < state.queues.size(); ++rank) {
    if (state.queues[rank].size == 0) continue;
    if (!best.has_value() ||
        Head(state.queues[rank]).arrived < Head(state.queues[*best]).arrived)
      best = rank;
  }
  return best;
}

// Returns the rank that is furthest below its share and has waited long enough
// to claim it.
std::optional<size_t> BelowShare(const SchedulerState& state,
                                 MonotonicTime now) {
  std::optional<size_t> best;
  double best_ratio = 1.0;
  for (size_t rank = 0; rank < state.queues.size(); ++rank) {
    const RankQueue& queue = state.queues[rank];
    const RankPolicy& policy = state.ranks[rank];
    if (queue.size == 0 || policy.share <= 0) continue;
    const double waited = ToSeconds(now - Head(queue).arrived);
    if (waited < kShareUrgency * ToSeconds(policy.target)) continue;
    const double ratio = UsedFraction(state, rank) / policy.share;
    if (ratio >= best_ratio) continue;
    best_ratio = ratio;
    best = rank;
  }
  return best;
}

std::optional<size_t> SelectRank(const SchedulerState& state,
                                 MonotonicTime now) {
  switch (state.policy) {
    case SchedulingPolicy::kFirstCome:
      return EarliestArrival(state);
    case SchedulingPolicy::kStrictPriority:
      return MostUrgent(state);
    case SchedulingPolicy::kShares:
      break;
  }
  const auto below_share = BelowShare(state, now);
  return below_share.has_value() ? below_share : MostUrgent(state);
}

// Returns the part of the slots that `rank` can count on: what more urgent
// ranks leave, and what less urgent ones claim as their shares while they wait,
// but never less than its own share.
double ExpectedFraction(const SchedulerState& state, size_t rank) {
  double left = 1.0;
  for (size_t other = 0; other < state.queues.size(); ++other) {
    if (other == rank) continue;
    const double used = UsedFraction(state, other);
    const bool more_urgent = other < rank;
    left -= more_urgent ? used : std::min(used, state.ranks[other].share);
  }
  return std::max({left, state.ranks[rank].share, kLeastFraction});
}

// Requests that may be taken before one more request of `flow`: flows take
// turns, and those that have fewer requests now may get more before its turn
// comes.
size_t RequestsAhead(const RankQueue& queue, uint64_t flow) {
  const auto found = queue.flows.find(flow);
  const size_t own = found == queue.flows.end() ? 0 : found->second.size();
  const size_t others = queue.flows.size() - (own > 0 ? 1 : 0);
  return own + others * (own + 1);
}

bool CanMeetTarget(const SchedulerState& state, size_t rank,
                   const WaitingRequest& request, MonotonicTime now) {
  return now + state.queues[rank].mean_service <=
         request.arrived + state.ranks[rank].target;
}

// True when the rank's next request cannot meet its target any more, while
// enough others can to keep the slots busy. After a pause in which everything
// became late, nothing counts as overtaken.
bool IsOvertaken(const SchedulerState& state, size_t rank, MonotonicTime now) {
  const RankQueue& queue = state.queues[rank];
  const auto slots = static_cast<size_t>(state.slots);
  if (queue.size <= slots || CanMeetTarget(state, rank, Head(queue), now))
    return false;
  size_t in_time = 0;
  const size_t looked_at =
      std::min(queue.turns.size(), kOvertakenLookahead * slots);
  for (size_t i = 1; i < looked_at && in_time < slots; ++i) {
    const WaitingRequest& other = queue.flows.at(queue.turns[i]).front();
    if (CanMeetTarget(state, rank, other, now)) ++in_time;
  }
  return in_time >= slots;
}

}  // namespace

SchedulerState MakeScheduler(const ServiceConfiguration& service,
                             size_t max_queue, MonotonicTime now) {
  SchedulerState state;
  state.slots = service.slots;
  state.max_queue = max_queue;
  state.ranks = service.ranks;
  state.queues.resize(service.ranks.size());
  state.usage_updated = now;
  return state;
}

std::vector<WaitingRequest> Reconfigure(SchedulerState& state,
                                        const ServiceConfiguration& service) {
  std::vector<WaitingRequest> orphans;
  std::vector<RankQueue> queues(service.ranks.size());
  for (size_t rank = 0; rank < state.ranks.size(); ++rank) {
    const auto found =
        std::find_if(service.ranks.begin(), service.ranks.end(),
                     [&](const RankPolicy& policy) {
                       return policy.name == state.ranks[rank].name;
                     });
    RankQueue& queue = state.queues[rank];
    if (found == service.ranks.end()) {
      while (queue.size > 0) orphans.push_back(PopHead(queue));
      continue;
    }
    const auto index = static_cast<size_t>(found - service.ranks.begin());
    for (auto& [flow, requests] : queue.flows) {
      for (WaitingRequest& request : requests) request.rank = index;
    }
    queues[index] = std::move(queue);
  }
  state.slots = service.slots;
  state.ranks = service.ranks;
  state.queues = std::move(queues);
  return orphans;
}

Duration PredictWait(const SchedulerState& state, size_t rank, uint64_t flow) {
  const RankQueue& queue = state.queues[rank];
  if (state.running < state.slots && WaitingCount(state) == 0)
    return Duration::zero();
  double seconds = 0;
  // More urgent requests that already wait go first, at the full rate.
  for (size_t other = 0; other < rank; ++other) {
    seconds += static_cast<double>(state.queues[other].size) *
               ToSeconds(state.queues[other].mean_service) / state.slots;
  }
  // One more than those ahead: on average a slot is half way through its
  // present request.
  const double own = static_cast<double>(RequestsAhead(queue, flow)) + 0.5;
  seconds += own * ToSeconds(queue.mean_service) /
             (state.slots * ExpectedFraction(state, rank));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

AdmissionResult TryEnqueue(SchedulerState& state, const WaitingRequest& request,
                           MonotonicTime now) {
  DecayUsage(state, now);
  RankQueue& queue = state.queues[request.rank];
  if (state.policy != SchedulingPolicy::kShares) {
    if (WaitingCount(state) >= state.max_queue)
      return {false, queue.mean_service};
    Push(queue, request);
    return {true, Duration::zero()};
  }
  const Duration wait = PredictWait(state, request.rank, request.flow);
  const Duration allowed = std::min(request.deadline - request.arrived,
                                    state.ranks[request.rank].target);
  const Duration needed =
      std::chrono::duration_cast<Duration>(wait / kPredictedPart) +
      queue.mean_service;
  if (needed > allowed || WaitingCount(state) >= state.max_queue) {
    return {false, std::max(needed - allowed, queue.mean_service)};
  }
  Push(queue, request);
  return {true, Duration::zero()};
}

std::vector<WaitingRequest> ShedLateRequests(SchedulerState& state,
                                             MonotonicTime now) {
  std::vector<WaitingRequest> overtaken;
  if (state.policy != SchedulingPolicy::kShares) return overtaken;
  for (size_t rank = 0; rank < state.queues.size(); ++rank) {
    while (IsOvertaken(state, rank, now))
      overtaken.push_back(PopHead(state.queues[rank]));
  }
  return overtaken;
}

std::optional<WaitingRequest> DequeueNext(SchedulerState& state,
                                          MonotonicTime now) {
  if (state.running >= state.slots) return std::nullopt;
  DecayUsage(state, now);
  const auto rank = SelectRank(state, now);
  if (!rank.has_value()) return std::nullopt;
  ++state.running;
  ++state.queues[*rank].running;
  return PopHead(state.queues[*rank]);
}

void OnFinished(SchedulerState& state, size_t rank, Duration service_time,
                bool completed, MonotonicTime now) {
  DecayUsage(state, now);
  RankQueue& queue = state.queues[rank];
  --state.running;
  --queue.running;
  if (!completed) return;
  ++queue.completed;
  const double weight =
      std::max(kServiceWeight, 1.0 / static_cast<double>(queue.completed));
  const double mean = ToSeconds(queue.mean_service) * (1 - weight) +
                      ToSeconds(service_time) * weight;
  queue.mean_service =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(mean));
}

bool RemoveWaiting(SchedulerState& state, const WaitingRequest& request) {
  RankQueue& queue = state.queues[request.rank];
  const auto flow = queue.flows.find(request.flow);
  if (flow == queue.flows.end()) return false;
  const auto found = std::find_if(flow->second.begin(), flow->second.end(),
                                  [&](const WaitingRequest& waiting) {
                                    return waiting.ticket == request.ticket;
                                  });
  if (found == flow->second.end()) return false;
  flow->second.erase(found);
  --queue.size;
  if (!flow->second.empty()) return true;
  queue.flows.erase(flow);
  queue.turns.erase(
      std::find(queue.turns.begin(), queue.turns.end(), request.flow));
  return true;
}

std::vector<WaitingRequest> RemoveExpired(SchedulerState& state,
                                          MonotonicTime now) {
  std::vector<WaitingRequest> expired;
  for (const RankQueue& queue : state.queues) {
    for (const auto& [flow, requests] : queue.flows) {
      for (const WaitingRequest& request : requests) {
        if (request.deadline <= now) expired.push_back(request);
      }
    }
  }
  for (const WaitingRequest& request : expired) RemoveWaiting(state, request);
  return expired;
}

std::vector<WaitingRequest> RemoveAll(SchedulerState& state) {
  std::vector<WaitingRequest> all;
  for (RankQueue& queue : state.queues) {
    while (queue.size > 0) all.push_back(PopHead(queue));
  }
  return all;
}

size_t WaitingCount(const SchedulerState& state) {
  size_t count = 0;
  for (const RankQueue& queue : state.queues) count += queue.size;
  return count;
}

}  // namespace mimosadeal
