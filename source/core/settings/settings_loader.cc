#include "settings/settings_loader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>
#include <string_view>

#include "net/socket_address.h"
#include "settings/setting_table.h"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace mimosadeal {
namespace {

constexpr std::array<std::string_view, 6> kLogLevels = {
    "trace", "debug", "info", "warning", "error", "off"};
constexpr std::array<std::string_view, 2> kLogFormats = {"text", "json"};
constexpr std::array<std::string_view, 2> kProtocols = {"native",
                                                        kObjectStoreProtocol};
constexpr std::array<std::string_view, 3> kSchedulingPolicies = {
    "shares", "strict", "first-come"};

template <size_t kCount>
bool Contains(const std::array<std::string_view, kCount>& names,
              std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Applies the layers of settings one after another and collects the faults.
class Loader {
 public:
  Loader(std::string path, LoadedSettings& loaded)
      : path_(std::move(path)), loaded_(loaded) {}

  void ApplyDefaults() {
    for (const SettingSpec& spec : AllSettings()) {
      if (!spec.default_text.empty())
        SetFromString(spec, spec.default_text, "default", 0);
    }
  }

  void ApplyFile(const std::string& text) {
    toml::parse_result parsed = toml::parse(text, path_);
    if (!parsed) {
      const toml::parse_error& error = parsed.error();
      AddFault(path_, error.source().begin.line, "",
               std::string(error.description()));
      return;
    }
    for (const auto& [key, node] : parsed.table()) {
      const std::string section(key.str());
      if (section == "routes") {
        ApplyStringTable(section, node, loaded_.settings.routes);
      } else if (const toml::table* table = node.as_table()) {
        ApplySection(section, *table);
      } else {
        AddFault(path_, node.source().begin.line, section, "unknown setting");
      }
    }
  }

  void ApplyOverride(const std::string& text) {
    const size_t equals = text.find('=');
    if (equals == std::string::npos) {
      AddFault("--set", 0, text, "expected section.name=value");
      return;
    }
    const std::string name = text.substr(0, equals);
    const SettingSpec* spec = FindSetting(name);
    if (spec == nullptr) {
      AddFault("--set", 0, name, "unknown setting");
      return;
    }
    SetFromString(*spec, text.substr(equals + 1), "--set", 0);
  }

  void CheckAll() {
    for (const SettingSpec& spec : AllSettings()) {
      if (spec.default_text.empty() && set_names_.count(spec.name) == 0) {
        AddFault(path_, 0, std::string(spec.name),
                 "is missing; " + std::string(spec.help));
      }
    }
    CheckAddress("listen.callers", loaded_.settings.callers_address);
    CheckAddress("listen.operators", loaded_.settings.operators_address);
    CheckAddress("listen.inner", loaded_.settings.inner_address);
    CheckAddress("platform.address", loaded_.settings.platform_address);
    for (const std::string& peer : loaded_.settings.seed_peers)
      CheckAddress("peers.seeds", peer);
    for (const auto& [listed, replacement] : loaded_.settings.routes) {
      CheckAddress("routes", listed);
      CheckAddress("routes", replacement);
    }
    CheckProtocol();
    CheckLog();
    CheckLeases();
    if (!Contains(kSchedulingPolicies, loaded_.settings.scheduling)) {
      AddFault(path_, 0, "requests.scheduling",
               "must be shares, strict or first-come");
    }
  }

 private:
  void CheckProtocol() {
    const std::string& protocol = loaded_.settings.platform_protocol;
    if (!Contains(kProtocols, protocol)) {
      AddFault(path_, 0, "platform.protocol", "must be native or object-store");
    } else if (protocol == kObjectStoreProtocol) {
      CheckAddress("listen.readiness", loaded_.settings.readiness_address);
    }
  }

  void ApplySection(const std::string& section, const toml::table& table) {
    for (const auto& [key, node] : table) {
      const std::string name = section + "." + std::string(key.str());
      const unsigned line = node.source().begin.line;
      if (name == "log.parts") {
        ApplyStringTable(name, node, loaded_.settings.log_parts);
      } else if (name == "peers.seeds") {
        ApplyStringList(name, node, loaded_.settings.seed_peers);
      } else if (const SettingSpec* spec = FindSetting(name)) {
        SetFromNode(*spec, node, line);
      } else {
        AddFault(path_, line, name, "unknown setting");
      }
    }
  }

  void ApplyStringTable(const std::string& name, const toml::node& node,
                        std::map<std::string, std::string>& target) {
    const toml::table* table = node.as_table();
    if (table == nullptr) {
      AddFault(path_, node.source().begin.line, name,
               "must be a table of texts");
      return;
    }
    for (const auto& [key, value] : *table) {
      const auto text = value.value<std::string>();
      if (!value.is_string() || !text.has_value()) {
        AddFault(path_, value.source().begin.line,
                 name + "." + std::string(key.str()), "must be a text");
        continue;
      }
      target[std::string(key.str())] = *text;
    }
  }

  void ApplyStringList(const std::string& name, const toml::node& node,
                       std::vector<std::string>& target) {
    const toml::array* array = node.as_array();
    if (array == nullptr) {
      AddFault(path_, node.source().begin.line, name,
               "must be a list of texts");
      return;
    }
    for (const toml::node& element : *array) {
      if (!element.is_string()) {
        AddFault(path_, element.source().begin.line, name,
                 "must be a list of texts");
        continue;
      }
      target.push_back(element.value<std::string>().value_or(""));
    }
  }

  void SetFromNode(const SettingSpec& spec, const toml::node& node,
                   unsigned line) {
    if (std::holds_alternative<std::string Settings::*>(spec.target)) {
      if (!node.is_string()) {
        AddFault(path_, line, std::string(spec.name),
                 "must be " + DescribeAllowed(spec));
        return;
      }
      SetString(spec, node.value<std::string>().value_or(""));
      return;
    }
    if (std::holds_alternative<bool Settings::*>(spec.target)) {
      const auto value = node.value_exact<bool>();
      SetBoolean(spec, value.has_value() ? (*value ? "true" : "false") : "",
                 path_, line);
      return;
    }
    const bool integers_only =
        !std::holds_alternative<double Settings::*>(spec.target);
    if (!node.is_integer() && (integers_only || !node.is_floating_point())) {
      AddFault(path_, line, std::string(spec.name),
               "must be " + DescribeAllowed(spec));
      return;
    }
    SetNumber(spec, node.value<double>().value_or(std::nan("")), path_, line);
  }

  void SetFromString(const SettingSpec& spec, std::string_view text,
                     const std::string& source, unsigned line) {
    if (std::holds_alternative<std::string Settings::*>(spec.target)) {
      SetString(spec, std::string(text));
      return;
    }
    if (std::holds_alternative<bool Settings::*>(spec.target)) {
      SetBoolean(spec, text, source, line);
      return;
    }
    double number = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), number);
    const bool integers_only =
        !std::holds_alternative<double Settings::*>(spec.target);
    const bool valid =
        parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!valid || (integers_only && std::floor(number) != number)) {
      AddFault(source, line, std::string(spec.name),
               "must be " + DescribeAllowed(spec));
      return;
    }
    SetNumber(spec, number, source, line);
  }

  void SetString(const SettingSpec& spec, std::string text) {
    set_names_.insert(spec.name);
    loaded_.settings.*std::get<std::string Settings::*>(spec.target) =
        std::move(text);
  }

  void SetBoolean(const SettingSpec& spec, std::string_view text,
                  const std::string& source, unsigned line) {
    if (text != "true" && text != "false") {
      AddFault(source, line, std::string(spec.name),
               "must be " + DescribeAllowed(spec));
      return;
    }
    set_names_.insert(spec.name);
    loaded_.settings.*std::get<bool Settings::*>(spec.target) = text == "true";
  }

  void SetNumber(const SettingSpec& spec, double number,
                 const std::string& source, unsigned line) {
    if (!(number >= spec.minimum && number <= spec.maximum)) {
      AddFault(source, line, std::string(spec.name),
               "must be " + DescribeAllowed(spec));
      return;
    }
    set_names_.insert(spec.name);
    Settings& settings = loaded_.settings;
    if (const auto* integer = std::get_if<int64_t Settings::*>(&spec.target)) {
      settings.** integer = static_cast<int64_t>(number);
    } else if (const auto* floating =
                   std::get_if<double Settings::*>(&spec.target)) {
      settings.** floating = number;
    } else {
      settings.*std::get<Duration Settings::*>(spec.target) =
          std::chrono::milliseconds(static_cast<int64_t>(number));
    }
  }

  void CheckAddress(const std::string& name, const std::string& text) {
    if (text.empty()) return;  // Reported as missing.
    const auto parsed = ParseSocketAddress(text);
    if (!parsed.has_value()) AddFault(path_, 0, name, parsed.error().message);
  }

  void CheckLog() {
    const Settings& settings = loaded_.settings;
    if (!Contains(kLogLevels, settings.log_level)) {
      AddFault(path_, 0, "log.level",
               "must be trace, debug, info, warning, error or off");
    }
    if (!Contains(kLogFormats, settings.log_format))
      AddFault(path_, 0, "log.format", "must be text or json");
    for (const auto& [part, level] : settings.log_parts) {
      if (!Contains(kLogLevels, level)) {
        AddFault(path_, 0, "log.parts." + part,
                 "must be trace, debug, info, warning, error or off");
      }
    }
  }

  // A renewal binds its sender to the controller's term for promise_ttl. This
  // must be longer than the lease that the renewal extends, so that no later
  // term takes effect while the lease is valid.
  void CheckLeases() {
    const Settings& settings = loaded_.settings;
    if (settings.lease_ttl >= settings.promise_ttl) {
      AddFault(path_, 0, "leases.ttl_ms",
               "must be less than leases.promise_ttl_ms");
    }
    if (settings.lease_renew * 3 > settings.lease_ttl) {
      AddFault(path_, 0, "leases.renew_ms",
               "must be at most a third of leases.ttl_ms");
    }
    if (settings.grant_renew * 3 > settings.grant_ttl) {
      AddFault(path_, 0, "leases.grant_renew_ms",
               "must be at most a third of leases.grant_ttl_ms");
    }
  }

  void AddFault(const std::string& source, unsigned line, std::string name,
                std::string message) {
    loaded_.faults.push_back(
        SettingFault{source, line, std::move(name), std::move(message)});
  }

  std::string path_;
  LoadedSettings& loaded_;
  std::set<std::string_view> set_names_;
};

}  // namespace

std::string SettingFault::ToString() const {
  std::string text = source;
  if (line != 0) text += ":" + std::to_string(line);
  if (!name.empty()) text += ": " + name;
  return text + ": " + message;
}

std::string RouteAddress(const std::map<std::string, std::string>& routes,
                         const std::string& address) {
  const auto found = routes.find(address);
  return found == routes.end() ? address : found->second;
}

LoadedSettings ParseSettings(const std::string& text, const std::string& path,
                             const std::vector<std::string>& overrides) {
  LoadedSettings loaded;
  Loader loader(path, loaded);
  loader.ApplyDefaults();
  loader.ApplyFile(text);
  for (const std::string& entry : overrides) loader.ApplyOverride(entry);
  loader.CheckAll();
  return loaded;
}

LoadedSettings LoadSettings(const std::string& path,
                            const std::vector<std::string>& overrides) {
  std::ifstream file(path);
  if (!file) {
    LoadedSettings loaded;
    loaded.faults.push_back(SettingFault{path, 0, "", "cannot be read"});
    return loaded;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), path, overrides);
}

}  // namespace mimosadeal
