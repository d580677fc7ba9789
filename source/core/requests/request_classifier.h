// Reads from a caller's HTTP request what the router needs: service, shard,
// rank, idempotence, id and deadline. docs/CALLERS.md describes the interface.
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

// The custom headers that the callers' server must read.
std::vector<std::string> CallerHeaders();

struct ClassifierLimits {
  Duration default_deadline{};
  Duration longest_deadline{};
};

struct ClassifiedRequest {
  // Its ticket and hops are not set here.
  DispatchRequest dispatch;
  const ServiceConfiguration* service = nullptr;
  Duration deadline{};
};

struct Classification {
  bool accepted = false;
  ClassifiedRequest request;
  Problem problem;  // Set when not accepted.
};

Classification ClassifyRequest(const Configuration& configuration,
                               const ClassifierLimits& limits,
                               HttpRequest request);

}  // namespace mimosadeal
