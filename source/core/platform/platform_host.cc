#include "platform/platform_host.h"

#include <nlohmann/json.hpp>

#include "common/enum_names.h"
#include "common/json_text.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

constexpr EnumNames<HostKind, 2> kHostKindNames = {
    {{HostKind::kEntry, "entry"}, {HostKind::kUpstream, "upstream"}}};
constexpr EnumNames<HostState, 2> kHostStateNames = {
    {{HostState::kLive, "live"}, {HostState::kLeaving, "leaving"}}};

std::string TextOf(const Json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

}  // namespace

std::string_view HostKindName(HostKind kind) {
  return NameOf(kHostKindNames, kind);
}
std::string_view HostStateName(HostState state) {
  return NameOf(kHostStateNames, state);
}

Result<std::vector<PlatformHost>> DecodeHostList(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_array())
    return MakeError(ErrorCode::kMalformed, "the host list is not a list");
  std::vector<PlatformHost> hosts;
  for (const Json& entry : json) {
    if (!entry.is_object())
      return MakeError(ErrorCode::kMalformed, "a host is not an object");
    const auto kind = ValueOf(kHostKindNames, TextOf(entry, "kind"));
    const auto state = ValueOf(kHostStateNames, TextOf(entry, "state"));
    PlatformHost host;
    host.id = TextOf(entry, "id");
    host.zone = TextOf(entry, "zone");
    host.group = TextOf(entry, "group");
    host.service = TextOf(entry, "service");
    host.address = TextOf(entry, "address");
    if (!kind.has_value() || !state.has_value() || host.id.empty() ||
        host.address.empty()) {
      return MakeError(ErrorCode::kMalformed,
                       "a host lacks its kind, state, id or address");
    }
    host.kind = *kind;
    host.state = *state;
    hosts.push_back(std::move(host));
  }
  return hosts;
}

std::string EncodeHostList(const std::vector<PlatformHost>& hosts) {
  Json json = Json::array();
  for (const PlatformHost& host : hosts) {
    json.push_back({{"id", host.id},
                    {"kind", HostKindName(host.kind)},
                    {"state", HostStateName(host.state)},
                    {"zone", host.zone},
                    {"group", host.group},
                    {"service", host.service},
                    {"address", host.address}});
  }
  return JsonText(json);
}

}  // namespace mimosadeal
