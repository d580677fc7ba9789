// The command of mimosactl that checks a configuration before it is sent.
#pragma once

#include <string>

#include "configuration_check/configuration_check.h"
#include "operator_client/operator_commands.h"

namespace mimosadeal {

struct CheckOptions {
  std::string file;  // "-" for standard input.
  // The configuration to compare with: the operators' address (ip:port) of a
  // host, or a file. Empty for none.
  std::string against;
  Duration timeout{};  // Longest wait for the host's response.
  bool as_json = false;
};

// Exits with kDone, kFindings or kUnreadable.
CommandResult CheckFile(const CheckOptions& options,
                        const ConfigurationSpelling& spelling);

}  // namespace mimosadeal
