// Findings on a configuration of the product's own interface: services with
// ranks and rules. Its errors are the faults of the configuration parser.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "configuration/configuration_parser.h"
#include "configuration_check/finding.h"

namespace mimosadeal {

Findings FindErrors(const std::vector<ConfigurationFault>& faults);

// Rules that no request can reach.
Findings FindUnmatchableEntries(const Configuration& configuration);

// Also reports fields that cannot change, as errors.
Findings DescribeDifferences(const nlohmann::json& before,
                             const nlohmann::json& after);

}  // namespace mimosadeal
