// Tests of parsing and validating configuration documents.
#include "configuration/configuration_parser.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

Json GoodDocument() {
  return Json::parse(R"({"services": {"yard": {
    "zones": ["b", "a"], "default_rank": "lookups", "shards": 128,
    "ranks": {"lookups": {"order": 2, "share": 0.2}, "holds": {"order": 1, "target_ms": 50, "share": 0.5}},
    "rules": [{"method": "GET", "path": "/", "rank": "lookups", "idempotent": true},
              {"method": "", "path": "/lots/holds", "rank": "holds"}]}}})");
}

std::set<std::string> FaultPaths(const Json& document) {
  std::set<std::string> paths;
  for (const ConfigurationFault& fault : ParseConfiguration(document, 1).faults)
    paths.insert(fault.path);
  return paths;
}

TEST_GROUP(ConfigurationParser){};

TEST(ConfigurationParser, ReadsACompleteDocument) {
  const ParsedConfiguration parsed = ParseConfiguration(GoodDocument(), 7);
  LONGS_EQUAL(0, parsed.faults.size());
  LONGS_EQUAL(7, parsed.configuration.version);
  const ServiceConfiguration& service =
      parsed.configuration.services.at("yard");
  STRCMP_EQUAL("holds", service.ranks[0].name.c_str());
  LONGS_EQUAL(50, ToMilliseconds(service.ranks[0].target));
  STRCMP_EQUAL("a", service.zones[0].c_str());
}

TEST(ConfigurationParser, ReportsThePathOfEachFault) {
  Json document = GoodDocument();
  document["services"]["yard"]["slots"] = 0;
  document["services"]["yard"]["colour"] = "red";
  document["services"]["yard"]["ranks"]["holds"]["share"] = 0.9;
  document["services"]["yard"]["rules"][1]["rank"] = "nothing";
  document["drains"]["u1"] = "yes";
  const std::set<std::string> paths = FaultPaths(document);
  for (const char* path :
       {"/services/yard/slots", "/services/yard/colour", "/services/yard/ranks",
        "/services/yard/rules/1/rank", "/drains/u1"}) {
    CHECK_TRUE_TEXT(paths.count(path) == 1, path);
  }
}

TEST(ConfigurationParser, ShardsAndZonesOfAServiceCannotChange) {
  const Configuration before =
      ParseConfiguration(GoodDocument(), 1).configuration;
  Json document = GoodDocument();
  document["services"]["yard"]["shards"] = 64;
  document["services"]["yard"]["zones"] = {"a"};
  const Configuration after = ParseConfiguration(document, 2).configuration;
  LONGS_EQUAL(2, CheckImmutableFields(before, after).size());
  LONGS_EQUAL(0, CheckImmutableFields(before, before).size());
}

TEST(ConfigurationParser, TheRuleWithTheLongestPrefixApplies) {
  const Configuration configuration =
      ParseConfiguration(GoodDocument(), 1).configuration;
  const ServiceConfiguration& service = configuration.services.at("yard");
  STRCMP_EQUAL("holds",
               FindRule(service, "GET", "/lots/holds/1")->rank.c_str());
  STRCMP_EQUAL("lookups", FindRule(service, "GET", "/lots/1")->rank.c_str());
  POINTERS_EQUAL(nullptr, FindRule(service, "POST", "/lots/1"));
}

TEST(ConfigurationParser, ShardsAreSpreadEvenlyOverHomeZones) {
  const Configuration configuration =
      ParseConfiguration(GoodDocument(), 1).configuration;
  const ServiceConfiguration& service = configuration.services.at("yard");
  int in_a = 0;
  for (uint32_t shard = 0; shard < service.shards; ++shard) {
    if (HomeZone(service, shard) == "a") ++in_a;
  }
  CHECK_TRUE(in_a > 40 && in_a < 88);
}

}  // namespace
}  // namespace mimosadeal
