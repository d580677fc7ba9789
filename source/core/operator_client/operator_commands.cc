#include "operator_client/operator_commands.h"

#include <utility>
#include <vector>

#include "operator_client/table_text.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

Json MemberOrDefault(const Json& object, const char* name,
                     const Json& fallback) {
  const auto found = object.find(name);
  return found == object.end() ? fallback : *found;
}

CommandResult MakeFailureResult(const Error& error) {
  const bool unknown_outcome = error.code == ErrorCode::kUnknownOutcome;
  return {unknown_outcome ? CommandExit::kUnknown : CommandExit::kUnreachable,
          "", DescribeError(error)};
}

// Describes a refusal, with the problem details in the host's response.
CommandResult MakeRefusalResult(const OperatorResponse& response) {
  CommandResult result;
  result.exit = CommandExit::kRefused;
  if (response.status == kStatusUnavailable) {
    const bool unknown_outcome =
        response.body.value("outcome", "") == "unknown";
    result.exit =
        unknown_outcome ? CommandExit::kUnknown : CommandExit::kUnreachable;
  }
  result.error = response.body.value("title", "refused") + ": " +
                 response.body.value("detail", "");
  if (response.body.contains("version")) {
    result.error +=
        "\nthe present version is " + response.body["version"].dump();
  }
  const Json faults = MemberOrDefault(response.body, "faults", Json::array());
  for (const Json& fault : faults) {
    result.error +=
        "\n" + fault.value("path", "") + " " + fault.value("message", "");
  }
  return result;
}

std::string ToText(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string MembersText(const Json& object,
                        const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    if (object.contains(name))
      text += name + ": " + ToText(object[name]) + "\n";
  }
  return text;
}

std::string StatusText(const Json& status) {
  std::string text = MembersText(
      status, {"host", "process", "zone", "version", "ready", "leaving",
               "configuration_version", "term", "controller", "standby",
               "lease_left_ms", "open_requests", "ledger_entries"});
  std::vector<TableRow> rows;
  for (const Json& upstream : status["upstreams"]) {
    rows.push_back({ToText(upstream["id"]), ToText(upstream["service"]),
                    ToText(upstream["dispatcher"]),
                    ToText(upstream["shards"])});
  }
  text += "\n" +
          MakeTableText({"UPSTREAM", "SERVICE", "DISPATCHER", "SHARDS"}, rows);
  if (!status["control"].is_object())
    return text + "\n(ask the controller for the hosts of the group)\n";
  rows.clear();
  for (const Json& host : status["control"]["hosts"]) {
    rows.push_back({ToText(host["process"]),
                    ToText(host["configuration_version"]),
                    ToText(host["table"]["term"]) + "/" +
                        ToText(host["table"]["sequence"]),
                    host["lost"].get<bool>()
                        ? "lost"
                        : (host["leaving"].get<bool>() ? "leaving" : "live")});
  }
  return text + "\n" +
         MakeTableText({"HOST", "CONFIGURATION", "TABLE", "STATE"}, rows);
}

std::string ConfigurationText(const Json& response) {
  std::string text = "version: " + ToText(response["version"]) + "\n\n";
  std::vector<TableRow> rows;
  const Json services =
      MemberOrDefault(response["configuration"], "services", Json::object());
  for (const auto& [service, members] : services.items()) {
    const Json ranks = MemberOrDefault(members, "ranks", Json::object());
    for (const auto& [rank, policy] : ranks.items()) {
      rows.push_back({service, rank,
                      ToText(MemberOrDefault(policy, "order", 0)),
                      ToText(MemberOrDefault(policy, "target_ms", 1000)),
                      ToText(MemberOrDefault(policy, "worth", 1)),
                      ToText(MemberOrDefault(policy, "share", 0))});
    }
  }
  text += MakeTableText(
      {"SERVICE", "RANK", "ORDER", "TARGET MS", "WORTH", "SHARE"}, rows);
  const Json drains =
      MemberOrDefault(response["configuration"], "drains", Json::object());
  for (const auto& [upstream, drained] : drains.items()) {
    if (drained == true) text += "drained: " + upstream + "\n";
  }
  return text;
}

CommandResult PrintResponse(const Result<OperatorResponse>& response,
                            bool as_json, std::string (*to_text)(const Json&)) {
  if (!response.has_value()) return MakeFailureResult(response.error());
  if (response.value().status != kStatusOk)
    return MakeRefusalResult(response.value());
  const Json& body = response.value().body;
  return {CommandExit::kDone, as_json ? body.dump(2) + "\n" : to_text(body),
          ""};
}

std::string PatchText(const Json& response) {
  const bool repeated = response.value("already_applied", false);
  return "version " + ToText(response["version"]) +
         (repeated ? " (this patch had been applied before)" : "") + "\n";
}

std::string OwnerText(const Json& owner) {
  return MembersText(owner, {"service", "key", "shard", "zone", "upstream",
                             "address", "dispatcher", "explanation"});
}

}  // namespace

CommandResult ShowConfiguration(OperatorClient& client, bool as_json) {
  return PrintResponse(client.Get("/configuration"), as_json,
                       ConfigurationText);
}

CommandResult ShowStatus(OperatorClient& client, bool as_json) {
  return PrintResponse(client.Get("/status"), as_json, StatusText);
}

CommandResult ShowOwner(OperatorClient& client, const std::string& service,
                        const std::string& key, bool as_json) {
  return PrintResponse(client.Get("/owner/" + service + "/" + key), as_json,
                       OwnerText);
}

CommandResult PatchConfiguration(OperatorClient& client,
                                 const std::string& patch,
                                 const std::string& patch_id,
                                 std::optional<uint64_t> version,
                                 bool as_json) {
  if (!version.has_value()) {
    const auto current = client.Get("/configuration");
    if (!current.has_value()) return MakeFailureResult(current.error());
    if (current.value().status != kStatusOk)
      return MakeRefusalResult(current.value());
    version = current.value().body["version"].get<uint64_t>();
  }
  return PrintResponse(client.PatchConfiguration(*version, patch_id, patch),
                       as_json, PatchText);
}

CommandResult DrainUpstream(OperatorClient& client, const std::string& upstream,
                            bool undo, const std::string& patch_id,
                            bool as_json) {
  // In a merge patch, null removes a member.
  const Json value = undo ? Json(nullptr) : Json(true);
  const Json patch = {{"drains", {{upstream, value}}}};
  return PatchConfiguration(client, patch.dump(), patch_id, std::nullopt,
                            as_json);
}

}  // namespace mimosadeal
