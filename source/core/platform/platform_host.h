// The platform's list of live and leaving machines. It lags: a machine may be
// listed after its loss and missing for a while after its start.
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
  std::string address;  // Entry hosts: the inner address. Upstreams: where they
                        // take requests.
};

std::string_view HostKindName(HostKind kind);
std::string_view HostStateName(HostState state);

// Errors: kMalformed.
Result<std::vector<PlatformHost>> DecodeHostList(std::string_view text);
std::string EncodeHostList(const std::vector<PlatformHost>& hosts);

}  // namespace mimosadeal
