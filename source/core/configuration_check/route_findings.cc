#include "configuration_check/route_findings.h"

#include <algorithm>
#include <map>
#include <set>

#include "net/http_codec.h"
#include "routing/weighted_round_robin.h"

namespace mimosadeal {
namespace {

using Field = ConfigurationField;

std::string PointerTo(const RouteDocument& document, const std::string& entry,
                      Field field) {
  return entry + "/" + std::string(document.field_name(field));
}

// Returns the pointer of a field of the route's service, or of a service of its
// split.
std::string SharePointer(const RouteDocument& document,
                         const DocumentRoute& item, size_t index, Field field) {
  if (!item.is_split) return PointerTo(document, item.pointer, Field::kService);
  return PointerTo(document,
                   PointerTo(document, item.pointer, Field::kSplit) + "/" +
                       std::to_string(index),
                   field);
}

Finding MakeProblemFinding(const DocumentProblem& problem) {
  switch (problem.effect) {
    case ProblemEffect::kRejected:
      return {FindingSeverity::kError, problem.pointer,
              problem.message + "; hosts reject the configuration", 0};
    case ProblemEffect::kIgnored:
      return {FindingSeverity::kError, problem.pointer,
              problem.message + "; hosts ignore it", 0};
    case ProblemEffect::kUnknownField:
      break;
  }
  return {FindingSeverity::kNote, problem.pointer,
          problem.message + "; hosts do not read it", 0};
}

void FindRepeatedServices(const RouteDocument& document, Findings& findings) {
  std::set<std::string> names;
  for (const DocumentService& item : document.services) {
    if (names.insert(item.service.name).second) continue;
    findings.push_back({FindingSeverity::kError,
                        PointerTo(document, item.pointer, Field::kName),
                        "another service is called " +
                            Quoted(item.service.name) +
                            " too; hosts use the last one",
                        0});
  }
}

void FindShareErrors(const RouteDocument& document, const DocumentRoute& item,
                     const std::set<std::string>& services,
                     Findings& findings) {
  const std::vector<WeightedService>& shares = item.route.weighted_services;
  for (size_t i = 0; i < shares.size(); ++i) {
    if (!services.contains(shares[i].service)) {
      findings.push_back({FindingSeverity::kError,
                          SharePointer(document, item, i, Field::kService),
                          "no service is called " + Quoted(shares[i].service) +
                              "; its requests are refused",
                          0});
    }
    if (shares[i].weight < 0) {
      findings.push_back({FindingSeverity::kError,
                          SharePointer(document, item, i, Field::kWeight),
                          "must be 0 or more", 0});
    }
  }
  if (!shares.empty() &&
      std::none_of(shares.begin(), shares.end(), GetsRequests)) {
    findings.push_back({FindingSeverity::kError,
                        PointerTo(document, item.pointer, Field::kSplit),
                        "no service has a weight above 0; hosts send all "
                        "requests to the first one",
                        0});
  }
}

void FindPrefixErrors(const RouteDocument& document, const DocumentRoute& item,
                      Findings& findings) {
  const std::string& prefix = item.route.path_prefix;
  if (prefix.starts_with('/') && prefix.ends_with('/')) return;
  findings.push_back({FindingSeverity::kError,
                      PointerTo(document, item.pointer, Field::kPathPrefix),
                      "must begin and end with a slash", 0});
}

// The limits that the parser of witness requests gets: far above any route's
// host name and prefix in a configuration of at most a megabyte.
constexpr HttpMessageLimits kWitnessLimits = {4 * 1024 * 1024, 0};

// Returns the route that a host chooses for the shortest request of the route:
// its own prefix as the path. A longer path is matched by the same routes and
// by longer prefixes, so that a route that misses this one has another route of
// the same prefix before it and gets no request at all.
const Route* FindRouteOfWitness(const RouteTable& table,
                                const DocumentRoute& item) {
  HttpRequestParser parser(kWitnessLimits);
  const std::string& prefix = item.route.path_prefix;
  // A target is never empty; this one begins with no other prefix.
  std::string text = "GET " + (prefix.empty() ? "*" : prefix) +
                     " HTTP/1.1\r\nHost: " + item.host + "\r\n\r\n";
  if (parser.Feed(text) != ParseState::kDone || !text.empty()) return nullptr;
  const HttpRequest request = parser.Take().request;
  return FindRoute(table, FindHeader(request.headers, "host"), request.path);
}

RouteTable MakeTableOfPointers(const RouteDocument& document) {
  RouteTable table;
  for (const DocumentRoute& item : document.routes) {
    Route route;
    route.name = item.pointer;
    route.path_prefix = item.route.path_prefix;
    table.hosts[item.host].push_back(std::move(route));
  }
  SortRoutes(table);
  return table;
}

void FindUnusedShares(const RouteDocument& document, const DocumentRoute& item,
                      Findings& findings) {
  const std::vector<WeightedService>& shares = item.route.weighted_services;
  if (std::none_of(shares.begin(), shares.end(), GetsRequests)) return;
  for (size_t i = 0; i < shares.size(); ++i) {
    if (GetsRequests(shares[i])) continue;
    findings.push_back({FindingSeverity::kWarning,
                        SharePointer(document, item, i, Field::kWeight),
                        Quoted(shares[i].service) + " gets no requests", 0});
  }
}

void FindTimeContradictions(const RouteDocument& document,
                            const DocumentRoute& item, Findings& findings) {
  const Route& route = item.route;
  const auto add = [&](Field field, std::string message) {
    findings.push_back({FindingSeverity::kWarning,
                        PointerTo(document, item.pointer, field),
                        std::move(message), 0});
  };
  if (route.timeout < kMinTimeToSend) {
    add(Field::kTimeout, MillisecondsText(route.timeout) +
                             " is too short: hosts send no request with "
                             "less than " +
                             MillisecondsText(kMinTimeToSend) + " left");
  } else if (route.timeout / kMinTimeToSend < route.max_upstreams) {
    add(Field::kMaxUpstreams,
        std::to_string(route.max_upstreams) +
            " upstreams cannot be tried within the timeout of " +
            MillisecondsText(route.timeout) +
            ": hosts send no request with less than " +
            MillisecondsText(kMinTimeToSend) + " left");
  }
  if (route.target_latency > route.timeout) {
    add(Field::kTargetLatency, MillisecondsText(route.target_latency) +
                                   " is longer than the timeout of " +
                                   MillisecondsText(route.timeout) +
                                   ": no response can come that late");
  }
}

// Routes that share a name also share their state at hosts: the round robin of
// their splits and the latencies by which requests are sent again.
void FindSharedNames(const RouteDocument& document, Findings& findings) {
  std::map<std::string, const DocumentRoute*> by_name;
  for (const DocumentRoute& item : document.routes) {
    const auto [known, added] = by_name.emplace(item.route.name, &item);
    if (added || (!item.is_split && !known->second->is_split)) continue;
    findings.push_back(
        {FindingSeverity::kWarning,
         PointerTo(document, item.pointer, Field::kName),
         "the route " + known->second->pointer + " is called " +
             Quoted(item.route.name) +
             " too; hosts count the requests of both for one split",
         0});
  }
}

void FindLimitContradictions(const RouteDocument& document,
                             Findings& findings) {
  const std::string entry = PointerTo(document, "", Field::kLimits);
  const auto check = [&](bool useless, Field field, const char* message) {
    if (!useless) return;
    findings.push_back({FindingSeverity::kWarning,
                        PointerTo(document, entry, field), message, 0});
  };
  const CallerLimits& limits = document.limits;
  check(limits.max_header_bytes == 0, Field::kMaxHeaderBytes,
        "no request can be sent with 0 bytes of headers");
  check(limits.header_timeout == Duration::zero(), Field::kHeaderTimeout,
        "no request can be sent in no time");
  check(limits.idle_timeout == Duration::zero(), Field::kIdleTimeout,
        "no connection can be used for a second request");
}

}  // namespace

Findings FindErrors(const RouteDocument& document) {
  Findings findings;
  for (const DocumentProblem& problem : document.problems)
    findings.push_back(MakeProblemFinding(problem));
  FindRepeatedServices(document, findings);
  std::set<std::string> services;
  for (const DocumentService& item : document.services)
    services.insert(item.service.name);
  for (const DocumentRoute& item : document.routes) {
    FindPrefixErrors(document, item, findings);
    FindShareErrors(document, item, services, findings);
  }
  return findings;
}

Findings FindUnmatchableEntries(const RouteDocument& document) {
  Findings findings;
  const RouteTable table = MakeTableOfPointers(document);
  for (const DocumentRoute& item : document.routes) {
    const Route* route = FindRouteOfWitness(table, item);
    if (route == nullptr || route->name != item.pointer) {
      const std::string& prefix = item.route.path_prefix;
      const bool shadowed = route != nullptr && route->path_prefix == prefix;
      findings.push_back({FindingSeverity::kWarning,
                          PointerTo(document, item.pointer, Field::kPathPrefix),
                          shadowed ? "no request comes here: " + route->name +
                                         " takes those of " + Quoted(prefix)
                                   : "no request of host " + Quoted(item.host) +
                                         " can have a path that begins with " +
                                         Quoted(prefix),
                          0});
    }
    FindUnusedShares(document, item, findings);
  }
  return findings;
}

Findings FindContradictions(const RouteDocument& document) {
  Findings findings;
  for (const DocumentRoute& item : document.routes)
    FindTimeContradictions(document, item, findings);
  FindSharedNames(document, findings);
  FindLimitContradictions(document, findings);
  return findings;
}

}  // namespace mimosadeal
