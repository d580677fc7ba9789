#include "operator_client/check_command.h"

#include <utility>

#include "common/json_text.h"
#include "operator_client/file_text.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;

// The text of a member of an error response, which may be of any shape.
std::string TextMember(const Json& body, const char* name) {
  const auto found = body.find(name);
  return found != body.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

Result<Json> AskHost(const SocketAddress& address, Duration timeout) {
  OperatorClient client(address, timeout);
  BOOST_OUTCOME_TRY(response, client.Get("/configuration"));
  if (response.status != kStatusOk) {
    return MakeError(ErrorCode::kUnavailable,
                     "status " + std::to_string(response.status) + " " +
                         TextMember(response.body, "title") + ": " +
                         TextMember(response.body, "detail"));
  }
  const auto found = response.body.find("configuration");
  if (found == response.body.end())
    return MakeError(ErrorCode::kMalformed, "no configuration in the response");
  return *found;
}

Result<Json> ReadInForce(const CheckOptions& options,
                         const ConfigurationSpelling& spelling) {
  const auto address = ParseSocketAddress(options.against);
  if (address.has_value()) return AskHost(address.value(), options.timeout);
  BOOST_OUTCOME_TRY(text,
                    ReadFileText(options.against, kMaxConfigurationBytes));
  auto content = spelling.parse(text);
  if (!content.has_value())
    return MakeError(ErrorCode::kMalformed, options.against + " is not JSON");
  return std::move(*content);
}

CommandResult Unreadable(std::string error) {
  return {CommandExit::kUnreadable, "", std::move(error)};
}

std::string ReportText(const std::string& file, const Findings& findings) {
  if (findings.empty()) return file + ": no findings\n";
  std::string text;
  for (const Finding& finding : findings)
    text += FindingText(file, finding) + "\n";
  return text;
}

std::string ReportJson(const std::string& file, const CheckReport& report) {
  Json findings = Json::array();
  for (const Finding& finding : report.findings)
    findings.push_back(FindingJson(finding));
  return JsonText({{"file", file},
                   {"readable", report.readable},
                   {"findings", std::move(findings)}}) +
         "\n";
}

}  // namespace

CommandResult CheckFile(const CheckOptions& options,
                        const ConfigurationSpelling& spelling) {
  const auto text = ReadFileText(options.file, kMaxConfigurationBytes);
  if (!text.has_value()) return Unreadable(DescribeError(text.error()));
  Json in_force;
  if (!options.against.empty()) {
    auto read = ReadInForce(options, spelling);
    if (!read.has_value())
      return Unreadable("--against: " + DescribeError(read.error()));
    in_force = std::move(read.value());
  }
  const CheckReport report = CheckConfiguration(
      text.value(), spelling, options.against.empty() ? nullptr : &in_force);
  CommandResult result;
  result.output = options.as_json ? ReportJson(options.file, report)
                                  : ReportText(options.file, report.findings);
  if (!report.readable) {
    result.exit = CommandExit::kUnreadable;
  } else if (NeedsAttention(report.findings)) {
    result.exit = CommandExit::kFindings;
  }
  return result;
}

}  // namespace mimosadeal
