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
  // Number of this report among those of the incarnation; 0 if not stated.
  int64_t report = 0;
};

// Returns whether two registrations say the same, whichever report is newer.
inline bool IsSameState(const UpstreamRecord& left,
                        const UpstreamRecord& right) {
  return left.id == right.id && left.incarnation == right.incarnation &&
         left.service == right.service && left.address == right.address &&
         left.zone == right.zone && left.slots == right.slots &&
         left.draining == right.draining &&
         left.warmup_left == right.warmup_left;
}

}  // namespace mimosadeal
