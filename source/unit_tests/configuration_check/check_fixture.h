// A valid configuration of the platform, and helpers for tests of the check.
#pragma once

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <string>

#include "configuration_check/configuration_check.h"
#include "platform/deployment.h"

namespace mimosadeal {

// Each member stands on the line that its test expects.
inline constexpr char kValidConfiguration[] = R"({
  "version": "r12",
  "services": [
    {"name": "yard", "healthPath": "/health", "maxConnections": 295,
     "sharded": true, "warm": "2s", "warmup": "3s", "warmupPerS": 4.5},
    {"name": "desk", "healthPath": "/health", "maxConnections": 295}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000,
             "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
  "virtualHosts": [{"host": "lots.example", "paths": [
    {"name": "lookup", "pathPrefix": "/a/", "kind": "safe",
     "timeout": "2000ms", "targetLatency": "600ms", "priority": 1,
     "maxAttempts": 2,
     "trafficSplit": [{"service": "yard", "weight": 90},
                      {"service": "desk", "weight": 10}]},
    {"name": "hold", "pathPrefix": "/a/b/", "kind": "unsafe",
     "timeout": "2.5s", "service": "yard"},
    {"name": "scan", "pathPrefix": "/", "kind": "upload",
     "timeout": "4s", "service": "desk"}]}]})";

inline nlohmann::json ValidConfiguration() {
  return nlohmann::json::parse(kValidConfiguration);
}

inline CheckReport CheckText(const std::string& text,
                             const nlohmann::json* in_force = nullptr) {
  return CheckConfiguration(text, platform::MakeConfigurationSpelling(),
                            in_force);
}

inline CheckReport CheckJson(const nlohmann::json& content,
                             const nlohmann::json* in_force = nullptr) {
  return CheckText(content.dump(1), in_force);
}

inline std::string TextOf(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings)
    text += FindingText("file", finding) + "\n";
  return text;
}

// Checks that there is one finding, of these values. `message`: a part of it.
inline void CheckOnly(const CheckReport& report, FindingSeverity severity,
                      const char* pointer, const char* message) {
  const std::string text = TextOf(report.findings);
  LONGS_EQUAL_TEXT(1, report.findings.size(), text.c_str());
  const Finding& finding = report.findings[0];
  CHECK_TRUE_TEXT(finding.severity == severity, text.c_str());
  STRCMP_EQUAL(pointer, finding.pointer.c_str());
  STRCMP_CONTAINS(message, finding.message.c_str());
}

}  // namespace mimosadeal
