// Decides which requests may be sent to an upstream that limits the requests
// per second of all hosts together. One host runs the queue of an upstream and
// gives a permit for each request.
//
// Permits become available at the rate of the limit. Few are saved up while
// nobody asks, and none at the start, because an earlier host may just have
// given permits. The waiters of a rank are served in order of arrival; ranks
// share the permits by weight, so that urgent requests go first and others are
// not starved. A waiter that cannot be served in time is refused at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <vector>

#include "common/boot_clock.h"

namespace mimosadeal {

struct PermitWaiter {
  uint64_t ticket = 0;  // Identifies the waiter to the caller of the queue.
  int rank = 0;         // 0 is the most urgent.
  MonotonicTime until = kNever;  // When the waiter needs its permit at last.
  // Until when a waiter that was kept goes on waiting, if that is later.
  MonotonicTime keep_until = kNever;
  // How long it may use a place at the upstream; see OwnerPlaces.
  Duration hold{};
  bool kept = false;  // It has waited since an earlier call of TakeOutcomes.
};

struct PermitOutcome {
  uint64_t ticket = 0;
  bool granted = false;
  // If not granted, when it is worth asking again. Waiters that are refused
  // together get times that are one permit apart.
  Duration retry_after{};
  Duration hold{};  // Of the waiter.
};

// What the upstream has room for, besides its limit.
struct PermitRoom {
  size_t free = std::numeric_limits<size_t>::max();  // Permits for now.
  // How many become free per second.
  double per_second = std::numeric_limits<double>::infinity();
  // By rank, the part of these that more urgent waiters will leave. Reckoned
  // with before a waiter is kept; ranks that are missing get all.
  std::map<int, double> left_by_urgent;
};

struct PermitQueue {
  double rate = 0;       // Permits per second; set by SetRate.
  double available = 0;  // Invariant: between 0 and MaxAvailable(rate).
  MonotonicTime refilled_at = kNever;
  std::vector<PermitWaiter> waiters;  // In order of arrival.
  // Progress of each rank, in permits divided by the rank's weight. The rank
  // with the least progress is served next.
  std::map<int, double> progress;
  double served_progress = 0;  // Of the rank that was served last.
  // Until when refused waiters were told to stay away.
  MonotonicTime return_at = kNever;
};

// Returns the weight of a rank among those that wait.
double WeightOf(int rank);

// Returns how many permits may be saved up at a rate.
double MaxAvailable(double rate);

// Changes the rate. `limit`: requests per second that the upstream takes, at
// least 0; `share`: the part of it that this queue gives. Even at 0 a permit is
// given from time to time, as only a response can show that the limit has
// ended.
void SetRate(PermitQueue& queue, double limit, double share, MonotonicTime now);

// Adds a waiter. A full queue refuses the last waiter in the order of service.
void AddWaiter(PermitQueue& queue, const PermitWaiter& waiter);

// Gives the permits that are available and that there is room for, and refuses
// the waiters that cannot be served in time.
std::vector<PermitOutcome> TakeOutcomes(PermitQueue& queue, MonotonicTime now,
                                        const PermitRoom& room = {});

// Returns when the waiter is refused at last.
MonotonicTime LatestServiceOf(const PermitWaiter& waiter);

// Returns when the next permit is available for a waiter; kForever if there is
// none.
MonotonicTime NextPermitAt(const PermitQueue& queue);

}  // namespace mimosadeal
