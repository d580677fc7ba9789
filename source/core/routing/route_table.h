// The configuration in force as request routing needs it: routes by host and
// path prefix, the services that they lead to, and the limits on callers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace mimosadeal {

enum class Idempotency : uint8_t { kIdempotent, kNonIdempotent };

// One of the services among which a route's requests are divided.
struct WeightedService {
  std::string service;
  double weight = 0;
};

struct Route {
  std::string name;
  std::string path_prefix;  // Begins and ends with a slash.
  Idempotency idempotency = Idempotency::kNonIdempotent;
  Duration timeout{};         // Longest wait for an answer.
  Duration target_latency{};  // Within which an answer has its full worth.
  int rank = 0;               // 0 is the most urgent.
  int max_upstreams = 1;      // That one request may be sent to.
  std::vector<WeightedService>
      weighted_services;  // Not empty; one for an undivided route.
};

struct ServiceConfig {
  std::string name;
  std::string health_path;
  int max_connections = 0;     // Of one upstream, from all callers together.
  bool keyed = false;          // Divided by key; each key has one owner.
  Duration key_warmup_time{};  // A key stays slow for this long after a move
                               // without its handover.
};

struct CallerLimits {
  size_t max_header_bytes = 0;
  size_t max_body_bytes = 0;
  Duration header_timeout{};
  Duration idle_timeout{};
};

struct RouteTable {
  uint64_t version = 0;
  std::map<std::string, ServiceConfig> services;
  // Invariant: the routes of a host are in order of falling prefix length.
  std::map<std::string, std::vector<Route>> hosts;
  CallerLimits limits;
};

// Puts the routes of each host into the order that FindRoute needs.
void SortRoutes(RouteTable& table);

// Returns the route with the longest prefix of `path` among those of `host`, or
// null. `host` may carry a port.
const Route* FindRoute(const RouteTable& table, std::string_view host,
                       std::string_view path);

}  // namespace mimosadeal
