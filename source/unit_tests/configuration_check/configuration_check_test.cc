// Tests of the check of a configuration's text: what cannot be read, lines, and
// mutated texts.
#include "configuration_check/configuration_check.h"

#include <algorithm>

#include "check_fixture.h"
#include "common/ids.h"

namespace mimosadeal {
namespace {

constexpr char kRoute[] = "/virtualHosts/0/paths/0";

TEST_GROUP(ConfigurationCheck){};

TEST(ConfigurationCheck, AValidConfigurationHasNoFindings) {
  const CheckReport report = CheckText(kValidConfiguration);
  CHECK(report.readable);
  STRCMP_EQUAL("", TextOf(report.findings).c_str());
}

TEST(ConfigurationCheck, ATextThatIsNoJsonIsUnreadable) {
  for (const std::string text :
       {"", "{", "{\"version\": r12}", "\xff", "{}{}", "{\"a\": \"\xff\"}"}) {
    const CheckReport report = CheckText(text);
    CHECK_FALSE(report.readable);
    LONGS_EQUAL(1, report.findings.size());
    STRCMP_CONTAINS("is not JSON", report.findings[0].message.c_str());
  }
  LONGS_EQUAL(3, CheckText("{\n\n\"version\" 1}").findings[0].line);
}

TEST(ConfigurationCheck, ADocumentThatIsNoObjectIsUnreadable) {
  const CheckReport report = CheckText("[1]");
  CHECK_FALSE(report.readable);
  CheckOnly(report, FindingSeverity::kError, "", "must be an object");
}

TEST(ConfigurationCheck, ATooLargeTextIsUnreadable) {
  std::string text = kValidConfiguration;
  text.append(kMaxConfigurationBytes - text.size(), ' ');
  CHECK(CheckText(text).findings.empty());
  const CheckReport report = CheckText(text + " ");
  CHECK_FALSE(report.readable);
  CheckOnly(report, FindingSeverity::kError, "", "is larger than 1048576");
}

// What hosts read of such a text is checked too.
TEST(ConfigurationCheck, DeepNestingIsAnErrorAndExhaustsNoStack) {
  std::string text = kValidConfiguration;
  const std::string deep = std::string(400000, '[') + std::string(400000, ']');
  text.replace(text.find("{\"name\": \"hold\""), 1, "{\"deep\": " + deep + ",");
  const CheckReport report = CheckText(text);
  CHECK(report.readable);
  LONGS_EQUAL_TEXT(2, report.findings.size(), TextOf(report.findings).c_str());
  CHECK(std::any_of(report.findings.begin(), report.findings.end(),
                    [](const Finding& finding) {
                      return finding.severity == FindingSeverity::kError &&
                             finding.line == 15 &&
                             finding.message.starts_with("is nested deeper");
                    }));
}

TEST(ConfigurationCheck, ANameThatStandsTwiceIsAnError) {
  std::string text = kValidConfiguration;
  text.insert(text.find("\"maxAttempts\""), "\"timeout\": \"9s\",\n");
  const CheckReport report = CheckText(text);
  CheckOnly(report, FindingSeverity::kError,
            (std::string(kRoute) + "/timeout").c_str(), "stands twice");
  LONGS_EQUAL(12, report.findings[0].line);
}

TEST(ConfigurationCheck, ANumberBeyondADoubleIsAnError) {
  std::string text = kValidConfiguration;
  text.replace(text.find("4.5"), 3, "1e999");
  const CheckReport report = CheckText(text);
  CHECK(report.readable);
  STRCMP_CONTAINS("beyond the range", TextOf(report.findings).c_str());
}

TEST(ConfigurationCheck, MissingFieldsAreErrorsWithLines) {
  nlohmann::json content = ValidConfiguration();
  content["virtualHosts"][0]["paths"][1].erase("timeout");
  content["services"][0].erase("name");
  content["version"] = 12;
  const CheckReport report = CheckJson(content);
  const std::string text = TextOf(report.findings);
  for (const char* field :
       {"error: /version: ", "error: /services/0/name: ",
        "error: /virtualHosts/0/paths/1/timeout: must be a time"})
    STRCMP_CONTAINS(field, text.c_str());
  STRCMP_CONTAINS("hosts reject the configuration", text.c_str());
  CHECK(std::all_of(report.findings.begin(), report.findings.end(),
                    [](const Finding& finding) { return finding.line > 0; }));
  CHECK(std::is_sorted(report.findings.begin(), report.findings.end(),
                       [](const Finding& left, const Finding& right) {
                         return left.line < right.line;
                       }));
}

TEST(ConfigurationCheck, ValuesOfTheWrongTypeOrRangeAreErrors) {
  const nlohmann::json valid = ValidConfiguration();
  const std::string route = kRoute;
  for (const auto& [pointer, value] :
       std::initializer_list<std::pair<std::string, nlohmann::json>>{
           {route + "/maxAttempts", 0},
           {route + "/maxAttempts", "two"},
           {route + "/maxAttempts", 1e12},
           {route + "/maxAttempts", 18446744073709551615ULL},
           {route + "/priority", -1},
           {route + "/targetLatency", 600},
           {route + "/targetLatency", "2e6s"},
           {route + "/kind", "sometimes"},
           {route + "/name", 7},
           {route + "/timeout", "-1s"},
           {route + "/timeout", "soon"},
           {"/services/0/sharded", "yes"},
           {"/services/1/maxConnections", -5},
           {"/services/0/warmupPerS", -1},
           {"/services/0/warm", 2},
           {"/limits/maxBodyBytes", -1},
           {"/limits/idleTimeout", "15"},
           {"/limits", nlohmann::json::array()},
           {"/virtualHosts/0/host", nullptr},
           {"/virtualHosts/0/paths", "none"},
           {"/services", nlohmann::json::object({{"x", 1}})},
           {"/version", "12"}}) {
    nlohmann::json content = valid;
    content[nlohmann::json::json_pointer(pointer)] = value;
    const CheckReport report = CheckJson(content);
    const std::string expected = "error: " + pointer + ": must be";
    const std::string kind = "error: " + pointer + ": is not a known kind";
    const std::string text = TextOf(report.findings);
    CHECK_TRUE_TEXT(
        text.find(expected) != text.npos || text.find(kind) != text.npos,
        (pointer + "\n" + text).c_str());
  }
}

TEST(ConfigurationCheck, AnUnknownFieldIsNotedOnly) {
  nlohmann::json content = ValidConfiguration();
  content["virtualHosts"][0]["paths"][0]["max/attempt"] = 3;
  const CheckReport report = CheckJson(content);
  CheckOnly(report, FindingSeverity::kNote,
            "/virtualHosts/0/paths/0/max~1attempt", "is not a known field");
  CHECK_FALSE(NeedsAttention(report.findings));
}

TEST(ConfigurationCheck, WhatTheCheckAcceptsIsWhatHostsAccept) {
  const auto read = platform::MakeDeploymentProtocol().read_configuration;
  nlohmann::json content = ValidConfiguration();
  CHECK(read(content).has_value());
  for (const char* pointer :
       {"/version", "/services", "/virtualHosts", "/services/0/name",
        "/virtualHosts/0/host", "/virtualHosts/0/paths",
        "/virtualHosts/0/paths/0/pathPrefix", "/virtualHosts/0/paths/0/kind",
        "/virtualHosts/0/paths/0/timeout",
        "/virtualHosts/0/paths/0/trafficSplit",
        "/virtualHosts/0/paths/0/trafficSplit/0/weight",
        "/virtualHosts/0/paths/0/trafficSplit/1/service"}) {
    nlohmann::json faulty = content;
    faulty[nlohmann::json::json_pointer(pointer)] = nullptr;
    const auto refused = read(faulty);
    CHECK_FALSE_TEXT(refused.has_value(), pointer);
    const std::string text = TextOf(CheckJson(faulty).findings);
    STRCMP_CONTAINS("hosts reject the configuration", text.c_str());
  }
}

TEST(ConfigurationCheck, ControlCharactersDoNotReachTheTerminal) {
  const std::string text =
      FindingText("a\nb", {FindingSeverity::kNote, "/x\x1b[2J", "m\x7f", 3});
  STRCMP_EQUAL("a?b:3: note: /x?[2J: m?", text.c_str());
}

// Changes, removes and repeats bytes of valid configurations, and puts other
// values in place of their members.
TEST_GROUP(ConfigurationCheckMutations){
    static std::string MutateText(std::string text, Random& random){
        const uint64_t changes = 1 + random.Below(4);
for (uint64_t i = 0; i < changes && !text.empty(); ++i) {
  const size_t at = random.Below(text.size());
  switch (random.Below(4)) {
    case 0:
      text[at] = static_cast<char>(random.Below(256));
      break;
    case 1:
      text.erase(at, 1 + random.Below(8));
      break;
    case 2:
      text.insert(at, text.substr(at, 1 + random.Below(40)));
      break;
    default:
      text[at] = "0123456789{}[]\",:-.e"[random.Below(20)];
  }
}
return text;
}  // namespace

static nlohmann::json MutateValues(const nlohmann::json& valid,
                                   Random& random) {
  static const nlohmann::json kValues = nlohmann::json::parse(
      R"([null, true, 0, -1, 2.5, 1e308, 18446744073709551615, "", "/", "0s",)"
      R"( "1e300s", "r0", "yard", "\u0000\r\n\r\n", [], [[]], {}, {"a": 1}])");
  const nlohmann::json flat = valid.flatten();
  nlohmann::json content = valid;
  const uint64_t changes = 1 + random.Below(3);
  for (uint64_t i = 0; i < changes; ++i) {
    auto member = flat.begin();
    std::advance(member, random.Below(flat.size()));
    nlohmann::json::json_pointer pointer(member.key());
    for (uint64_t up = random.Below(4); up > 0 && !pointer.empty(); --up)
      pointer = pointer.parent_pointer();
    if (content.contains(pointer))
      content[pointer] = kValues[random.Below(kValues.size())];
  }
  return content;
}

static void CheckSound(const CheckReport& report) {
  CHECK(report.readable || NeedsAttention(report.findings));
  for (const Finding& finding : report.findings) {
    CHECK_FALSE(finding.message.empty());
    CHECK(finding.line >= 0);
    CHECK(FindingText("f", finding).find('\n') == std::string::npos);
    CHECK_FALSE(FindingJson(finding).is_null());
  }
}
};  // namespace mimosadeal

TEST(ConfigurationCheckMutations, TheCheckHandlesMutatedConfigurations) {
  constexpr uint64_t seed = 20261206;
  constexpr int rounds = 5000;
  Random random(seed);
  const auto read = platform::MakeDeploymentProtocol().read_configuration;
  const nlohmann::json valid = ValidConfiguration();
  const nlohmann::json own = nlohmann::json::parse(
      R"({"services": {"yard": {"zones": ["a"], "default_rank": "r",)"
      R"( "ranks": {"r": {"order": 0, "share": 0.4}}, "rules": [)"
      R"({"method": "GET", "path": "/x", "rank": "r"},)"
      R"({"path": "/", "rank": "r", "idempotent": true}]}},)"
      R"( "drains": {"u": true}})");
  int rejected = 0;
  int clean = 0;
  for (int i = 0; i < rounds; ++i) {
    const CheckReport text =
        CheckText(MutateText(kValidConfiguration, random), &valid);
    CheckSound(text);
    const nlohmann::json content = MutateValues(valid, random);
    const CheckReport report = CheckJson(content, &valid);
    CheckSound(report);
    // What hosts reject is never passed.
    if (!content.is_object() || !read(content).has_value()) {
      CHECK(NeedsAttention(report.findings));
      ++rejected;
    }
    if (!NeedsAttention(report.findings)) ++clean;
    CheckSound(CheckJson(valid, &content));
    const nlohmann::json own_content = MutateValues(own, random);
    CheckSound(CheckJson(own_content, &own));
    CheckSound(CheckText(MutateText(own.dump(), random), &own_content));
  }
  CHECK(rejected > rounds / 10);
  CHECK(clean > 0);
}

}  // namespace
}  // namespace mimosadeal
