#include "configuration_check/finding.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "common/enum_names.h"

namespace mimosadeal {
namespace {

constexpr EnumNames<FindingSeverity, 4> kFindingSeverityNames = {{
    {FindingSeverity::kError, "error"},
    {FindingSeverity::kWarning, "warning"},
    {FindingSeverity::kDifference, "difference"},
    {FindingSeverity::kNote, "note"},
}};

constexpr char kDelete = 0x7f;
constexpr double kMillisecondsPerSecond = 1e3;

// Escapes control characters, which could move a terminal's cursor. Other bytes
// are kept.
std::string Printable(const std::string& text) {
  std::string printable;
  for (const char c : text) {
    const bool control = (c >= 0 && c < ' ') || c == kDelete;
    printable += control ? '?' : c;
  }
  return printable;
}

}  // namespace

std::string_view FindingSeverityName(FindingSeverity severity) {
  return NameOf(kFindingSeverityNames, severity);
}

bool NeedsAttention(const Findings& findings) {
  return std::any_of(findings.begin(), findings.end(),
                     [](const Finding& finding) {
                       return finding.severity == FindingSeverity::kError ||
                              finding.severity == FindingSeverity::kWarning;
                     });
}

std::string FindingText(const std::string& file, const Finding& finding) {
  std::string text = file;
  if (finding.line > 0) text += ":" + std::to_string(finding.line);
  text += ": " + std::string(FindingSeverityName(finding.severity)) + ": ";
  if (!finding.pointer.empty()) text += finding.pointer + ": ";
  return Printable(text + finding.message);
}

nlohmann::json FindingJson(const Finding& finding) {
  return {{"severity", FindingSeverityName(finding.severity)},
          {"field", finding.pointer},
          {"line", finding.line},
          {"message", finding.message}};
}

std::string Quoted(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', /*ensure_ascii=*/true,
                                   nlohmann::json::error_handler_t::replace);
}

std::string MillisecondsText(Duration time) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.10gms",
                ToSeconds(time) * kMillisecondsPerSecond);
  return text;
}

}  // namespace mimosadeal
