// Time limits and retry limits that a deployment sets for its router. The
// defaults apply to limits that it does not state.
#pragma once

#include <optional>

#include "common/boot_clock.h"

namespace mimosadeal {

struct DeploymentBounds {
  // From the store's acknowledgement that an upstream is leaving until no more
  // requests may reach it.
  Duration drain = std::chrono::seconds(2);
  // From the store's acknowledgement of a configuration until it must be in
  // force.
  Duration configuration_apply = std::chrono::seconds(2);
  // From SIGTERM until the process is killed.
  Duration stop_grace = std::chrono::seconds(6);
  // The longest hold, the duration of a grant of keys, that an upstream
  // accepts.
  Duration longest_hold = std::chrono::seconds(10);
  // Retries that all hosts together may send to a service within the window:
  // this ratio of its requests, plus a fixed number.
  double retry_ratio = 0.2;
  Duration retry_window = std::chrono::seconds(10);
  double retry_allowance = 100;
  // Requests per second that a cold upstream tolerates from all hosts together:
  // this multiple of what its service states, plus a fixed number. 0 if the
  // deployment sets no limit.
  double cold_ratio = 0;
  double cold_allowance = 0;
  // From the store's acknowledgement that an availability zone is to be
  // evacuated until no more requests may reach its upstreams. Unset if
  // operators of the deployment evacuate no zones.
  std::optional<Duration> evacuation;
  // Whether upstreams have room for few requests, and may reset or never answer
  // those beyond it.
  bool scarce_room = false;
};

}  // namespace mimosadeal
