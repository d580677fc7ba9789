// Tests of the findings on valid documents of request routing: entries that can
// never match, contradictions and differences.
#include "configuration_check/route_findings.h"

#include "check_fixture.h"

namespace mimosadeal {
namespace {

constexpr char kPaths[] = "/virtualHosts/0/paths/";

std::string Field(int route, const std::string& name) {
  return kPaths + std::to_string(route) + "/" + name;
}

TEST_GROUP(RouteFindings) {
  nlohmann::json content = ValidConfiguration();
  nlohmann::json& routes = content["virtualHosts"][0]["paths"];

  void Expect(FindingSeverity severity, const std::string& pointer,
              const char* message) {
    CheckOnly(CheckJson(content), severity, pointer.c_str(), message);
  }
  void ExpectWarning(const std::string& pointer, const char* message) {
    Expect(FindingSeverity::kWarning, pointer, message);
  }
  void ExpectError(const std::string& pointer, const char* message) {
    Expect(FindingSeverity::kError, pointer, message);
  }
};

TEST(RouteFindings, ARouteToAnUnknownServiceIsAnError) {
  routes[1]["service"] = "yrad";
  ExpectError(Field(1, "service"), "no service is called \"yrad\"");
  routes[1]["service"] = "yard";
  routes[0]["trafficSplit"][1]["service"] = "dsek";
  ExpectError(Field(0, "trafficSplit/1/service"), "no service is called");
}

TEST(RouteFindings, ASplitWithoutWeightIsAnError) {
  routes[0]["trafficSplit"][0]["weight"] = 0;
  routes[0]["trafficSplit"][1]["weight"] = 0;
  ExpectError(Field(0, "trafficSplit"), "no service has a weight above 0");
}

TEST(RouteFindings, AServiceWithZeroWeightGetsNoRequests) {
  routes[0]["trafficSplit"][1]["weight"] = 0;
  ExpectWarning(Field(0, "trafficSplit/1/weight"), "gets no requests");
}

TEST(RouteFindings, ANegativeWeightIsAnError) {
  routes[0]["trafficSplit"][1]["weight"] = -1;
  const std::string text = TextOf(CheckJson(content).findings);
  STRCMP_CONTAINS("error: /virtualHosts/0/paths/0/trafficSplit/1/weight",
                  text.c_str());
}

TEST(RouteFindings, ASplitBesideAServiceHasNoEffect) {
  routes[0]["service"] = "desk";
  ExpectError(Field(0, "trafficSplit"), "has no effect beside a service");
}

TEST(RouteFindings, AServiceThatIsNamedTwiceIsAnError) {
  content["services"].push_back(content["services"][0]);
  ExpectError("/services/2/name", "another service is called \"yard\" too");
}

TEST(RouteFindings, APrefixWithoutSlashesIsAnError) {
  routes[1]["pathPrefix"] = "/a/b";
  ExpectError(Field(1, "pathPrefix"), "must begin and end with a slash");
  routes[1]["pathPrefix"] = "";  // Matches, but is no prefix of the platform.
  ExpectError(Field(1, "pathPrefix"), "must begin and end with a slash");
}

TEST(RouteFindings, ARouteWithAnEarlierOnesPrefixIsNeverReached) {
  nlohmann::json again = routes[1];
  again["name"] = "hold-again";
  routes.push_back(again);
  ExpectWarning(Field(3, "pathPrefix"),
                "/virtualHosts/0/paths/1 takes those of \"/a/b/\"");
}

TEST(RouteFindings, ARouteInALaterEntryOfTheSameHostIsNeverReached) {
  nlohmann::json again = content["virtualHosts"][0];
  again["paths"] = nlohmann::json::array({routes[1]});
  again["paths"][0]["name"] = "hold-again";
  content["virtualHosts"].push_back(again);
  ExpectWarning("/virtualHosts/1/paths/0/pathPrefix",
                "/virtualHosts/0/paths/1 takes those of");
}

TEST(RouteFindings, TheSamePrefixOfAnotherHostIsReached) {
  nlohmann::json other = content["virtualHosts"][0];
  other["host"] = "other.example";
  other["paths"] = nlohmann::json::array({routes[1]});
  content["virtualHosts"].push_back(other);
  STRCMP_EQUAL("", TextOf(CheckJson(content).findings).c_str());
}

TEST(RouteFindings, AHostNameWithAPortIsNeverReached) {
  content["virtualHosts"][0]["host"] = "lots.example:8080";
  const CheckReport report = CheckJson(content);
  LONGS_EQUAL(3, report.findings.size());
  for (const Finding& finding : report.findings)
    STRCMP_CONTAINS("no request of host \"lots.example:8080\"",
                    finding.message.c_str());
}

TEST(RouteFindings, APrefixThatNoPathBeginsWithIsNeverReached) {
  for (const char* prefix : {"/a?b/", "/a b/", "/a\r\n/"}) {
    routes[1]["pathPrefix"] = prefix;
    ExpectWarning(Field(1, "pathPrefix"), "can have a path that begins with");
  }
}

TEST(RouteFindings, ATargetBeyondTheTimeoutIsAContradiction) {
  routes[0]["targetLatency"] = "2001ms";
  ExpectWarning(Field(0, "targetLatency"), "longer than the timeout of 2000ms");
  routes[0]["targetLatency"] = "2000ms";
  CHECK(CheckJson(content).findings.empty());
}

TEST(RouteFindings, ATimeoutThatNoRequestMeetsIsAContradiction) {
  routes[1]["timeout"] = "4ms";
  ExpectWarning(Field(1, "timeout"), "4ms is too short");
  routes[1]["timeout"] = "5ms";
  CHECK(CheckJson(content).findings.empty());
}

TEST(RouteFindings, AttemptsThatDoNotFitTheTimeoutAreAContradiction) {
  routes[1]["timeout"] = "20ms";
  routes[1]["maxAttempts"] = 5;
  ExpectWarning(Field(1, "maxAttempts"), "5 upstreams cannot be tried");
  routes[1]["maxAttempts"] = 4;
  CHECK(CheckJson(content).findings.empty());
}

TEST(RouteFindings, ASplitThatSharesItsNameIsAContradiction) {
  routes[1]["name"] = "lookup";
  ExpectWarning(Field(1, "name"), "count the requests of both");
  routes[1]["name"] = "scan";  // Two routes without a split.
  CHECK(CheckJson(content).findings.empty());
}

TEST(RouteFindings, LimitsThatAdmitNoRequestAreContradictions) {
  content["limits"]["maxHeaderBytes"] = 0;
  ExpectWarning("/limits/maxHeaderBytes", "0 bytes of headers");
  content["limits"]["maxHeaderBytes"] = 1000;
  content["limits"]["headerTimeout"] = "0s";
  ExpectWarning("/limits/headerTimeout", "in no time");
  content["limits"]["headerTimeout"] = "1s";
  content["limits"]["idleTimeout"] = "0ms";
  ExpectWarning("/limits/idleTimeout", "second request");
  content["limits"].erase("idleTimeout");
  CHECK(CheckJson(content).findings.empty());
}

TEST_GROUP(RouteDifferences) {
  nlohmann::json before = ValidConfiguration();
  nlohmann::json after = ValidConfiguration();
  nlohmann::json& routes = after["virtualHosts"][0]["paths"];

  std::string Compare() {
    const CheckReport report = CheckJson(after, &before);
    return TextOf(report.findings);
  }
};

TEST(RouteDifferences, TheConfigurationInForceHasNone) {
  STRCMP_EQUAL("", Compare().c_str());
}

TEST(RouteDifferences, NamesWhatChanged) {
  after["version"] = "r13";
  after["limits"]["maxBodyBytes"] = 2000;
  after["services"][1]["maxConnections"] = 300;
  after["services"].push_back({{"name", "store"}});
  routes[0]["timeout"] = "3s";
  routes[0].erase("trafficSplit");
  routes[0]["service"] = "yard";
  routes[1]["pathPrefix"] = "/c/";
  const CheckReport report = CheckJson(after, &before);
  CHECK_FALSE(NeedsAttention(report.findings));
  const std::string text = TextOf(report.findings);
  for (const char* line :
       {"/version: 13, was 12", "/limits/maxBodyBytes: limits: 2000, was 1000",
        "/services/1/maxConnections: service \"desk\": 300, was 295",
        "/services/2: service \"store\" is new",
        "/virtualHosts/0/paths/0/timeout: route \"lots.example\" \"/a/\": "
        "3000ms, was 2000ms",
        "/virtualHosts/0/paths/0/service: route \"lots.example\" \"/a/\": "
        "\"yard\" 1, was \"yard\" 90, \"desk\" 10",
        "/virtualHosts/0/paths/1: route \"lots.example\" \"/c/\" is new",
        "difference: route \"lots.example\" \"/a/b/\" is removed"})
    STRCMP_CONTAINS(line, text.c_str());
  LONGS_EQUAL(8, report.findings.size());
}

TEST(RouteDifferences, TheOrderOfEntriesIsNone) {
  std::swap(routes[0], routes[1]);
  std::swap(after["services"][0], after["services"][1]);
  STRCMP_EQUAL("", Compare().c_str());
}

// Hosts take up only newer versions.
TEST(RouteDifferences, AVersionThatHostsIgnoreIsAnError) {
  after["version"] = "r11";
  STRCMP_CONTAINS("error: /version: 11 is not above the version in force, 12",
                  Compare().c_str());
  after["version"] = "r12";
  routes[0]["timeout"] = "3s";
  STRCMP_CONTAINS("error: /version: 12 is not above", Compare().c_str());
}

TEST(RouteDifferences, AConfigurationOfAnotherKindIsNotCompared) {
  before = nlohmann::json::parse(R"({"services": {}})");
  STRCMP_CONTAINS("error: cannot be compared", Compare().c_str());
  before = ValidConfiguration();
  before.erase("version");
  STRCMP_CONTAINS("error: cannot be compared", Compare().c_str());
}

}  // namespace
}  // namespace mimosadeal
