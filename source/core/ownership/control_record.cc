#include "ownership/control_record.h"

#include <nlohmann/json.hpp>

#include "common/json_text.h"

namespace mimosadeal {

using Json = nlohmann::json;

std::string EncodeControlRecord(const ControlRecord& record) {
  return JsonText({{"term", record.term},
                   {"controller", record.controller},
                   {"controller_address", record.controller_address},
                   {"standby", record.standby},
                   {"standby_address", record.standby_address},
                   {"members", record.members},
                   {"write_id", record.write_id}});
}

Result<ControlRecord> DecodeControlRecord(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  const Error malformed =
      MakeError(ErrorCode::kMalformed,
                "the control record lacks a field or has one of the wrong "
                "type");
  if (!json.is_object() || !json.contains("term") ||
      !json["term"].is_number_unsigned())
    return malformed;
  for (const char* name : {"controller", "controller_address", "standby",
                           "standby_address", "write_id"}) {
    if (!json.contains(name) || !json[name].is_string()) return malformed;
  }
  ControlRecord record;
  record.term = json["term"].get<uint64_t>();
  record.controller = json["controller"].get<std::string>();
  record.controller_address = json["controller_address"].get<std::string>();
  record.standby = json["standby"].get<std::string>();
  record.standby_address = json["standby_address"].get<std::string>();
  record.write_id = json["write_id"].get<std::string>();
  for (const Json& member : json.value("members", Json::array())) {
    if (!member.is_string()) return malformed;
    record.members.push_back(member.get<std::string>());
  }
  return record;
}

std::string ControlRecordName(std::string_view group) {
  return "groups/" + std::string(group) + "/control";
}

std::string TableObjectName(std::string_view group) {
  return "groups/" + std::string(group) + "/table";
}

}  // namespace mimosadeal
