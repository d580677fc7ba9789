// Loads the settings from the defaults, the TOML file and --set on the command
// line, where later ones override earlier ones. All settings are checked
// together, so that all faults are reported at once.
#pragma once

#include <string>
#include <vector>

#include "common/error.h"
#include "settings/settings.h"

namespace mimosadeal {

// An invalid or missing setting, with what is allowed.
struct SettingFault {
  std::string source;  // The file's path, or "--set".
  unsigned line = 0;   // 0 if there is none, as for a missing setting.
  std::string name;
  std::string message;

  std::string ToString() const;
};

struct LoadedSettings {
  Settings settings;
  // The settings may be used only if there are none.
  std::vector<SettingFault> faults;
};

// `overrides` are of the form "section.name=value" and take precedence over the
// file.
LoadedSettings LoadSettings(const std::string& path,
                            const std::vector<std::string>& overrides);

// Like LoadSettings, with the file's content in `text`. `path` is only used in
// messages.
LoadedSettings ParseSettings(const std::string& text, const std::string& path,
                             const std::vector<std::string>& overrides);

}  // namespace mimosadeal
