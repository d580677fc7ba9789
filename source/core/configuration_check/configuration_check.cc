#include "configuration_check/configuration_check.h"

#include <algorithm>
#include <utility>

#include "configuration_check/json_positions.h"
#include "configuration_check/route_differences.h"
#include "configuration_check/route_findings.h"
#include "configuration_check/service_findings.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

void Append(Findings& findings, Findings more) {
  std::move(more.begin(), more.end(), std::back_inserter(findings));
}

// The product's own configuration has services by name, and no version.
bool IsOwnSpelling(const Json& content) {
  const auto services = content.find("services");
  return !content.contains("version") &&
         ((services != content.end() && services->is_object()) ||
          content.contains("drains"));
}

Finding NotComparable(const char* reason) {
  return {FindingSeverity::kError, "",
          std::string("cannot be compared: ") + reason, 0};
}

bool IsRejected(const RouteDocument& document) {
  return std::any_of(document.problems.begin(), document.problems.end(),
                     [](const DocumentProblem& problem) {
                       return problem.effect == ProblemEffect::kRejected;
                     });
}

Findings CheckRoutes(const Json& content, const ConfigurationSpelling& spelling,
                     const Json* in_force) {
  const RouteDocument document = spelling.read(content);
  Findings findings = FindErrors(document);
  Append(findings, FindUnmatchableEntries(document));
  Append(findings, FindContradictions(document));
  if (in_force == nullptr || IsRejected(document)) return findings;
  const RouteDocument before = spelling.read(*in_force);
  if (IsRejected(before)) {
    findings.push_back(
        NotComparable("hosts would reject the configuration in force"));
  } else {
    Append(findings, DescribeDifferences(before, document));
  }
  return findings;
}

Findings CheckServices(const Json& content, const Json* in_force) {
  const ParsedConfiguration parsed = ParseConfiguration(content, 0);
  Findings findings = FindErrors(parsed.faults);
  if (!parsed.faults.empty()) return findings;
  Append(findings, FindUnmatchableEntries(parsed.configuration));
  if (in_force == nullptr) return findings;
  if (!ParseConfiguration(*in_force, 0).faults.empty()) {
    findings.push_back(
        NotComparable("hosts would reject the configuration in force"));
  } else {
    Append(findings, DescribeDifferences(*in_force, content));
  }
  return findings;
}

void SortByLine(Findings& findings, const JsonPositions& positions) {
  for (Finding& finding : findings) {
    if (finding.line == 0) finding.line = LineOf(positions, finding.pointer);
  }
  std::stable_sort(findings.begin(), findings.end(),
                   [](const Finding& left, const Finding& right) {
                     return left.line < right.line;
                   });
}

}  // namespace

CheckReport CheckConfiguration(const std::string& text,
                               const ConfigurationSpelling& spelling,
                               const Json* in_force) {
  CheckReport report;
  if (text.size() > kMaxConfigurationBytes) {
    report.findings.push_back({FindingSeverity::kError, "",
                               "is larger than " +
                                   std::to_string(kMaxConfigurationBytes) +
                                   " bytes, the platform's largest value",
                               0});
    return report;
  }
  const JsonPositions positions = FindJsonPositions(text);
  report.findings = positions.findings;
  const auto content = spelling.parse(text);
  if (!positions.is_json || !content.has_value()) return report;
  if (!content->is_object()) {
    report.findings.push_back(
        {FindingSeverity::kError, "", "must be an object", 0});
    return report;
  }
  report.readable = true;
  const bool own = IsOwnSpelling(*content);
  if (in_force != nullptr &&
      (!in_force->is_object() || IsOwnSpelling(*in_force) != own)) {
    report.findings.push_back(
        NotComparable("the configuration in force is of another kind"));
    in_force = nullptr;
  }
  Append(report.findings, own ? CheckServices(*content, in_force)
                              : CheckRoutes(*content, spelling, in_force));
  SortByLine(report.findings, positions);
  return report;
}

}  // namespace mimosadeal
