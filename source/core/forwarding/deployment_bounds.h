// Time limits and retry limits that a deployment sets for its router. The
// defaults apply to limits that it does not state.
#pragma once

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
};

}  // namespace mimosadeal
