// The settings of one entry host, read at start. What operators change at run
// time is in the configuration document instead (see configuration.h).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace mimosadeal {

// The value of platform.protocol for the users' platform with its object store.
inline constexpr char kObjectStoreProtocol[] = "object-store";

struct Settings {
  std::string host_id;
  std::string zone;
  std::string group;

  std::string callers_address;
  std::string operators_address;
  std::string inner_address;
  std::string readiness_address;  // Only used with kObjectStoreProtocol.

  std::string platform_address;
  std::string platform_protocol;
  std::string platform_bounds;  // Comma-separated name=value.
  Duration platform_timeout{};
  Duration platform_poll{};
  int64_t platform_connections = 0;

  Duration lease_ttl{};
  Duration lease_renew{};
  Duration promise_ttl{};
  Duration controller_silence{};
  Duration grant_ttl{};
  Duration grant_renew{};
  Duration upstream_silence{};
  double clock_rate_guard = 0;

  int64_t max_body_bytes = 0;
  int64_t max_response_bytes = 0;
  int64_t max_descriptors = 0;
  double cpu_share = 0;
  double link_mbps = 0;
  int64_t memory_mb = 0;  // 0 if unknown.
  int64_t max_header_blocks = 0;
  int64_t max_waiting_requests = 0;
  int64_t max_queue_per_upstream = 0;
  int64_t max_peer_backlog_bytes = 0;

  Duration default_deadline{};
  Duration longest_deadline{};
  Duration owner_wait{};
  Duration ledger_retention{};
  int64_t ledger_entries = 0;
  int64_t ledger_response_bytes = 0;
  double retry_budget = 0;
  double hedge_share = 0;  // Fraction of a service's requests; 0 if off.
  bool owner_room = false;
  bool await_moves = false;
  int64_t metric_tenants = 0;
  std::string scheduling;

  Duration drain_timeout{};

  double log_lines_per_second = 0;
  std::string log_level;
  std::string log_format;
  std::map<std::string, std::string> log_parts;

  // Other entry hosts to ask at start when the platform is unreachable.
  std::vector<std::string> seed_peers;
  // Replacements for addresses that the platform lists, for networks with
  // address translation.
  std::map<std::string, std::string> routes;
};

// Returns the address to connect to for one that the platform lists: its
// replacement in `routes`, or itself.
std::string RouteAddress(const std::map<std::string, std::string>& routes,
                         const std::string& address);

}  // namespace mimosadeal
