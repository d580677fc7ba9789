// Parses and validates a configuration document. All faults are reported, each
// with its JSON path.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "configuration/configuration.h"

namespace mimosadeal {

struct ConfigurationFault {
  std::string path;  // JSON Pointer (RFC 6901).
  std::string message;
};

struct ParsedConfiguration {
  Configuration configuration;
  // The configuration may be used only if there are none.
  std::vector<ConfigurationFault> faults;
};

ParsedConfiguration ParseConfiguration(const nlohmann::json& document,
                                       uint64_t version);

// Checks that `next` keeps the fields that cannot change while a service
// exists: the shards, the zones and divided_by_key.
std::vector<ConfigurationFault> CheckImmutableFields(
    const Configuration& current, const Configuration& next);

}  // namespace mimosadeal
