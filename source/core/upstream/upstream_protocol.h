// The protocol between dispatchers and upstreams: paths, header names and the
// body of grants. docs/UPSTREAMS.md documents it for implementers of upstreams.
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
  // Id of the dispatcher's process. Each request carries it as well.
  std::string holder;
  std::string service;
  // Grants are ordered by the version of the ownership table, then by revision.
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

std::string EncodeGrantResponse(const GrantResponse& response);
// Errors: kMalformed.
Result<GrantResponse> DecodeGrantResponse(std::string_view text);

}  // namespace mimosadeal
