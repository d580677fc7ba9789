// The platform's list of live and leaving hosts. The list lags: it may still
// contain a host that was lost, and lack one that has just started.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"

namespace mimosadeal {

enum class HostKind : uint8_t { kEntry, kUpstream };
enum class HostState : uint8_t { kLive, kLeaving };

struct PlatformHost {
  std::string id;
  HostKind kind = HostKind::kUpstream;
  HostState state = HostState::kLive;
  std::string zone;
  std::string group;    // Entry hosts only.
  std::string service;  // Upstreams only.
  // Entry hosts: the address for other entry hosts. Upstreams: the address for
  // requests.
  std::string address;
};

std::string_view HostKindName(HostKind kind);
std::string_view HostStateName(HostState state);

// Errors: kMalformed.
Result<std::vector<PlatformHost>> DecodeHostList(std::string_view text);
std::string EncodeHostList(const std::vector<PlatformHost>& hosts);

}  // namespace mimosadeal
