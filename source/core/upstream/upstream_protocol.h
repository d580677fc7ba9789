// The interface of upstreams as this project expects it: names of headers, and
// the grant's body. docs/UPSTREAMS.md describes it for those who write
// upstreams.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "common/error.h"
#include "ownership/grant_tracker.h"

namespace mimosadeal {

inline constexpr char kGrantPath[] = "/mimosa/grant";
inline constexpr char kHealthPath[] = "/mimosa/health";

inline constexpr char kRequestIdHeader[] = "mimosa-request-id";
inline constexpr char kShardHeader[] = "mimosa-shard";
inline constexpr char kHolderHeader[] = "mimosa-holder";
inline constexpr char kTimeLeftHeader[] = "mimosa-deadline-ms";
inline constexpr char kOutcomeHeader[] = "mimosa-outcome";
inline constexpr char kIdempotencyKeyHeader[] = "idempotency-key";

struct GrantBody {
  std::string
      holder;  // The dispatcher's process, which each request names as well.
  std::string service;
  // Grants are ordered by the table's version, then by revision.
  TableVersion version;
  uint64_t revision = 0;
  uint32_t shard_count = 0;
  ShardSet shards;
  Duration ttl{};
  std::string token;
};

std::string EncodeGrant(const GrantBody& grant);
// Errors: kMalformed.
Result<GrantBody> DecodeGrant(std::string_view text);

struct GrantResponse {
  bool accepted = false;
  std::string token;
};

std::string EncodeGrantResponse(const GrantResponse& answer);
// Errors: kMalformed.
Result<GrantResponse> DecodeGrantResponse(std::string_view text);

}  // namespace mimosadeal
