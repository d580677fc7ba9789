// The check of a configuration before it is sent. It reads the text with the
// functions that hosts use, and decides which of the two kinds of configuration
// it is: of request routing on a deployment's platform, or of the product's own
// interface.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "configuration_check/finding.h"
#include "routing/configuration_size.h"
#include "routing/route_document.h"

namespace mimosadeal {

// How a deployment's platform spells a configuration.
struct ConfigurationSpelling {
  // Returns nullopt when the text is not JSON.
  std::optional<nlohmann::json> (*parse)(const std::string& text) = nullptr;
  RouteDocument (*read)(const nlohmann::json& content) = nullptr;
};

struct CheckReport {
  bool readable = false;  // Whether the text is a JSON object.
  Findings findings;      // In the order of their lines.
};

// `in_force`: the configuration to compare with; null for none.
CheckReport CheckConfiguration(const std::string& text,
                               const ConfigurationSpelling& spelling,
                               const nlohmann::json* in_force);

}  // namespace mimosadeal
