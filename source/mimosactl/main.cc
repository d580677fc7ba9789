// The operators' command line tool: parses the command line and calls an entry
// host.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/version.h"
#include "operator_client/check_command.h"
#include "operator_client/file_text.h"
#include "operator_client/operator_commands.h"
#include "platform/deployment.h"

ABSL_FLAG(std::string, host, "127.0.0.1:8081",
          "Operators' address (ip:port) of any entry host.");
ABSL_FLAG(bool, json, false, "Print JSON for scripts instead of tables.");
ABSL_FLAG(int64_t, base_version, -1,
          "For patch: the version against which the patch was made.");
ABSL_FLAG(std::string, patch_id, "",
          "For patch and drain: the id that identifies a repeated patch. A new "
          "one is generated when it is empty.");
ABSL_FLAG(std::string, against, "",
          "For check: the configuration in force, as the operators' address "
          "(ip:port) of a host or as a file.");
ABSL_FLAG(bool, undo, false, "For drain: put the upstream back into service.");
ABSL_FLAG(int64_t, timeout_ms, 10000, "Longest wait for the host's response.");

namespace {

using mimosadeal::CommandExit;
using mimosadeal::CommandResult;

constexpr char kUsage[] =
    "mimosactl administers mimosadeal through any of its entry hosts.\n\n"
    "  mimosactl show                       the configuration and its version\n"
    "  mimosactl status                     the host, its leases, upstreams "
    "and, at the controller, all hosts\n"
    "  mimosactl owner SERVICE KEY          which server owns a key, and "
    "through which host\n"
    "  mimosactl patch FILE --base_version N     apply a JSON merge patch made "
    "against version N (- reads stdin)\n"
    "  mimosactl drain UPSTREAM [--undo]    take a server out of service "
    "gracefully, or put it back\n"
    "  mimosactl check FILE [--against HOST|FILE]     check a configuration "
    "before it is sent, and show what differs from the one in force\n\n"
    "Exit codes of check: 0 no errors or warnings; 1 some; 2 a configuration "
    "cannot be read.\n"
    "Exit codes of the others: 0 done; 1 the host cannot be reached or the "
    "store is down, "
    "nothing was done;\n"
    "2 faults in the command line; 3 refused (stale version, invalid "
    "configuration, unknown name);\n"
    "4 a patch may have been applied: run it again with the same --patch_id.";

// Hosts accept no larger patches.
constexpr size_t kMaxPatchBytes = 1024 * 1024;

CommandResult UsageError(const std::string& message) {
  return {CommandExit::kUsage, "", message + "; see --help"};
}

CommandResult RunPatch(mimosadeal::OperatorClient& client,
                       const std::string& path, const std::string& patch_id) {
  const int64_t version = absl::GetFlag(FLAGS_base_version);
  if (version < 0)
    return UsageError(
        "patch needs --base_version, so that nobody's change is overwritten "
        "unseen");
  const auto patch = mimosadeal::ReadFileText(path, kMaxPatchBytes);
  if (!patch.has_value()) return UsageError(patch.error().message);
  return mimosadeal::PatchConfiguration(client, patch.value(), patch_id,
                                        static_cast<uint64_t>(version),
                                        absl::GetFlag(FLAGS_json));
}

CommandResult RunCommand(mimosadeal::OperatorClient& client,
                         const std::vector<std::string>& words,
                         const std::string& patch_id) {
  const bool as_json = absl::GetFlag(FLAGS_json);
  const std::string& command = words[0];
  if (command == "show" && words.size() == 1)
    return mimosadeal::ShowConfiguration(client, as_json);
  if (command == "status" && words.size() == 1)
    return mimosadeal::ShowStatus(client, as_json);
  if (command == "owner" && words.size() == 3)
    return mimosadeal::ShowOwner(client, words[1], words[2], as_json);
  if (command == "patch" && words.size() == 2)
    return RunPatch(client, words[1], patch_id);
  if (command == "drain" && words.size() == 2) {
    return mimosadeal::DrainUpstream(
        client, words[1], absl::GetFlag(FLAGS_undo), patch_id, as_json);
  }
  return UsageError("unknown command, or wrong number of arguments");
}

}  // namespace

int main(int argc, char** argv) {
  absl::FlagsUsageConfig usage;
  usage.version_string = [] {
    return std::string("mimosactl ") + mimosadeal::kVersion + "\n";
  };
  usage.contains_help_flags = [](absl::string_view file) {
    return file.find("mimosactl/main.cc") != file.npos;
  };
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage(kUsage);
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> words(rest.begin() + 1, rest.end());
  const auto address =
      mimosadeal::ParseSocketAddress(absl::GetFlag(FLAGS_host));
  CommandResult result;
  std::string patch_id = absl::GetFlag(FLAGS_patch_id);
  if (patch_id.empty()) patch_id = mimosadeal::NewUniqueId();
  const std::chrono::milliseconds timeout(absl::GetFlag(FLAGS_timeout_ms));
  if (words.empty()) {
    result = UsageError("a command is required");
  } else if (words[0] == "check" && words.size() == 2) {
    result = mimosadeal::CheckFile(
        {words[1], absl::GetFlag(FLAGS_against), timeout,
         absl::GetFlag(FLAGS_json)},
        mimosadeal::platform::MakeConfigurationSpelling());
  } else if (!address.has_value()) {
    result = UsageError("--host: " + address.error().message);
  } else {
    mimosadeal::OperatorClient client(address.value(), timeout);
    result = RunCommand(client, words, patch_id);
  }
  std::fputs(result.output.c_str(), stdout);
  if (!result.error.empty()) std::fprintf(stderr, "%s\n", result.error.c_str());
  if (result.exit == CommandExit::kUnknown)
    std::fprintf(stderr, "repeat with --patch_id=%s\n", patch_id.c_str());
  return static_cast<int>(result.exit);
}
