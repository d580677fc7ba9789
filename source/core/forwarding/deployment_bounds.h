// What a deployment holds its router to. The defaults serve where it states
// nothing.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

struct DeploymentBounds {
  // From the store's acknowledgement of an upstream's leaving until no request
  // may reach it.
  Duration drain = std::chrono::seconds(2);
  // From the store's acknowledgement of a configuration until it must be in
  // force.
  Duration configuration_apply = std::chrono::seconds(2);
  // From SIGTERM until the process is killed.
  Duration stop_grace = std::chrono::seconds(6);
  // The longest hold that an upstream accepts.
  Duration longest_hold = std::chrono::seconds(10);
  // Retries that all hosts together may send to a service within the window:
  // the ratio of its requests, and a fixed number besides.
  double retry_ratio = 0.2;
  Duration retry_window = std::chrono::seconds(10);
  double retry_allowance = 100;
};

}  // namespace mimosadeal
