// Tests of loading and validating settings.
#include "settings/settings_loader.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace mimosadeal {
namespace {

const std::string kGood = R"([host]
id = "e1"
zone = "a"
group = "a"
[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
inner = "127.0.0.1:7000"
[platform]
address = "127.0.0.1:9000"
)";

bool HasFault(const LoadedSettings& loaded, const std::string& text) {
  for (const SettingFault& fault : loaded.faults) {
    if (fault.ToString() == text) return true;
  }
  return false;
}

TEST_GROUP(SettingsLoader){};

TEST(SettingsLoader, OverridesPrecedeTheFileAndTheFilePrecedesDefaults) {
  const LoadedSettings loaded = ParseSettings(
      kGood + "[leases]\nrenew_ms = 80\n", "f.toml", {"leases.ttl_ms=500"});
  LONGS_EQUAL(0, loaded.faults.size());
  LONGS_EQUAL(80, ToMilliseconds(loaded.settings.lease_renew));
  LONGS_EQUAL(500, ToMilliseconds(loaded.settings.lease_ttl));
  LONGS_EQUAL(600, ToMilliseconds(loaded.settings.promise_ttl));
}

TEST(SettingsLoader, ABooleanIsTrueOrFalseAndNothingElse) {
  CHECK_FALSE(ParseSettings(kGood, "f.toml", {}).settings.owner_room);
  const LoadedSettings loaded =
      ParseSettings(kGood + "[requests]\nowner_room = true\n", "f.toml", {});
  LONGS_EQUAL(0, loaded.faults.size());
  CHECK(loaded.settings.owner_room);
  CHECK_FALSE(ParseSettings(kGood + "[requests]\nowner_room = true\n", "f.toml",
                            {"requests.owner_room=false"})
                  .settings.owner_room);
  for (const char* wrong : {"1", "\"true\""}) {
    CHECK_TRUE(HasFault(
        ParseSettings(kGood + "[requests]\nowner_room = " + wrong + "\n",
                      "f.toml", {}),
        "f.toml:12: requests.owner_room: must be true or false"));
  }
}

TEST(SettingsLoader, ReportsAllFaultsWithLineNameAndAllowedValues) {
  const LoadedSettings loaded = ParseSettings(
      kGood +
          "[limits]\nmax_body_bytes = 1\nmax_boddy = "
          "5\n[requests]\nledger_entries = \"many\"\n[nowhere]\nx = 1\n",
      "f.toml", {"leases.ttl_ms=soon"});
  CHECK_TRUE(HasFault(loaded,
                      "f.toml:12: limits.max_body_bytes: must be a whole "
                      "number from 1024 to 67108864"));
  CHECK_TRUE(HasFault(loaded, "f.toml:13: limits.max_boddy: unknown setting"));
  CHECK_TRUE(HasFault(loaded,
                      "f.toml:15: requests.ledger_entries: must be a whole "
                      "number from 16 to 100000000"));
  CHECK_TRUE(HasFault(loaded, "f.toml:17: nowhere.x: unknown setting"));
  CHECK_TRUE(HasFault(
      loaded, "--set: leases.ttl_ms: must be a whole number from 50 to 60000"));
  LONGS_EQUAL(5, loaded.faults.size());
}

TEST(SettingsLoader, ReportsMissingSettingsAndMalformedAddresses) {
  const LoadedSettings loaded =
      ParseSettings("[listen]\ncallers = \"somewhere\"\n", "f.toml", {});
  CHECK_TRUE(HasFault(loaded,
                      "f.toml: host.id: is missing; Name of this host, unique "
                      "in the deployment."));
  CHECK_TRUE(HasFault(loaded,
                      "f.toml: listen.callers: \"somewhere\" is not an address "
                      "of the form ip:port"));
}

TEST(SettingsLoader, ReportsALeaseThatIsLongerThanItsPromise) {
  const LoadedSettings loaded =
      ParseSettings(kGood + "[leases]\nttl_ms = 700\n", "f.toml", {});
  CHECK_TRUE(HasFault(
      loaded,
      "f.toml: leases.ttl_ms: must be less than leases.promise_ttl_ms"));
}

TEST(SettingsLoader, ReportsTheLineOfATomlSyntaxError) {
  const LoadedSettings loaded = ParseSettings("[host\n", "f.toml", {});
  LONGS_EQUAL(1, loaded.faults[0].line);
}

TEST(SettingsLoader, AnUnreadableFileIsAFault) {
  LONGS_EQUAL(1, LoadSettings("/nowhere.toml", {}).faults.size());
}

}  // namespace
}  // namespace mimosadeal
