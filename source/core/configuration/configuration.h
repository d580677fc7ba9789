// The configuration that operators change at run time: services with their
// ranks and rules, and drained upstreams. Operators patch it as a JSON
// document, which is parsed into these structs.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/boot_clock.h"

namespace mimosadeal {

// A priority class of a service's requests, and how it is to be served.
struct RankPolicy {
  std::string name;
  int order = 0;      // Lower is more urgent.
  Duration target{};  // Latency within which a request should be served.
  double worth = 1;   // Value of one request that is served within its target.
  // Fraction of the slots' time reserved for this rank when other ranks are
  // overloaded.
  double share = 0;
};

// Determines the rank and the idempotence of requests by method and path
// prefix.
struct RequestRule {
  std::string method;  // Empty matches any method.
  std::string path_prefix;
  std::string rank;
  bool idempotent = false;
};

// What happens to a zone's shards after the loss of the zone: they wait for its
// return, or are reassigned to other zones after reassign_after.
enum class ZoneLoss : uint8_t { kWait, kReassign };

struct ServiceConfiguration {
  std::string name;
  bool divided_by_key = true;
  // Number of the path segment that is the key, counted from 1; 0 for none.
  int key_path_segment = 0;
  uint32_t shards = 0;
  std::vector<std::string> zones;
  ZoneLoss zone_loss = ZoneLoss::kWait;
  Duration reassign_after{};  // With ZoneLoss::kReassign.
  // Whether upstreams check that they hold a grant for a key.
  bool upstreams_check_grants = true;
  int slots = 1;        // Requests that one upstream runs at a time.
  int connections = 1;  // To one upstream.
  // Accept non-idempotent requests without an Idempotency-Key.
  bool accept_without_id = false;
  std::string default_rank;
  std::vector<RankPolicy> ranks;  // Invariant: sorted by order.
  std::vector<RequestRule> rules;
};

struct Configuration {
  uint64_t version = 0;
  std::map<std::string, ServiceConfiguration> services;
  std::set<std::string> drained_upstreams;
};

std::string_view ZoneLossName(ZoneLoss value);

// Returns null when the service has no such rank.
const RankPolicy* FindRank(const ServiceConfiguration& service,
                           std::string_view rank_name);

// Returns the matching rule with the longest path prefix, or null.
const RequestRule* FindRule(const ServiceConfiguration& service,
                            std::string_view method, std::string_view path);

// Returns the shard of `key`, computed by hashing the service's name and the
// key with XXH3.
uint32_t ShardOfKey(const ServiceConfiguration& service, std::string_view key);

// Returns the zone to which `shard` belongs unless it was reassigned.
// Rendezvous hashing over the service's zones lets every host compute the same
// result from the configuration alone.
const std::string& HomeZone(const ServiceConfiguration& service,
                            uint32_t shard);

}  // namespace mimosadeal
