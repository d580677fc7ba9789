// Commands by which a lease holder grants key ranges to an upstream or releases
// them, and the replies of the upstream.
#pragma once

#include <cstdint>
#include <string>

#include "common/boot_clock.h"

namespace mimosadeal {

// The upstream owns the keys from `first` to `last`, both inclusive, for the
// time `hold`. Of two commands for a key, the one with the higher generation is
// newer.
struct GrantCommand {
  int first = 0;
  int last = 0;
  uint64_t generation = 0;
  Duration hold{};
  // State of the keys that the previous owner returned on its release; empty if
  // there is none.
  std::string handover;
};

// The upstream gives up the keys from `first` to `last`, both inclusive.
struct ReleaseCommand {
  int first = 0;
  int last = 0;
  uint64_t generation = 0;
};

enum class CommandOutcome : uint8_t {
  kDone,
  // Rejected: the upstream has seen a higher generation for one of the keys.
  kFenced,
  kOtherUpstream,  // Another process answers at the address.
  kRefused,        // Any other error status.
};

struct CommandReply {
  CommandOutcome outcome = CommandOutcome::kRefused;
  int status = 0;        // HTTP status, for the log.
  std::string handover;  // State of the released keys.
  // The upstream returned a handover that is no UTF-8, which is dropped.
  bool handover_unreadable = false;
  bool leaving = false;  // The upstream announces that it is leaving.
};

}  // namespace mimosadeal
