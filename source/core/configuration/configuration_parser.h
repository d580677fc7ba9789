// Reads and checks a configuration document. All faults are reported, each with
// its JSON path.
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
  std::vector<ConfigurationFault>
      faults;  // The configuration may be used only when this is empty.
};

ParsedConfiguration ParseConfiguration(const nlohmann::json& document,
                                       uint64_t version);

// Checks that `next` keeps what may not change while a service exists: its
// shards and its zones.
std::vector<ConfigurationFault> CheckSuccession(const Configuration& current,
                                                const Configuration& next);

}  // namespace mimosadeal
