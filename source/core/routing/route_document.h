// A configuration in the order and with the places of its document, and what is
// wrong with the document. Hosts make their route table from it; the operators'
// check reports on it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "routing/route_table.h"

namespace mimosadeal {

enum class ConfigurationField : uint8_t {
  kVersion,
  kServices,
  kHosts,
  kLimits,
  // Of a service; kName is also a route's.
  kName,
  kHealthPath,
  kMaxConnections,
  kKeyed,
  kKeyWarmupTime,
  kWarmupTime,
  kWarmupRequestsPerSecond,
  // Of a host name.
  kHost,
  kRoutes,
  // Of a route.
  kPathPrefix,
  kIdempotency,
  kTimeout,
  kTargetLatency,
  kRank,
  kMaxUpstreams,
  kService,
  kSplit,
  kWeight,
  // Of the limits on callers.
  kMaxHeaderBytes,
  kMaxBodyBytes,
  kHeaderTimeout,
  kIdleTimeout,
};

inline constexpr size_t kConfigurationFields = 26;

enum class ProblemEffect : uint8_t {
  kRejected,      // Hosts reject the whole configuration.
  kIgnored,       // Hosts use another value.
  kUnknownField,  // Hosts do not read the field.
};

struct DocumentProblem {
  ProblemEffect effect = ProblemEffect::kRejected;
  std::string pointer;  // JSON Pointer (RFC 6901).
  std::string message;
};

struct DocumentService {
  std::string pointer;  // Empty in what hosts read.
  ServiceConfig service;
};

struct DocumentRoute {
  std::string pointer;  // Empty in what hosts read.
  std::string host;
  Route route;
  bool is_split = false;  // Whether its services are members of a split.
};

struct RouteDocument {
  uint64_t version = 0;
  // Without entries that are rejected.
  std::vector<DocumentService> services;
  std::vector<DocumentRoute> routes;
  CallerLimits limits;
  std::vector<DocumentProblem> problems;
  // The name of a field in this document's spelling; never null.
  std::string_view (*field_name)(ConfigurationField field) = nullptr;
};

// Returns the route table of the document. Errors: kMalformed, for the first
// problem for which hosts reject the configuration.
Result<RouteTable> MakeRouteTable(RouteDocument document);

}  // namespace mimosadeal
