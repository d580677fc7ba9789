// The content of an upstream's registration.
#pragma once

#include <cstdint>
#include <string>

#include "common/boot_clock.h"
#include "net/socket_address.h"

namespace mimosadeal {

struct UpstreamRecord {
  std::string id;
  // Start time of the process in Unix milliseconds, by its own clock.
  // Identifies the incarnation, which is one run of the upstream from its start
  // to its end, among those with the same id. Never compared with a clock.
  int64_t incarnation = 0;
  std::string service;
  SocketAddress address;
  std::string zone;
  int slots = 1;
  bool draining = false;
  // The upstream is slow for this long, from the time of this report.
  Duration warmup_left{};

  bool operator==(const UpstreamRecord&) const = default;
};

}  // namespace mimosadeal
