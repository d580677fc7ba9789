#include "upstream/upstream_protocol.h"

#include <nlohmann/json.hpp>

#include "common/json_text.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

constexpr uint32_t kMaxShards = 65536;

}  // namespace

std::string EncodeGrant(const GrantBody& grant) {
  return JsonText({{"holder", grant.holder},
                   {"service", grant.service},
                   {"term", grant.version.term},
                   {"sequence", grant.version.sequence},
                   {"revision", grant.revision},
                   {"shard_count", grant.shard_count},
                   {"shards", grant.shards.ToRanges()},
                   {"ttl_us", ToMicroseconds(grant.ttl)},
                   {"token", grant.token}});
}

Result<GrantBody> DecodeGrant(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  const Error malformed =
      MakeError(ErrorCode::kMalformed, "the grant is malformed");
  if (!json.is_object()) return malformed;
  for (const char* name : {"holder", "service", "shards", "token"}) {
    if (!json.contains(name) || !json[name].is_string()) return malformed;
  }
  for (const char* name :
       {"term", "sequence", "revision", "shard_count", "ttl_us"}) {
    if (!json.contains(name) || !json[name].is_number_unsigned())
      return malformed;
  }
  GrantBody grant;
  grant.holder = json["holder"].get<std::string>();
  grant.service = json["service"].get<std::string>();
  grant.version = {json["term"].get<uint64_t>(),
                   json["sequence"].get<uint64_t>()};
  grant.revision = json["revision"].get<uint64_t>();
  grant.shard_count = json["shard_count"].get<uint32_t>();
  if (grant.shard_count > kMaxShards) return malformed;
  BOOST_OUTCOME_TRY(parsed_shards,
                    ShardSet::FromRanges(json["shards"].get<std::string>(),
                                         grant.shard_count));
  grant.shards = std::move(parsed_shards);
  grant.ttl = std::chrono::microseconds(json["ttl_us"].get<int64_t>());
  grant.token = json["token"].get<std::string>();
  return grant;
}

std::string EncodeGrantResponse(const GrantResponse& response) {
  return JsonText({{"accepted", response.accepted}, {"token", response.token}});
}

Result<GrantResponse> DecodeGrantResponse(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("accepted") ||
      !json["accepted"].is_boolean() || !json.contains("token") ||
      !json["token"].is_string()) {
    return MakeError(ErrorCode::kMalformed,
                     "the response to a grant is malformed");
  }
  return GrantResponse{json["accepted"].get<bool>(),
                       json["token"].get<std::string>()};
}

}  // namespace mimosadeal
