// Reads settings in layers (defaults, the TOML file, --set on the command line)
// and checks them whole, so that every fault is reported at once.
#pragma once

#include <string>
#include <vector>

#include "common/error.h"
#include "settings/settings.h"

namespace mimosadeal {

// One fault: where it is, which setting, and what is allowed there.
struct SettingFault {
  std::string source;  // The file's path, or "--set".
  unsigned line =
      0;  // Zero when the fault has no line, such as a missing setting.
  std::string name;
  std::string message;

  std::string ToString() const;
};

struct LoadedSettings {
  Settings settings;
  std::vector<SettingFault>
      faults;  // The settings may be used only when this is empty.
};

// `overrides` holds texts of the form "section.name=value" that go before the
// file.
LoadedSettings LoadSettings(const std::string& path,
                            const std::vector<std::string>& overrides);

// As LoadSettings, with the file's text given; `path` is used in messages only.
LoadedSettings ParseSettings(const std::string& text, const std::string& path,
                             const std::vector<std::string>& overrides);

}  // namespace mimosadeal
