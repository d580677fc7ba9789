// The configuration as stored on the platform: the document, its version and
// the ids of the latest patches. The ids identify a patch that is sent again
// because its response was lost.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "configuration/configuration_parser.h"

namespace mimosadeal {

struct AppliedPatch {
  std::string id;
  uint64_t version = 0;  // The version that the patch created.
};

struct StoredConfiguration {
  uint64_t version = 0;
  std::vector<AppliedPatch> patches;  // Only the latest, oldest first.
  nlohmann::json document = nlohmann::json::object();
};

enum class PatchStatus : uint8_t {
  kApplied,
  kAlreadyApplied,
  kStale,  // The base version is not the current version.
  kInvalid
};

struct PatchResult {
  PatchStatus status = PatchStatus::kInvalid;
  // kApplied: the patched configuration. kAlreadyApplied: the current one with
  // the version that the patch created. Otherwise the current one.
  StoredConfiguration next;
  std::vector<ConfigurationFault> faults;  // For kInvalid.
};

// Applies a JSON merge patch (RFC 7396) made against `base_version`.
PatchResult ApplyPatch(const StoredConfiguration& current,
                       uint64_t base_version, const std::string& patch_id,
                       const nlohmann::json& patch);

std::string EncodeStoredConfiguration(const StoredConfiguration& stored);
// Errors: kMalformed.
Result<StoredConfiguration> DecodeStoredConfiguration(std::string_view text);

}  // namespace mimosadeal
