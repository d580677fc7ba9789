#include "entry/entry_servers.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "common/json_text.h"
#include "entry/deployment_view.h"
#include "entry/entry_metrics.h"
#include "routing/configuration_size.h"
#include "settings/settings.h"

namespace mimosadeal {
namespace {

// File descriptors for everything but callers' connections: connections to
// upstreams, the store and other hosts, and the process's own files.
constexpr size_t kReservedDescriptors = 900;
// Of kReservedDescriptors, for connections to upstreams.
constexpr size_t kMaxUpstreamConnections = 500;
// Hosts with fewer than twice kReservedDescriptors share what they have: half
// is for callers, and this part for upstreams.
constexpr size_t kUpstreamDivisor = 4;
// Readiness probes come once a second, and operators are few.
constexpr size_t kMaxProbeConnections = 32;
// Limits on callers until a configuration has been read.
constexpr ExchangeServerLimits kInitialCallerLimits = {{16 * 1024, 1024 * 1024},
                                                       std::chrono::seconds(5),
                                                       std::chrono::seconds(15),
                                                       0};
// What this host keeps for other callers is gone, or evicted, about that soon.
constexpr Duration kRetryAfterOutOfRoom = std::chrono::milliseconds(1000);
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

HttpResponse JsonResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

HttpResponse ConfigurationProblem(const std::string& detail) {
  return JsonResponse(kUnavailable,
                      JsonText({{"title", "No configuration to show"},
                                {"status", kUnavailable},
                                {"detail", detail}}));
}

HttpResponse ConfigurationResponse(const DeploymentView& view) {
  if (view.routes() == nullptr)
    return ConfigurationProblem("no configuration was read yet");
  const nlohmann::json* document = view.ConfigurationDocument();
  if (document == nullptr) {
    return ConfigurationProblem(
        "the store has another configuration than the one in force here");
  }
  const std::string text = JsonText(*document);
  if (text.size() > kMaxConfigurationBytes)
    return ConfigurationProblem("the configuration is too large to be sent");
  return JsonResponse(kOk,
                      "{\"version\":" + std::to_string(view.routes()->version) +
                          ",\"configuration\":" + text + "}");
}

}  // namespace

ExchangeServerLimits CallerLimits(const Settings& settings,
                                  const RouteTable* routes) {
  ExchangeServerLimits limits = kInitialCallerLimits;
  const auto descriptors = static_cast<size_t>(settings.max_descriptors);
  limits.max_connections = descriptors > 2 * kReservedDescriptors
                               ? descriptors - kReservedDescriptors
                               : descriptors / 2;
  if (routes != nullptr) {
    limits.text = {routes->limits.max_header_bytes,
                   routes->limits.max_body_bytes};
    limits.header_timeout = routes->limits.header_timeout;
    limits.idle_timeout = routes->limits.idle_timeout;
  }
  return limits;
}

size_t UpstreamConnectionLimit(const Settings& settings) {
  const auto descriptors = static_cast<size_t>(settings.max_descriptors);
  return descriptors > 2 * kReservedDescriptors
             ? kMaxUpstreamConnections
             : std::max<size_t>(1, descriptors / kUpstreamDivisor);
}

ExchangeServerLimits ProbeLimits(const Settings& settings,
                                 const RouteTable* routes) {
  ExchangeServerLimits limits = CallerLimits(settings, routes);
  limits.max_connections =
      std::min(limits.max_connections, kMaxProbeConnections);
  return limits;
}

HttpResponse PlainResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain";
  response.body = std::move(body);
  return response;
}

HttpServerHandlers ProbeHandlers(
    std::function<void(ExchangeId, const HttpRequest&)> on_request) {
  HttpServerHandlers handlers;
  handlers.on_request = [on_request = std::move(on_request)](
                            ExchangeId id, HttpRequest&& request) {
    on_request(id, request);
  };
  handlers.on_abandoned = [](ExchangeId) {};
  handlers.make_refusal = [](int status, const std::string& detail) {
    return PlainResponse(status, detail);
  };
  return handlers;
}

HttpResponse MakeServerRefusal(const DeploymentProtocol& protocol, int status,
                               const std::string& detail) {
  if (status != kUnavailable) return PlainResponse(status, detail);
  Refusal refusal;
  refusal.reason = RefusalReason::kOutOfRoom;
  refusal.retry_after = kRetryAfterOutOfRoom;
  return protocol.write_refusal(refusal);
}

HttpResponse OperatorsResponse(const HttpRequest& request,
                               EntryMetrics& metrics,
                               const DeploymentView& view) {
  if (request.path == "/metrics")
    return PlainResponse(kOk, metrics.Serialize());
  if (request.path == "/configuration" && request.method == "GET")
    return ConfigurationResponse(view);
  return PlainResponse(kNotFound, "");
}

void NotePressure(const PressureEvent& event, EntryMetrics& metrics,
                  EventLog& log) {
  const std::string_view action = PressureActionName(event.action);
  metrics.ObservePressure(action);
  log.LogRequest("caller.pressure",
                 {{"action", action},
                  {"bytes", static_cast<uint64_t>(event.bytes)},
                  {"stalled", event.stalled},
                  {"used", static_cast<uint64_t>(event.used)},
                  {"limit", static_cast<uint64_t>(event.limit)}});
}

}  // namespace mimosadeal
