#include "configuration_check/service_findings.h"

#include <nlohmann/json.hpp>

#include "common/json_text.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxValueText = 80;  // Characters, so that it fits on a line.

std::string ValueText(const Json& value) {
  const std::string text = JsonText(value);
  return text.size() <= kMaxValueText ? text
                                      : text.substr(0, kMaxValueText) + "...";
}

}  // namespace

Findings FindErrors(const std::vector<ConfigurationFault>& faults) {
  Findings findings;
  for (const ConfigurationFault& fault : faults) {
    findings.push_back({FindingSeverity::kError, fault.path, fault.message, 0});
  }
  return findings;
}

Findings FindUnmatchableEntries(const Configuration& configuration) {
  Findings findings;
  for (const auto& [name, service] : configuration.services) {
    const std::string pointer = "/services/" + PointerToken(name) + "/rules/";
    for (size_t i = 0; i < service.rules.size(); ++i) {
      const RequestRule& rule = service.rules[i];
      // The shortest request of the rule. Where the rule is for any method, the
      // request's empty one is none that another rule could name.
      const RequestRule* found =
          FindRule(service, rule.method, rule.path_prefix);
      if (found == &rule) continue;
      findings.push_back({FindingSeverity::kWarning,
                          pointer + std::to_string(i),
                          "no request comes here: rule " +
                              std::to_string(found - service.rules.data()) +
                              " takes those of " + Quoted(rule.path_prefix),
                          0});
    }
  }
  return findings;
}

Findings DescribeDifferences(const Json& before, const Json& after) {
  Findings findings = FindErrors(
      CheckImmutableFields(ParseConfiguration(before, 0).configuration,
                           ParseConfiguration(after, 0).configuration));
  for (const Json& change : Json::diff(before, after)) {
    const std::string pointer = change["path"];
    std::string message = "is removed";
    if (change["op"] == "add")
      message = "is new: " + ValueText(change["value"]);
    if (change["op"] == "replace") {
      message = ValueText(change["value"]) + ", was " +
                ValueText(before.at(Json::json_pointer(pointer)));
    }
    findings.push_back(
        {FindingSeverity::kDifference, pointer, std::move(message), 0});
  }
  return findings;
}

}  // namespace mimosadeal
