// Decides which part of the room of which upstream each host may use.
//
// The room of an upstream is the number of requests that it may hold at once. A
// host gets parts of few upstreams, so that its connections last and its own
// count of requests is the truth about its part. All room is lent, in
// proportion to what the hosts need in a burst, so that spare room is where a
// burst begins.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace mimosadeal {

struct PlannedUpstream {
  std::string id;
  int room = 0;
  double speed = 1;  // Relative to the mean of the service's upstreams.
};

struct PlannedHost {
  std::string name;
  double demand = 0;  // Requests in service at once.
};

using RoomByUpstream = std::map<std::string, int>;
// Loans by host.
using RoomByHost = std::map<std::string, RoomByUpstream>;

// Returns the room of an upstream: its slots, and a queue that is answered
// within three quarters of `target`. `service_time`: of one request in a slot;
// zero if unknown.
int RoomOf(int slots, Duration service_time, Duration target);

// Returns the size of the parts in which the room of an upstream is lent.
int RoomPart(int slots);

// Returns the loans that replace `current`. Invariant: the loans of an upstream
// sum to at most its room. Each host gets at least one request where there is
// room for all hosts. Loans move only away from hosts that have clearly more
// than their share, and to hosts that have clearly less.
RoomByHost PlanRoom(const std::vector<PlannedUpstream>& upstreams, int part,
                    const std::vector<PlannedHost>& hosts,
                    const RoomByHost& current);

}  // namespace mimosadeal
