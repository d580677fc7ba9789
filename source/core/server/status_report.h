// Produces the JSON that /status and /owner serve, and updates the gauges that
// /metrics serves.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace mimosadeal {

class CallersApi;
class ConfigurationManager;
class Dispatcher;
class GroupRole;
class InnerTransport;
class Metrics;
class PlatformClient;
struct Settings;

// What the reports read. They modify none of it.
struct StatusSources {
  const Settings& settings;
  const std::string& process;
  const ConfigurationManager& configuration;
  const GroupRole& group;
  Dispatcher& dispatcher;
  const InnerTransport& transport;
  const PlatformClient& platform;
  const bool& leaving;  // A planned stop is in progress.
};

// Returns the body of /status.
nlohmann::json MakeStatus(const StatusSources& sources);

// Returns the body of /owner: where requests of `key` are sent. Null if the
// service is unknown.
nlohmann::json ExplainOwner(const StatusSources& sources,
                            const std::string& service, const std::string& key);

void UpdateGauges(const StatusSources& sources, Metrics& metrics);

// Returns true if this host can serve callers: it has a configuration and a
// table, and it is not leaving.
bool IsReady(const StatusSources& sources);

}  // namespace mimosadeal
