// The requests of one service that wait at a host for room at its upstreams:
// which of them gets the next room, and which are refused at once.
//
// The waiters of a class (a route) are served in order of arrival, so that a
// caller that repeats a refused request does not go before those that wait.
// Classes share the room by weight of their rank: urgent ones go first, and
// none is starved. A waiter that cannot be served in time is refused with the
// time at which the queue has room for it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace mimosadeal {

struct RoomWaiter {
  uint64_t ticket = 0;  // Identifies the waiter to the caller of the queue.
  int rank = 0;         // 0 is the most urgent.
  std::string route;
  MonotonicTime arrived = kNever;
  // When it must be sent at last to be answered in time. It waits only if it is
  // expected to be sent before.
  MonotonicTime start_by = kNever;
  // One that waits is refused if it is not sent by then. Later than `start_by`:
  // after a wait, a late response is worth more than a refusal.
  MonotonicTime drop_at = kNever;
};

struct RoomRefusal {
  uint64_t ticket = 0;
  size_t ahead = 0;  // Waiters that would have been served before it.
  Duration retry_after{};
};

struct RoomQueue {
  std::vector<RoomWaiter> waiters;  // In order of arrival.
  // Progress of each class, in requests divided by the weight of its rank. The
  // class with the least progress is served next.
  std::map<std::string, double> progress;
  double served_progress = 0;  // Of the class that was served last.
  // Until when refused callers were told to stay away.
  MonotonicTime return_at = kNever;
};

void AddWaiter(RoomQueue& queue, const RoomWaiter& waiter);
// Returns the waiter that gets the next room.
std::optional<uint64_t> NextWaiter(const RoomQueue& queue);
// Removes a waiter that got room.
void TakeWaiter(RoomQueue& queue, uint64_t ticket);
// Removes a waiter that needs none any more.
void RemoveWaiter(RoomQueue& queue, uint64_t ticket);
// Removes the waiters that will not be sent in time if `per_second` requests
// are sent. Those that are refused together get different times.
std::vector<RoomRefusal> TakeRefusals(RoomQueue& queue, double per_second,
                                      MonotonicTime now);
// Returns how long a request that is refused now should stay away: until the
// queue is served, and after the callers that were refused before.
Duration ReturnDelay(RoomQueue& queue, double per_second, MonotonicTime now);

}  // namespace mimosadeal
