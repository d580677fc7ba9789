// Extracts from a caller's HTTP request what is needed for routing: service,
// shard, rank, idempotency, id and deadline. docs/CALLERS.md documents the
// interface for callers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "configuration/configuration.h"
#include "inner/request_messages.h"
#include "net/http_message.h"
#include "requests/problem.h"

namespace mimosadeal {

inline constexpr char kKeyHeader[] = "mimosa-key";
inline constexpr char kRankHeader[] = "mimosa-rank";
inline constexpr char kTenantHeader[] = "mimosa-tenant";
inline constexpr char kDeadlineHeader[] = "mimosa-deadline-ms";
inline constexpr char kIdHeader[] = "idempotency-key";

// Returns the names of the custom headers that the HTTP server for callers must
// read.
std::vector<std::string> CallerHeaders();

struct ClassifierLimits {
  Duration default_deadline{};
  Duration longest_deadline{};
};

struct ClassifiedRequest {
  // Complete except for `ticket` and `hops`.
  DispatchRequest dispatch;
  const ServiceConfiguration* service = nullptr;
  Duration deadline{};
};

struct Classification {
  bool accepted = false;
  ClassifiedRequest request;
  Problem problem;  // Set if not accepted.
};

Classification ClassifyRequest(const Configuration& configuration,
                               const ClassifierLimits& limits,
                               HttpRequest request);

}  // namespace mimosadeal
