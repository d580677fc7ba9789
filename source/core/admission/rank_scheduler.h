// Decides, for one upstream, which requests wait, which is sent next, and which
// are refused at once. See docs/design/ranks.md.
#pragma once

#include <optional>
#include <vector>

#include "admission/scheduler_state.h"

namespace mimosadeal {

SchedulerState MakeScheduler(const ServiceConfiguration& service,
                             size_t max_queue, MonotonicTime now);

// Takes over changed ranks and slots. Queues of ranks that keep their name are
// kept; requests of a rank that is gone are returned, to be refused.
std::vector<WaitingRequest> Reconfigure(SchedulerState& state,
                                        const ServiceConfiguration& service);

struct AdmissionResult {
  bool admitted = false;
  // For a refusal: the time after which a retry may be served.
  Duration retry_after{};
};

// Queues the request, or refuses it when it could not be served within its
// rank's target and its own deadline.
AdmissionResult TryEnqueue(SchedulerState& state, const WaitingRequest& request,
                           MonotonicTime now);

// Removes and returns requests that cannot meet their rank's target any more
// while enough others of the rank can. To be called before DequeueNext; they
// get their final answer at once.
std::vector<WaitingRequest> ShedLateRequests(SchedulerState& state,
                                             MonotonicTime now);

// Returns the request to send next and counts its slot as taken; nothing when
// no slot is free or no request waits.
std::optional<WaitingRequest> DequeueNext(SchedulerState& state,
                                          MonotonicTime now);

// Frees the slot of a request of `rank`. `service_time` is counted from its
// sending; `completed` is false for one that was cut off, whose time says
// nothing about the work.
void OnFinished(SchedulerState& state, size_t rank, Duration service_time,
                bool completed, MonotonicTime now);

// Removes a request that still waits. Returns false when it does not.
bool RemoveWaiting(SchedulerState& state, const WaitingRequest& request);

// Removes and returns the requests whose deadline has passed.
std::vector<WaitingRequest> RemoveExpired(SchedulerState& state,
                                          MonotonicTime now);

// Removes and returns all waiting requests.
std::vector<WaitingRequest> RemoveAll(SchedulerState& state);

size_t WaitingCount(const SchedulerState& state);

// Predicts how long a request of `rank` and `flow` that arrives now would wait
// before it is sent.
Duration PredictWait(const SchedulerState& state, size_t rank, uint64_t flow);

}  // namespace mimosadeal
