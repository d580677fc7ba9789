// Tests of the check of a configuration of the product's own interface.
#include "configuration_check/service_findings.h"

#include "check_fixture.h"

namespace mimosadeal {
namespace {

TEST_GROUP(ServiceFindings) {
  nlohmann::json content = nlohmann::json::parse(R"({"services": {"yard": {
    "zones": ["north"], "default_rank": "lookups",
    "ranks": {"holds": {"order": 0, "share": 0.4},
              "lookups": {"order": 1, "share": 0.3}},
    "rules": [{"method": "GET", "path": "/lots", "rank": "lookups",
               "idempotent": true},
              {"path": "/lots", "rank": "holds"}]}}})");
  nlohmann::json& yard = content["services"]["yard"];
};

TEST(ServiceFindings, AValidConfigurationHasNone) {
  const CheckReport report = CheckJson(content);
  CHECK(report.readable);
  STRCMP_EQUAL("", TextOf(report.findings).c_str());
}

TEST(ServiceFindings, SharesOverOneAreAnError) {
  yard["ranks"]["holds"]["share"] = 0.8;
  CheckOnly(CheckJson(content), FindingSeverity::kError, "/services/yard/ranks",
            "add up to more than 1");
}

TEST(ServiceFindings, AFaultHasTheLineOfItsField) {
  yard["slots"] = 0;
  const CheckReport report = CheckText("\n\n" + content.dump());
  CheckOnly(report, FindingSeverity::kError, "/services/yard/slots",
            "must be a whole number");
  LONGS_EQUAL(3, report.findings[0].line);
}

TEST(ServiceFindings, ARuleBehindOneForAllItsRequestsIsNeverReached) {
  std::swap(yard["rules"][0], yard["rules"][1]);
  CheckOnly(CheckJson(content), FindingSeverity::kWarning,
            "/services/yard/rules/1", "rule 0 takes those of \"/lots\"");
}

TEST(ServiceFindings, DifferencesAndFieldsThatCannotChange) {
  const nlohmann::json before = content;
  yard["slots"] = 4;
  CheckOnly(CheckJson(content, &before), FindingSeverity::kDifference,
            "/services/yard/slots", "is new: 4");
  yard.erase("slots");
  yard["shards"] = 512;
  const std::string text = TextOf(CheckJson(content, &before).findings);
  STRCMP_CONTAINS("error: /services/yard/shards: cannot change", text.c_str());
  yard.erase("shards");
  yard["default_rank"] = "holds";
  CheckOnly(CheckJson(content, &before), FindingSeverity::kDifference,
            "/services/yard/default_rank", "\"holds\", was \"lookups\"");
}

}  // namespace
}  // namespace mimosadeal
