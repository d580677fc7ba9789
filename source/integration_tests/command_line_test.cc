// Tests of the command lines of mimosadeal and mimosactl.

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "child_process.h"
#include "entry_fixture.h"
#include "test_fixture.h"

namespace mimosadeal {
namespace {

struct CommandOutput {
  int exit_code = -1;
  std::string text;
};

CommandOutput RunCommand(const std::string& program,
                         const std::vector<std::string>& arguments) {
  std::string path = "/tmp/mimosadeal-command-XXXXXX";
  const int fd = mkstemp(path.data());
  if (fd >= 0) close(fd);
  ChildProcess process(program, arguments, path);
  CommandOutput output;
  output.exit_code = process.Wait();
  std::ifstream file(path);
  output.text.assign(std::istreambuf_iterator<char>(file), {});
  std::filesystem::remove(path);
  return output;
}

CommandOutput RunMimosactl(const EntryHost& host,
                           std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "--host=" + host.operators);
  return RunCommand(MIMOSADEAL_CONTROL, arguments);
}

// A file with a configuration, removed with this object.
class ConfigurationFile {
 public:
  explicit ConfigurationFile(const std::string& text)
      : path_("/tmp/mimosadeal-check-XXXXXX") {
    const int fd = mkstemp(path_.data());
    if (fd >= 0) close(fd);
    std::ofstream(path_) << text;
  }
  explicit ConfigurationFile(const nlohmann::json& content)
      : ConfigurationFile(content.dump(1)) {}
  ~ConfigurationFile() { std::filesystem::remove(path_); }
  ConfigurationFile(const ConfigurationFile&) = delete;
  ConfigurationFile& operator=(const ConfigurationFile&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

CommandOutput RunCheck(const ConfigurationFile& file,
                       std::vector<std::string> options = {}) {
  std::vector<std::string> arguments = {"check", file.path()};
  arguments.insert(arguments.end(), options.begin(), options.end());
  return RunCommand(MIMOSADEAL_CONTROL, arguments);
}

TEST_GROUP(CommandLine){};

TEST(CommandLine, TheDaemonPrintsHelpAndChecksSettings) {
  const std::string daemon = DefaultPrograms().daemon;
  STRCMP_CONTAINS("mimosadeal 0.",
                  RunCommand(daemon, {"--version"}).text.c_str());
  STRCMP_CONTAINS("--settings", RunCommand(daemon, {"--help"}).text.c_str());
  LONGS_EQUAL(2, RunCommand(daemon, {}).exit_code);
  for (const char* name : {"connecticut-valley", "sfax"}) {
    const std::string path =
        std::string(MIMOSADEAL_EXAMPLES) + "/" + name + "/entry-1.toml";
    LONGS_EQUAL(
        0, RunCommand(daemon, {"--settings=" + path, "--check"}).exit_code);
    const CommandOutput faulty = RunCommand(
        daemon,
        {"--settings=" + path, "--check", "--set=leases.ttl_ms=1,nowhere.x=2"});
    LONGS_EQUAL(2, faulty.exit_code);
    STRCMP_CONTAINS("leases.ttl_ms: must be a whole number",
                    faulty.text.c_str());
    STRCMP_CONTAINS("nowhere.x: unknown setting", faulty.text.c_str());
  }
}

TEST(CommandLine, MimosactlPrintsTablesAndJsonAndReturnsExitCodes) {
  TestFixture fixture(YardLayout({"a"}, 2, 2));
  fixture.Start();
  const EntryHost& host = fixture.deployment().hosts()[0];
  STRCMP_CONTAINS("version: 1", RunMimosactl(host, {"show"}).text.c_str());
  STRCMP_CONTAINS("yard-a1", RunMimosactl(host, {"status"}).text.c_str());
  STRCMP_CONTAINS("upstream: yard-a",
                  RunMimosactl(host, {"owner", "yard", "7"}).text.c_str());
  const CommandOutput json =
      RunMimosactl(host, {"owner", "yard", "7", "--json"});
  CHECK_TRUE(nlohmann::json::parse(json.text)["shard"].is_number());
  LONGS_EQUAL(3, RunMimosactl(host, {"owner", "nothing", "7"}).exit_code);

  const std::string patch_path =
      "/tmp/mimosadeal-patch-" + std::to_string(getpid());
  std::ofstream(patch_path) << R"({"services": {"yard": {"slots": 3}}})";
  const std::string id = "--patch_id=from-test";
  LONGS_EQUAL(2, RunMimosactl(host, {"patch", patch_path}).exit_code);
  LONGS_EQUAL(0,
              RunMimosactl(host, {"patch", patch_path, "--base_version=1", id})
                  .exit_code);
  STRCMP_CONTAINS("applied before", RunMimosactl(host, {"patch", patch_path,
                                                        "--base_version=1", id})
                                        .text.c_str());
  const CommandOutput stale =
      RunMimosactl(host, {"patch", patch_path, "--base_version=1"});
  LONGS_EQUAL(3, stale.exit_code);
  STRCMP_CONTAINS("the present version is 2", stale.text.c_str());
  std::filesystem::remove(patch_path);

  LONGS_EQUAL(0, RunMimosactl(host, {"drain", "yard-a1"}).exit_code);
  STRCMP_CONTAINS("drained: yard-a1",
                  RunMimosactl(host, {"show"}).text.c_str());
  LONGS_EQUAL(0, RunMimosactl(host, {"drain", "yard-a1", "--undo"}).exit_code);
  LONGS_EQUAL(2, RunMimosactl(host, {"dance"}).exit_code);
  LONGS_EQUAL(
      1,
      RunCommand(MIMOSADEAL_CONTROL, {"--host=127.0.0.1:1", "show"}).exit_code);
}

TEST(CommandLine, TheExampleConfigurationsAreValid) {
  TestFixture fixture(YardLayout({"a"}, 1, 1));
  fixture.Start();
  const EntryHost& host = fixture.deployment().hosts()[0];
  int version = 1;
  for (const char* name : {"connecticut-valley", "sfax"}) {
    const std::string path =
        std::string(MIMOSADEAL_EXAMPLES) + "/" + name + "/configuration.json";
    const CommandOutput output = RunMimosactl(
        host, {"patch", path, "--base_version=" + std::to_string(version++)});
    LONGS_EQUAL_TEXT(0, output.exit_code, output.text.c_str());
    LONGS_EQUAL(0, RunCommand(MIMOSADEAL_CONTROL, {"check", path}).exit_code);
  }
}

TEST(CommandLine, CheckReturnsExitCodesAndComparesWithAFile) {
  EntryFixture fixture;
  nlohmann::json content = fixture.Configuration(3);
  const ConfigurationFile valid(content);
  const CommandOutput nothing = RunCheck(valid);
  LONGS_EQUAL_TEXT(0, nothing.exit_code, nothing.text.c_str());
  STRCMP_CONTAINS(": no findings", nothing.text.c_str());

  nlohmann::json& route = content["virtualHosts"][0]["paths"][1];
  route["service"] = "nowhere";
  const CommandOutput faulty = RunCheck(ConfigurationFile(content));
  LONGS_EQUAL(1, faulty.exit_code);
  STRCMP_CONTAINS("error: /virtualHosts/0/paths/1/service: no service is",
                  faulty.text.c_str());
  const CommandOutput json = RunCheck(ConfigurationFile(content), {"--json"});
  LONGS_EQUAL(1, json.exit_code);
  const nlohmann::json report = nlohmann::json::parse(json.text);
  STRCMP_EQUAL("error",
               report["findings"][0]["severity"].get<std::string>().c_str());
  CHECK(report["findings"][0]["line"].get<int>() > 1);

  for (const std::string& text :
       {std::string("{"), std::string("[]"), std::string(2000000, ' ')})
    LONGS_EQUAL(2, RunCheck(ConfigurationFile(text)).exit_code);
  LONGS_EQUAL(2,
              RunCommand(MIMOSADEAL_CONTROL, {"check", "/nowhere"}).exit_code);
  LONGS_EQUAL(2, RunCommand(MIMOSADEAL_CONTROL, {"check", "/tmp"}).exit_code);
  LONGS_EQUAL(2, RunCommand(MIMOSADEAL_CONTROL, {"check"}).exit_code);

  const ConfigurationFile newer(fixture.Configuration(4));
  const CommandOutput compared = RunCheck(newer, {"--against=" + valid.path()});
  LONGS_EQUAL_TEXT(0, compared.exit_code, compared.text.c_str());
  STRCMP_CONTAINS("difference: /version: 4, was 3", compared.text.c_str());
  const CommandOutput older = RunCheck(valid, {"--against=" + newer.path()});
  LONGS_EQUAL(1, older.exit_code);
  STRCMP_CONTAINS("not above the version in force", older.text.c_str());
  LONGS_EQUAL(2, RunCheck(valid, {"--against=/nowhere"}).exit_code);
}

TEST(CommandLine, CheckComparesWithTheConfigurationInForceAtAHost) {
  EntryFixture fixture;
  fixture.StartDefaultDeployment(1);
  const EntryProcess& host = *fixture.hosts.at("host-1");
  const std::string against = "--against=" + host.operators.ToString();
  const CommandOutput same =
      RunCheck(ConfigurationFile(fixture.Configuration(1)), {against});
  LONGS_EQUAL_TEXT(0, same.exit_code, same.text.c_str());
  STRCMP_CONTAINS(": no findings", same.text.c_str());

  const std::string operators = "--host=" + host.operators.ToString();
  const CommandOutput shown =
      RunCommand(MIMOSADEAL_CONTROL, {operators, "show", "--json"});
  LONGS_EQUAL_TEXT(0, shown.exit_code, shown.text.c_str());
  CHECK(nlohmann::json::parse(shown.text)["configuration"] ==
        fixture.Configuration(1));

  nlohmann::json content = fixture.Configuration(2);
  content["virtualHosts"][0]["paths"][0]["timeout"] = "1200ms";
  const ConfigurationFile changed(content);
  const CommandOutput output = RunCheck(changed, {against});
  LONGS_EQUAL_TEXT(0, output.exit_code, output.text.c_str());
  STRCMP_CONTAINS("1200ms, was 1500ms", output.text.c_str());

  // The host does not take it up, so it is not the one in force.
  content.erase("virtualHosts");
  fixture.store->Put("config", "main", content);
  CHECK(fixture.RunUntil(
      [&] {
        return fixture.HostLog("host-1").find("configuration.rejected") !=
               std::string::npos;
      },
      std::chrono::seconds(5)));
  const CommandOutput rejected = RunCheck(changed, {against});
  LONGS_EQUAL(2, rejected.exit_code);
  STRCMP_CONTAINS("another configuration than the one in force",
                  rejected.text.c_str());
  LONGS_EQUAL(2, RunCheck(changed, {"--against=127.0.0.1:1"}).exit_code);
}

TEST(CommandLine, CheckComparesWithAHostOfTheProductsOwnInterface) {
  TestFixture fixture(YardLayout({"a"}, 1, 1));
  fixture.Start();
  const EntryHost& host = fixture.deployment().hosts()[0];
  const CommandOutput shown = RunMimosactl(host, {"show", "--json"});
  nlohmann::json content = nlohmann::json::parse(shown.text)["configuration"];
  const std::string against = "--against=" + host.operators;
  const CommandOutput same = RunCheck(ConfigurationFile(content), {against});
  LONGS_EQUAL_TEXT(0, same.exit_code, same.text.c_str());
  content["services"]["yard"]["slots"] = 3;
  STRCMP_CONTAINS("difference: /services/yard/slots",
                  RunCheck(ConfigurationFile(content), {against}).text.c_str());
  content["services"]["yard"]["slots"] = 0;
  LONGS_EQUAL(1, RunCheck(ConfigurationFile(content), {against}).exit_code);
}

}  // namespace
}  // namespace mimosadeal
