// Schedules the requests for one upstream: decides which requests are queued,
// which one is sent next, and which are refused immediately. Requests of a
// higher priority rank go first, but each rank has a guaranteed share of the
// slot time. See docs/design/ranks.md.
#pragma once

#include <optional>
#include <vector>

#include "admission/scheduler_state.h"

namespace mimosadeal {

SchedulerState MakeScheduler(const ServiceConfiguration& service,
                             size_t max_queue, MonotonicTime now);

// Applies changed ranks and slots. Queues of ranks that still exist under the
// same name are kept. Returns the queued requests of removed ranks, which the
// caller of this function has to refuse.
std::vector<WaitingRequest> Reconfigure(SchedulerState& state,
                                        const ServiceConfiguration& service);

struct AdmissionResult {
  bool admitted = false;
  // Set when refused: the time after which a retry may be admitted.
  Duration retry_after{};
};

// Queues the request, or refuses it if it is predicted to miss its rank's
// target or its own deadline.
AdmissionResult TryEnqueue(SchedulerState& state, const WaitingRequest& request,
                           MonotonicTime now);

// Removes and returns requests that can no longer meet their rank's target, as
// long as enough others of the rank can. To be called before DequeueNext. The
// caller of this function has to refuse them immediately.
std::vector<WaitingRequest> ShedLateRequests(SchedulerState& state,
                                             MonotonicTime now);

// Removes and returns the request to send next and counts a slot as used.
// Returns nothing if no slot is free or no request is queued.
std::optional<WaitingRequest> DequeueNext(SchedulerState& state,
                                          MonotonicTime now);

// Frees the slot of a request of `rank`. `service_time` is the time since the
// request was sent. `completed` is false for an aborted request: its time is
// left out of the mean, because it says nothing about the work.
void OnFinished(SchedulerState& state, size_t rank, Duration service_time,
                bool completed, MonotonicTime now);

// Removes a queued request. Returns false if it is not queued any more.
bool RemoveWaiting(SchedulerState& state, const WaitingRequest& request);

// Removes and returns the requests whose deadline has passed.
std::vector<WaitingRequest> RemoveExpired(SchedulerState& state,
                                          MonotonicTime now);

// Removes and returns all queued requests.
std::vector<WaitingRequest> RemoveAll(SchedulerState& state);

size_t WaitingCount(const SchedulerState& state);

// Predicts how long a request of `rank` and `flow` that arrives now would be
// queued before it is sent.
Duration PredictWait(const SchedulerState& state, size_t rank, uint64_t flow);

}  // namespace mimosadeal
