// Parts of messages about relayed requests.
#pragma once

#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include "inner/relay_messages.h"
#include "net/http_message.h"

namespace mimosadeal {

// RelayRequest::send_within_ms of a request without such a limit.
inline constexpr uint32_t kNoSendLimit = std::numeric_limits<uint32_t>::max();

inline std::vector<WireHeader> ToWire(const HttpHeaders& headers) {
  std::vector<WireHeader> wire;
  for (const HttpHeader& header : headers)
    wire.push_back({header.name, header.value});
  return wire;
}

inline HttpHeaders FromWire(std::vector<WireHeader>&& wire) {
  HttpHeaders headers;
  for (WireHeader& header : wire)
    headers.push_back({std::move(header.name), std::move(header.value)});
  return headers;
}

}  // namespace mimosadeal
