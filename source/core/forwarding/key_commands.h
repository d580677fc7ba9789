// Grant and release commands for key ranges, and the replies of upstreams.
#pragma once

#include <cstdint>
#include <string>

#include "common/boot_clock.h"

namespace mimosadeal {

struct GrantCommand {
  int first = 0;
  int last = 0;
  uint64_t generation = 0;
  Duration hold{};
  std::string handover;  // Empty if there is none.
};

struct ReleaseCommand {
  int first = 0;
  int last = 0;
  uint64_t generation = 0;
};

enum class CommandOutcome : uint8_t {
  kDone,
  kFenced,  // The upstream has seen a higher generation on one of the keys.
  kOtherUpstream,  // Another process answers at the address.
  kRefused,        // Not understood.
};

struct CommandReply {
  CommandOutcome outcome = CommandOutcome::kRefused;
  int status = 0;        // For the log.
  std::string handover;  // Of a release.
  bool leaving = false;  // The upstream says that it leaves.
};

}  // namespace mimosadeal
