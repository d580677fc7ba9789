// Orders about keys to an upstream, and its replies.
#pragma once

#include <cstdint>
#include <string>

#include "common/boot_clock.h"

namespace mimosadeal {

struct GrantOrder {
  int first = 0;
  int last = 0;
  uint64_t generation = 0;
  Duration hold{};
  std::string handover;  // Empty if there is none.
};

struct ReleaseOrder {
  int first = 0;
  int last = 0;
  uint64_t generation = 0;
};

enum class OrderOutcome : uint8_t {
  kDone,
  kFenced,  // The upstream has seen a higher generation on one of the keys.
  kOtherUpstream,  // Another process answers at the address.
  kRefused,        // Not understood.
};

struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kRefused;
  int status = 0;        // For the log.
  std::string handover;  // Of a release.
  bool leaving = false;  // The upstream says that it leaves.
};

}  // namespace mimosadeal
