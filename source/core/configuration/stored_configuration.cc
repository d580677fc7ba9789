#include "configuration/stored_configuration.h"

#include "common/json_text.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

// Ids of older patches are forgotten. An operator's retries never reach so far
// back.
constexpr size_t kMaxPatches = 64;

}  // namespace

PatchResult ApplyPatch(const StoredConfiguration& current,
                       uint64_t base_version, const std::string& patch_id,
                       const Json& patch) {
  PatchResult result;
  result.next = current;
  for (const AppliedPatch& applied : current.patches) {
    if (applied.id != patch_id) continue;
    result.status = PatchStatus::kAlreadyApplied;
    result.next.version = applied.version;
    return result;
  }
  if (base_version != current.version) {
    result.status = PatchStatus::kStale;
    return result;
  }
  Json document = current.document;
  document.merge_patch(patch);
  ParsedConfiguration next = ParseConfiguration(document, current.version + 1);
  const ParsedConfiguration before =
      ParseConfiguration(current.document, current.version);
  result.faults = std::move(next.faults);
  if (result.faults.empty())
    result.faults =
        CheckImmutableFields(before.configuration, next.configuration);
  if (!result.faults.empty()) return result;

  result.status = PatchStatus::kApplied;
  result.next.version = current.version + 1;
  result.next.document = std::move(document);
  result.next.patches.push_back({patch_id, result.next.version});
  if (result.next.patches.size() > kMaxPatches)
    result.next.patches.erase(result.next.patches.begin());
  return result;
}

std::string EncodeStoredConfiguration(const StoredConfiguration& stored) {
  Json patches = Json::array();
  for (const AppliedPatch& patch : stored.patches)
    patches.push_back({{"id", patch.id}, {"version", patch.version}});
  return JsonText({{"version", stored.version},
                   {"patches", patches},
                   {"document", stored.document}});
}

namespace {

bool IsPatch(const Json& patch) {
  return patch.is_object() &&
         (!patch.contains("id") || patch["id"].is_string()) &&
         (!patch.contains("version") || patch["version"].is_number_unsigned());
}

}  // namespace

Result<StoredConfiguration> DecodeStoredConfiguration(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  const Error malformed = MakeError(ErrorCode::kMalformed,
                                    "the stored configuration is not readable");
  if (!json.is_object() || !json.contains("version") ||
      !json.contains("document"))
    return malformed;
  if (!json["version"].is_number_unsigned() || !json["document"].is_object())
    return malformed;
  StoredConfiguration stored;
  stored.version = json["version"].get<uint64_t>();
  stored.document = json["document"];
  for (const Json& patch : json.value("patches", Json::array())) {
    if (!IsPatch(patch)) return malformed;
    stored.patches.push_back(
        {patch.value("id", ""), patch.value("version", uint64_t{0})});
  }
  return stored;
}

}  // namespace mimosadeal
