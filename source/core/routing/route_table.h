// The configuration in the form that request routing uses: routes by host name
// and path prefix, their target services, and the limits on callers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace mimosadeal {

// A request with less time left is not sent: no upstream could respond in time.
inline constexpr Duration kMinTimeToSend = std::chrono::milliseconds(5);

enum class Idempotency : uint8_t { kIdempotent, kNonIdempotent };

// A target service of a route and its weight in the traffic split.
struct WeightedService {
  std::string service;
  double weight = 0;
};

struct Route {
  std::string name;
  std::string path_prefix;  // Starts and ends with a slash.
  Idempotency idempotency = Idempotency::kNonIdempotent;
  Duration timeout{};  // Longest wait for a response.
  // A response after a longer time loses part of its value to the caller.
  Duration target_latency{};
  int rank = 0;           // 0 is the highest priority.
  int max_upstreams = 1;  // Limit on the upstreams tried per request.
  // Not empty; a single entry when the route has no traffic split.
  std::vector<WeightedService> weighted_services;
};

struct ServiceConfig {
  std::string name;
  std::string health_path;
  int max_connections = 0;  // Per upstream, from all callers together.
  bool keyed = false;       // Partitioned by key; each key has one owner.
  // Requests of a key are slow for this long after the key moves without the
  // state that its previous owner hands over.
  Duration key_warmup_time{};
  // An upstream is cold for this long after its start.
  Duration warmup_time{};
  // Requests per second that a cold upstream takes from all hosts together; 0
  // if the service states no limit.
  double warmup_requests_per_second = 0;
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
  // Keyed by host name without port. Invariant: the routes of a host name are
  // sorted by decreasing prefix length.
  std::map<std::string, std::vector<Route>> hosts;
  CallerLimits limits;
};

// Sorts the routes of each host name as FindRoute requires.
void SortRoutes(RouteTable& table);

// Returns the route of `host` with the longest prefix that matches `path`, or
// null. `host` may include a port.
const Route* FindRoute(const RouteTable& table, std::string_view host,
                       std::string_view path);

}  // namespace mimosadeal
