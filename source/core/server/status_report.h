// The JSON that /status and /owner serve, and the gauges of /metrics.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace mimosadeal {

class CallersApi;
class ConfigurationKeeper;
class Dispatcher;
class GroupRole;
class InnerTransport;
class Metrics;
class PlatformClient;
struct Settings;

// What a report reads; nothing here is changed by it.
struct StatusSources {
  const Settings& settings;
  const std::string& process;
  const ConfigurationKeeper& configuration;
  const GroupRole& group;
  Dispatcher& dispatcher;
  const InnerTransport& transport;
  const PlatformClient& platform;
  const bool& leaving;
};

nlohmann::json MakeStatus(const StatusSources& sources);

// Explains where requests of `key` go.
nlohmann::json ExplainOwner(const StatusSources& sources,
                            const std::string& service, const std::string& key);

void UpdateGauges(const StatusSources& sources, Metrics& metrics);

// True when this host can serve callers: it has a configuration and a table,
// and it is not leaving.
bool IsReady(const StatusSources& sources);

}  // namespace mimosadeal
