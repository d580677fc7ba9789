// The table of all settings: name, type, default, allowed range and help text.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "settings/settings.h"

namespace mimosadeal {

// The member that stores a setting. Its type is also the type in the file.
using SettingTarget =
    std::variant<std::string Settings::*, int64_t Settings::*,
                 double Settings::*, Duration Settings::*, bool Settings::*>;

struct SettingSpec {
  // "section.name". Names of durations end in _ms, their unit.
  std::string_view name;
  SettingTarget target;
  std::string_view default_text;  // Empty for a required setting.
  // Of numbers, and of durations in milliseconds.
  double minimum = 0;
  double maximum = 0;
  std::string_view help;
};

std::span<const SettingSpec> AllSettings();

// Returns null when there is no such setting.
const SettingSpec* FindSetting(std::string_view name);

// Describes the allowed values for messages: "a whole number from 1 to 100".
std::string DescribeAllowed(const SettingSpec& spec);

}  // namespace mimosadeal
