#include "operator_client/operator_commands.h"

#include <utility>
#include <vector>

#include "operator_client/table_text.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

Json MemberOr(const Json& object, const char* name, const Json& fallback) {
  const auto found = object.find(name);
  return found == object.end() ? fallback : *found;
}

CommandResult Failure(const Error& error) {
  const bool unknown = error.code == ErrorCode::kUnknownOutcome;
  return {unknown ? CommandExit::kUnknown : CommandExit::kUnreachable, "",
          DescribeError(error)};
}

// Explains a refusal by the host's problem details.
CommandResult Refusal(const OperatorAnswer& answer) {
  CommandResult result;
  result.exit = CommandExit::kRefused;
  if (answer.status == kStatusUnavailable) {
    const bool unknown = answer.body.value("outcome", "") == "unknown";
    result.exit = unknown ? CommandExit::kUnknown : CommandExit::kUnreachable;
  }
  result.error = answer.body.value("title", "refused") + ": " +
                 answer.body.value("detail", "");
  if (answer.body.contains("version")) {
    result.error += "\nthe present version is " + answer.body["version"].dump();
  }
  const Json faults = MemberOr(answer.body, "faults", Json::array());
  for (const Json& fault : faults) {
    result.error +=
        "\n" + fault.value("path", "") + " " + fault.value("message", "");
  }
  return result;
}

std::string Text(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string MembersText(const Json& object,
                        const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    if (object.contains(name)) text += name + ": " + Text(object[name]) + "\n";
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
    rows.push_back({Text(upstream["id"]), Text(upstream["service"]),
                    Text(upstream["dispatcher"]), Text(upstream["shards"])});
  }
  text += "\n" +
          MakeTableText({"UPSTREAM", "SERVICE", "DISPATCHER", "SHARDS"}, rows);
  if (!status["control"].is_object())
    return text + "\n(ask the controller for the hosts of the group)\n";
  rows.clear();
  for (const Json& host : status["control"]["hosts"]) {
    rows.push_back(
        {Text(host["process"]), Text(host["configuration_version"]),
         Text(host["table"]["term"]) + "/" + Text(host["table"]["sequence"]),
         host["lost"].get<bool>()
             ? "lost"
             : (host["leaving"].get<bool>() ? "leaving" : "live")});
  }
  return text + "\n" +
         MakeTableText({"HOST", "CONFIGURATION", "TABLE", "STATE"}, rows);
}

std::string ConfigurationText(const Json& answer) {
  std::string text = "version: " + Text(answer["version"]) + "\n\n";
  std::vector<TableRow> rows;
  const Json services =
      MemberOr(answer["configuration"], "services", Json::object());
  for (const auto& [service, members] : services.items()) {
    const Json ranks = MemberOr(members, "ranks", Json::object());
    for (const auto& [rank, policy] : ranks.items()) {
      rows.push_back({service, rank, Text(MemberOr(policy, "order", 0)),
                      Text(MemberOr(policy, "target_ms", 1000)),
                      Text(MemberOr(policy, "worth", 1)),
                      Text(MemberOr(policy, "share", 0))});
    }
  }
  text += MakeTableText(
      {"SERVICE", "RANK", "ORDER", "TARGET MS", "WORTH", "SHARE"}, rows);
  const Json drains =
      MemberOr(answer["configuration"], "drains", Json::object());
  for (const auto& [upstream, drained] : drains.items()) {
    if (drained == true) text += "drained: " + upstream + "\n";
  }
  return text;
}

CommandResult PrintAnswer(const Result<OperatorAnswer>& answer, bool as_json,
                          std::string (*to_text)(const Json&)) {
  if (!answer.has_value()) return Failure(answer.error());
  if (answer.value().status != kStatusOk) return Refusal(answer.value());
  const Json& body = answer.value().body;
  return {CommandExit::kDone, as_json ? body.dump(2) + "\n" : to_text(body),
          ""};
}

std::string PatchText(const Json& answer) {
  const bool before = answer.value("already_applied", false);
  return "version " + Text(answer["version"]) +
         (before ? " (this patch had been applied before)" : "") + "\n";
}

std::string OwnerText(const Json& owner) {
  return MembersText(owner, {"service", "key", "shard", "zone", "upstream",
                             "address", "dispatcher", "explanation"});
}

}  // namespace

CommandResult ShowConfiguration(OperatorClient& client, bool as_json) {
  return PrintAnswer(client.Get("/configuration"), as_json, ConfigurationText);
}

CommandResult ShowStatus(OperatorClient& client, bool as_json) {
  return PrintAnswer(client.Get("/status"), as_json, StatusText);
}

CommandResult ShowOwner(OperatorClient& client, const std::string& service,
                        const std::string& key, bool as_json) {
  return PrintAnswer(client.Get("/owner/" + service + "/" + key), as_json,
                     OwnerText);
}

CommandResult PatchConfiguration(OperatorClient& client,
                                 const std::string& patch,
                                 const std::string& patch_id,
                                 std::optional<uint64_t> version,
                                 bool as_json) {
  if (!version.has_value()) {
    const auto present = client.Get("/configuration");
    if (!present.has_value()) return Failure(present.error());
    if (present.value().status != kStatusOk) return Refusal(present.value());
    version = present.value().body["version"].get<uint64_t>();
  }
  return PrintAnswer(client.PatchConfiguration(*version, patch_id, patch),
                     as_json, PatchText);
}

CommandResult DrainUpstream(OperatorClient& client, const std::string& upstream,
                            bool undo, const std::string& patch_id,
                            bool as_json) {
  // A merge patch removes a member by null.
  const Json value = undo ? Json(nullptr) : Json(true);
  const Json patch = {{"drains", {{upstream, value}}}};
  return PatchConfiguration(client, patch.dump(), patch_id, std::nullopt,
                            as_json);
}

}  // namespace mimosadeal
