// What a host does when its settings file changes while it runs.
#pragma once

#include <string>

namespace mimosadeal {

class EventLog;
struct DeploymentProtocol;

// Reads the file and logs whether it is valid. It is only checked: changed
// settings take effect at the next start.
void CheckSettingsFile(const std::string& path,
                       const DeploymentProtocol& protocol, EventLog& log);

}  // namespace mimosadeal
