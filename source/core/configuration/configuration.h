// The configuration that operators change while the system runs: services,
// their ranks and rules, and drains. Hosts hold it as these plain structs;
// operators patch it as a JSON document.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/boot_clock.h"

namespace mimosadeal {

// A class of work within a service, and how operators want it served.
struct RankPolicy {
  std::string name;
  int order = 0;  // Lower is more urgent.
  Duration target{};
  double worth = 1;  // For one request served within target.
  double share =
      0;  // Of the slots' time, kept for this rank when others flood.
};

// Gives requests their rank and idempotence by method and path prefix.
struct RequestRule {
  std::string method;  // Empty for any method.
  std::string path_prefix;
  std::string rank;
  bool idempotent = false;
};

enum class ZoneLoss : uint8_t { kWait, kReassign };

struct ServiceConfiguration {
  std::string name;
  bool divided_by_key = true;
  int key_path_segment =
      0;  // Segment of the path, from 1, that is the key; 0 for none.
  uint32_t shards = 0;
  std::vector<std::string> zones;
  ZoneLoss zone_loss = ZoneLoss::kWait;
  Duration reassign_after{};
  bool upstreams_check_grants = true;
  int slots = 1;        // For each upstream.
  int connections = 1;  // For each upstream.
  bool accept_without_id = false;
  std::string default_rank;
  std::vector<RankPolicy> ranks;  // Sorted by order.
  std::vector<RequestRule> rules;
};

struct Configuration {
  uint64_t version = 0;
  std::map<std::string, ServiceConfiguration> services;
  std::set<std::string> drained_upstreams;
};

std::string_view ZoneLossName(ZoneLoss value);

const RankPolicy* FindRank(const ServiceConfiguration& service,
                           std::string_view rank_name);

// Returns the rule that applies: the one with the longest path prefix among
// those that match.
const RequestRule* FindRule(const ServiceConfiguration& service,
                            std::string_view method, std::string_view path);

// Returns the shard of `key`, by XXH3 of the service's name and the key.
uint32_t ShardOfKey(const ServiceConfiguration& service, std::string_view key);

// Returns the zone that `shard` belongs to unless it was reassigned: rendezvous
// hashing over the service's zones, so that every host computes the same from
// the configuration alone.
const std::string& HomeZone(const ServiceConfiguration& service,
                            uint32_t shard);

}  // namespace mimosadeal
