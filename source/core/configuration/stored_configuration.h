// The configuration as the platform's store keeps it: the document, its
// version, and the ids of the latest patches, by which a patch whose reply was
// lost is recognised.
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
  uint64_t version = 0;  // The version that the patch made.
};

struct StoredConfiguration {
  uint64_t version = 0;
  std::vector<AppliedPatch> patches;  // Oldest first, bounded.
  nlohmann::json document = nlohmann::json::object();
};

enum class PatchStatus : uint8_t {
  kApplied,
  kAlreadyApplied,
  kStale,
  kInvalid
};

struct PatchResult {
  PatchStatus status = PatchStatus::kInvalid;
  // kApplied: the next state. kAlreadyApplied: the version that the patch made.
  // Otherwise current.
  StoredConfiguration next;
  std::vector<ConfigurationFault> faults;
};

// Applies a JSON merge patch (RFC 7396) made against `base_version`.
PatchResult ApplyPatch(const StoredConfiguration& current,
                       uint64_t base_version, const std::string& patch_id,
                       const nlohmann::json& patch);

std::string EncodeStoredConfiguration(const StoredConfiguration& stored);
// Errors: kMalformed.
Result<StoredConfiguration> DecodeStoredConfiguration(std::string_view text);

}  // namespace mimosadeal
