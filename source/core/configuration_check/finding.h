// What the check of a configuration found, and its text for operators.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "common/boot_clock.h"

namespace mimosadeal {

enum class FindingSeverity : uint8_t {
  // Hosts reject the configuration, or do something else than it says.
  kError,
  // It is valid, but a part of it has no effect or contradicts another.
  kWarning,
  kDifference,  // From the configuration in force.
  kNote,        // Worth a look only if it is not meant.
};

std::string_view FindingSeverityName(FindingSeverity severity);

struct Finding {
  FindingSeverity severity = FindingSeverity::kError;
  std::string pointer;  // JSON Pointer (RFC 6901) of the field.
  std::string message;
  int line = 0;  // From 1; 0 if the text gives none.
};

using Findings = std::vector<Finding>;

// Whether there is an error or a warning.
bool NeedsAttention(const Findings& findings);

// Returns one line without its end, as compilers write it: "FILE:LINE: error:
// POINTER: MESSAGE". Escapes what is not printable.
std::string FindingText(const std::string& file, const Finding& finding);
nlohmann::json FindingJson(const Finding& finding);

// Returns `text` in quotes, with escapes for what is not printable ASCII.
std::string Quoted(const std::string& text);
// Returns for example "2.5ms".
std::string MillisecondsText(Duration time);

}  // namespace mimosadeal
