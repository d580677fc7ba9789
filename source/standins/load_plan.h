// Plan of a load run: classes of requests with their rates, and phases that
// change the rates.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace mimosadeal {

struct LoadClass {
  std::string name;
  std::string method = "GET";
  std::string
      path;  // "{key}" is replaced by the key, "{id}" by the request's number.
  std::string body;
  bool needs_id = false;  // Requests carry an idempotency key.
  double rate = 0;        // Requests per second.
  int keys = 1000;
  double hot_share = 0;  // Fraction of the requests that go to key 0.
  Duration deadline{};
  Duration target{};
  double worth = 1;  // Of one request that is served within its target.
};

struct LoadPhase {
  std::string name;
  Duration length{};
  // Rate multipliers by class; 1 for a class that is not listed.
  std::map<std::string, double> factors;
};

struct LoadPlan {
  std::vector<LoadClass> classes;
  std::vector<LoadPhase> phases;
  uint64_t seed = 1;
  size_t max_in_flight = 2000;  // Requests beyond it are not sent.
};

}  // namespace mimosadeal
