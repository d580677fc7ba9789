// Tests of applying patches to the stored configuration.
#include "configuration/stored_configuration.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

Json ServicePatch(int slots) {
  return Json::parse(
      R"({"services": {"yard": {"zones": ["a"], "default_rank": "r", "ranks": {"r": {}}, "slots": )" +
      std::to_string(slots) + "}}}");
}

TEST_GROUP(StoredConfiguration){};

TEST(StoredConfiguration, APatchCreatesTheNextVersion) {
  const PatchResult result =
      ApplyPatch(StoredConfiguration{}, 0, "p1", ServicePatch(2));
  CHECK_TRUE(result.status == PatchStatus::kApplied);
  LONGS_EQUAL(1, result.next.version);
}

TEST(StoredConfiguration, AStalePatchIsRejectedAndChangesNothing) {
  const StoredConfiguration first =
      ApplyPatch(StoredConfiguration{}, 0, "p1", ServicePatch(2)).next;
  const PatchResult result = ApplyPatch(first, 0, "p2", ServicePatch(3));
  CHECK_TRUE(result.status == PatchStatus::kStale);
  LONGS_EQUAL(1, result.next.version);
  LONGS_EQUAL(2, result.next.document["services"]["yard"]["slots"].get<int>());
}

TEST(StoredConfiguration, ARepeatedPatchIsRecognisedEvenAfterOthers) {
  const StoredConfiguration first =
      ApplyPatch(StoredConfiguration{}, 0, "p1", ServicePatch(2)).next;
  const StoredConfiguration second =
      ApplyPatch(first, 1, "p2", ServicePatch(3)).next;
  const PatchResult result = ApplyPatch(second, 0, "p1", ServicePatch(2));
  CHECK_TRUE(result.status == PatchStatus::kAlreadyApplied);
  LONGS_EQUAL(1, result.next.version);
}

TEST(StoredConfiguration, AnInvalidPatchIsRejectedWithItsFaults) {
  const PatchResult result =
      ApplyPatch(StoredConfiguration{}, 0, "p1", ServicePatch(0));
  CHECK_TRUE(result.status == PatchStatus::kInvalid);
  LONGS_EQUAL(1, result.faults.size());
}

TEST(StoredConfiguration, EncodedConfigurationsDecodeToTheSame) {
  const StoredConfiguration first =
      ApplyPatch(StoredConfiguration{}, 0, "p1", ServicePatch(2)).next;
  const auto decoded =
      DecodeStoredConfiguration(EncodeStoredConfiguration(first));
  LONGS_EQUAL(1, decoded.value().version);
  STRCMP_EQUAL("p1", decoded.value().patches[0].id.c_str());
  CHECK_TRUE(decoded.value().document == first.document);
  for (const char* text :
       {"", "[]", "{}", R"({"version": -1, "document": {}})",
        R"({"version": 1, "document": 3})",
        R"({"version": 1, "document": {}, "patches": [1]})",
        R"({"version": 1, "document": {}, "patches": [{"id": 1}]})",
        R"({"version": 1, "document": {}, "patches": [{"version": ""}]})"}) {
    CHECK_FALSE(DecodeStoredConfiguration(text).has_value());
  }
}

}  // namespace
}  // namespace mimosadeal
