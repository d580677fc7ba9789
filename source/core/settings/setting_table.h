// The one table that declares every setting: name, type, default, allowed range
// and help text.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "settings/settings.h"

namespace mimosadeal {

// Where a setting is kept; the alternative also gives its type in the file.
using SettingTarget = std::variant<std::string Settings::*, int64_t Settings::*,
                                   double Settings::*, Duration Settings::*>;

struct SettingSpec {
  std::string_view
      name;  // "section.name"; durations carry their unit as the suffix _ms.
  SettingTarget target;
  std::string_view default_text;  // Empty for a required text.
  double least = 0;  // For numbers and durations (in milliseconds).
  double greatest = 0;
  std::string_view help;
};

std::span<const SettingSpec> AllSettings();

const SettingSpec* FindSetting(std::string_view name);

// Returns what the setting allows, for messages: "a whole number from 1 to
// 100".
std::string DescribeAllowed(const SettingSpec& spec);

}  // namespace mimosadeal
