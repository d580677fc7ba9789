// Tests of the command lines of mimosadeal and mimosactl.

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "child_process.h"
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
  }
}

}  // namespace
}  // namespace mimosadeal
