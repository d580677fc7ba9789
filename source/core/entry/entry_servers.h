// Parts of an entry host's HTTP servers: the limits that they set for callers,
// the responses that they make themselves, and what they do about a shortage.
#pragma once

#include <functional>
#include <string>

#include "forwarding/deployment_protocol.h"
#include "net/exchange_server.h"

namespace mimosadeal {

class DeploymentView;
class EntryMetrics;
class EventLog;
struct Settings;

// `routes` may be null while no configuration has been read.
ExchangeServerLimits CallerLimits(const Settings& settings,
                                  const RouteTable* routes);
// How many connections to upstreams this host may have.
size_t UpstreamConnectionLimit(const Settings& settings);
// For servers that callers do not use: of readiness probes, and of operators.
ExchangeServerLimits ProbeLimits(const Settings& settings,
                                 const RouteTable* routes);

HttpResponse PlainResponse(int status, std::string body);
HttpServerHandlers ProbeHandlers(
    std::function<void(ExchangeId, const HttpRequest&)> on_request);

// The response to a request that the server of callers refuses by itself.
HttpResponse MakeServerRefusal(const DeploymentProtocol& protocol, int status,
                               const std::string& detail);

// The response to a request of operators. /metrics: `metrics` as text.
// /configuration: the version and the document of the configuration in force;
// 503 while this host has none, or has no document of it.
HttpResponse OperatorsResponse(const HttpRequest& request,
                               EntryMetrics& metrics,
                               const DeploymentView& view);

// Logs and counts what a server did because bytes or connections ran short.
void NotePressure(const PressureEvent& event, EntryMetrics& metrics,
                  EventLog& log);

}  // namespace mimosadeal
