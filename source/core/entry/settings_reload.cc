#include "entry/settings_reload.h"

#include "common/event_log.h"
#include "forwarding/deployment_protocol.h"
#include "settings/settings_loader.h"

namespace mimosadeal {

void CheckSettingsFile(const std::string& path,
                       const DeploymentProtocol& protocol, EventLog& log) {
  const LoadedSettings loaded = LoadSettings(path, {});
  if (!loaded.faults.empty()) {
    log.LogStateChange(
        "settings.rejected",
        {{"path", path}, {"reason", loaded.faults.front().ToString()}});
    return;
  }
  const auto bounds = protocol.read_bounds(loaded.settings.platform_bounds);
  log.LogStateChange("settings.reloaded",
                     {{"path", path}, {"bounds_readable", bounds.has_value()}});
}

}  // namespace mimosadeal
