#include "admission/rank_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosadeal {
namespace {

// Time constant of the decaying slot usage that is compared with the shares.
constexpr Duration kUsageWindow = std::chrono::milliseconds(1000);
// Weight of a new sample in the mean service time. The plain mean is used until
// its weight for a new sample is lower than this.
constexpr double kMinSampleWeight = 0.02;
// A rank below its share is served before ranks of higher priority once its
// first request has waited for this part of the target.
constexpr double kShareWaitFraction = 0.25;
// Number of flows per slot that are searched for requests that can still meet
// their target.
constexpr size_t kShedLookahead = 8;
// Part of the time to its target that a request's predicted wait may use. The
// remainder covers prediction errors.
constexpr double kPredictedWaitFraction = 0.75;
// Lower bound of the part of the slots that predictions assume for a rank.
constexpr double kMinExpectedFraction = 0.01;

double Capacity(const SchedulerState& state) {
  return state.slots * ToSeconds(kUsageWindow);
}

void DecayUsage(SchedulerState& state, MonotonicTime now) {
  const Duration elapsed = now - state.usage_updated;
  if (elapsed <= Duration::zero()) return;
  const double factor = std::exp(-ToSeconds(elapsed) / ToSeconds(kUsageWindow));
  for (RankQueue& queue : state.queues) {
    // Running requests use their slots for the whole elapsed time. The second
    // term is the integral of that usage with its decay.
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
  return queue.flows.at(queue.flow_order.front()).front();
}

WaitingRequest PopHead(RankQueue& queue) {
  const uint64_t flow = queue.flow_order.front();
  queue.flow_order.pop_front();
  auto found = queue.flows.find(flow);
  WaitingRequest request = found->second.front();
  found->second.pop_front();
  --queue.size;
  if (found->second.empty()) {
    queue.flows.erase(found);
  } else {
    queue.flow_order.push_back(flow);
  }
  return request;
}

void Push(RankQueue& queue, const WaitingRequest& request) {
  std::deque<WaitingRequest>& flow = queue.flows[request.flow];
  if (flow.empty()) queue.flow_order.push_back(request.flow);
  flow.push_back(request);
  ++queue.size;
}

std::optional<size_t> HighestPriority(const SchedulerState& state) {
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

// Returns the rank that is furthest below its share among those whose first
// request has waited long enough.
std::optional<size_t> BelowShare(const SchedulerState& state,
                                 MonotonicTime now) {
  std::optional<size_t> best;
  double best_ratio = 1.0;
  for (size_t rank = 0; rank < state.queues.size(); ++rank) {
    const RankQueue& queue = state.queues[rank];
    const RankPolicy& policy = state.ranks[rank];
    if (queue.size == 0 || policy.share <= 0) continue;
    const double waited = ToSeconds(now - Head(queue).arrived);
    if (waited < kShareWaitFraction * ToSeconds(policy.target)) continue;
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
      return HighestPriority(state);
    case SchedulingPolicy::kShares:
      break;
  }
  const auto below_share = BelowShare(state, now);
  return below_share.has_value() ? below_share : HighestPriority(state);
}

// Returns the part of the slots that predictions assume for `rank`: what is
// left after the usage of ranks of higher priority and the usage, up to their
// shares, of ranks of lower priority. At least the rank's own share.
double ExpectedFraction(const SchedulerState& state, size_t rank) {
  double available = 1.0;
  for (size_t other = 0; other < state.queues.size(); ++other) {
    if (other == rank) continue;
    const double used = UsedFraction(state, other);
    const bool higher_priority = other < rank;
    available -=
        higher_priority ? used : std::min(used, state.ranks[other].share);
  }
  return std::max({available, state.ranks[rank].share, kMinExpectedFraction});
}

// Returns an upper bound for the requests of the rank that are dequeued before
// a new request of `flow`. Flows are served round robin, and flows with fewer
// requests now may receive more in the meantime.
size_t RequestsAhead(const RankQueue& queue, uint64_t flow) {
  const auto found = queue.flows.find(flow);
  const size_t own_requests =
      found == queue.flows.end() ? 0 : found->second.size();
  const size_t other_flows = queue.flows.size() - (own_requests > 0 ? 1 : 0);
  return own_requests + other_flows * (own_requests + 1);
}

bool CanMeetTarget(const SchedulerState& state, size_t rank,
                   const WaitingRequest& request, MonotonicTime now) {
  return now + state.queues[rank].mean_service <=
         request.arrived + state.ranks[rank].target;
}

// Returns true if the rank's next request can no longer meet its target while
// enough other requests can to keep all slots busy. If all requests are late,
// for example after a stall, none is shed.
bool ShouldShedHead(const SchedulerState& state, size_t rank,
                    MonotonicTime now) {
  const RankQueue& queue = state.queues[rank];
  const auto slots = static_cast<size_t>(state.slots);
  if (queue.size <= slots || CanMeetTarget(state, rank, Head(queue), now))
    return false;
  size_t on_time = 0;
  const size_t search_limit =
      std::min(queue.flow_order.size(), kShedLookahead * slots);
  for (size_t i = 1; i < search_limit && on_time < slots; ++i) {
    const WaitingRequest& other = queue.flows.at(queue.flow_order[i]).front();
    if (CanMeetTarget(state, rank, other, now)) ++on_time;
  }
  return on_time >= slots;
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
  std::vector<WaitingRequest> removed;
  std::vector<RankQueue> queues(service.ranks.size());
  for (size_t rank = 0; rank < state.ranks.size(); ++rank) {
    const auto found =
        std::find_if(service.ranks.begin(), service.ranks.end(),
                     [&](const RankPolicy& policy) {
                       return policy.name == state.ranks[rank].name;
                     });
    RankQueue& queue = state.queues[rank];
    if (found == service.ranks.end()) {
      while (queue.size > 0) removed.push_back(PopHead(queue));
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
  return removed;
}

Duration PredictWait(const SchedulerState& state, size_t rank, uint64_t flow) {
  const RankQueue& queue = state.queues[rank];
  if (state.running < state.slots && WaitingCount(state) == 0)
    return Duration::zero();
  double seconds = 0;
  // Queued requests of higher priority are served first, by all slots.
  for (size_t other = 0; other < rank; ++other) {
    seconds += static_cast<double>(state.queues[other].size) *
               ToSeconds(state.queues[other].mean_service) / state.slots;
  }
  // The additional half is for the request in a slot, which on average is half
  // done.
  const double own_requests =
      static_cast<double>(RequestsAhead(queue, flow)) + 0.5;
  seconds += own_requests * ToSeconds(queue.mean_service) /
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
      std::chrono::duration_cast<Duration>(wait / kPredictedWaitFraction) +
      queue.mean_service;
  if (needed > allowed || WaitingCount(state) >= state.max_queue) {
    return {false, std::max(needed - allowed, queue.mean_service)};
  }
  Push(queue, request);
  return {true, Duration::zero()};
}

std::vector<WaitingRequest> ShedLateRequests(SchedulerState& state,
                                             MonotonicTime now) {
  std::vector<WaitingRequest> late_requests;
  if (state.policy != SchedulingPolicy::kShares) return late_requests;
  for (size_t rank = 0; rank < state.queues.size(); ++rank) {
    while (ShouldShedHead(state, rank, now))
      late_requests.push_back(PopHead(state.queues[rank]));
  }
  return late_requests;
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
      std::max(kMinSampleWeight, 1.0 / static_cast<double>(queue.completed));
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
  queue.flow_order.erase(std::find(queue.flow_order.begin(),
                                   queue.flow_order.end(), request.flow));
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
