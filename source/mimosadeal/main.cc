// The daemon: parses the command line, loads the settings and runs an entry
// host.
//
// Exit codes: 0 after a planned stop or a successful --check; 1 when it cannot
// listen on an address; 2 for invalid settings or arguments.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "common/log.h"
#include "common/version.h"
#include "entry/entry_node.h"
#include "platform/deployment.h"
#include "server/node.h"
#include "settings/setting_table.h"
#include "settings/settings_loader.h"

ABSL_FLAG(std::string, settings, "",
          "The TOML file with this host's settings.");
ABSL_FLAG(std::vector<std::string>, set, {},
          "Comma-separated settings that override the file, each as "
          "section.name=value.");
ABSL_FLAG(bool, print_settings, false,
          "Only print the table of all settings, and exit.");
ABSL_FLAG(bool, check, false, "Only check the settings, and exit.");

namespace {

constexpr int kExitCannotListen = 1;
constexpr int kExitBadSettings = 2;

constexpr char kUsage[] =
    "mimosadeal runs one entry host of the router.\n\n"
    "  mimosadeal --settings FILE            run until SIGTERM, which starts a "
    "planned stop\n"
    "  mimosadeal --settings FILE --check    check the settings and exit\n"
    "  mimosadeal --print_settings           print the table of all settings "
    "and exit\n\n"
    "Exit codes: 0 planned stop or valid settings; 1 cannot listen on an "
    "address;\n"
    "2 faults in the settings or the command line.";

void PrintSettings() {
  std::printf("| setting | default | allowed | meaning |\n|---|---|---|---|\n");
  for (const mimosadeal::SettingSpec& spec : mimosadeal::AllSettings()) {
    const std::string fallback =
        spec.default_text.empty() ? "required" : std::string(spec.default_text);
    std::printf("| `%.*s` | %s | %s | %.*s |\n",
                static_cast<int>(spec.name.size()), spec.name.data(),
                fallback.c_str(), mimosadeal::DescribeAllowed(spec).c_str(),
                static_cast<int>(spec.help.size()), spec.help.data());
  }
}

void ApplyLogSettings(const mimosadeal::Settings& settings) {
  const auto format = settings.log_format == "json"
                          ? mimosadeal::LogFormat::kJson
                          : mimosadeal::LogFormat::kText;
  mimosadeal::ConfigureLogging(format,
                               spdlog::level::from_str(settings.log_level));
  for (const auto& [part, level] : settings.log_parts) {
    if (!mimosadeal::SetLogLevel(part, spdlog::level::from_str(level))) {
      mimosadeal::Log(mimosadeal::LogPart::kServer)
          .warn("log.parts: no part of the program is called {}", part);
    }
  }
}

template <typename NodeType>
int RunNode(mimosadeal::Result<std::unique_ptr<NodeType>> node) {
  if (!node.has_value()) {
    std::fprintf(stderr, "%s\n",
                 mimosadeal::DescribeError(node.error()).c_str());
    return kExitCannotListen;
  }
  node.value()->Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  absl::FlagsUsageConfig usage;
  usage.version_string = [] {
    return std::string("mimosadeal ") + mimosadeal::kVersion + "\n";
  };
  usage.contains_help_flags = [](absl::string_view file) {
    return file.find("mimosadeal/main.cc") != file.npos;
  };
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage(kUsage);
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_print_settings)) {
    PrintSettings();
    return 0;
  }
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (rest.size() > 1 || path.empty()) {
    std::fprintf(stderr, "%s\n",
                 path.empty() ? "--settings is required; see --help"
                              : "unexpected argument; see --help");
    return kExitBadSettings;
  }
  mimosadeal::LoadedSettings loaded =
      mimosadeal::LoadSettings(path, absl::GetFlag(FLAGS_set));
  if (!loaded.faults.empty()) {
    for (const auto& fault : loaded.faults)
      std::fprintf(stderr, "%s\n", fault.ToString().c_str());
    return kExitBadSettings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::printf("%s: the settings are valid\n", path.c_str());
    return 0;
  }
  ApplyLogSettings(loaded.settings);
  if (loaded.settings.platform_protocol == mimosadeal::kObjectStoreProtocol) {
    return RunNode(mimosadeal::EntryNode::Start(
        std::move(loaded.settings), path,
        mimosadeal::platform::MakeDeploymentProtocol()));
  }
  return RunNode(mimosadeal::Node::Start(std::move(loaded.settings)));
}
