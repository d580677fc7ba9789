// The commands of mimosactl. Each calls an entry host and formats the response
// as tables or as JSON.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "operator_client/operator_client.h"

namespace mimosadeal {

// Exit codes of mimosactl.
enum class CommandExit : int {
  kDone = 0,
  kUnreachable = 1,  // Nothing was done.
  kUsage = 2,
  // The host refused: stale version, invalid configuration or unknown service.
  kRefused = 3,
  // Of check: it found something, or cannot read one of the configurations.
  kFindings = 1,
  kUnreadable = 2,
  // A patch may have been applied. Run the command again with the same
  // --patch_id.
  kUnknown = 4,
};

struct CommandResult {
  CommandExit exit = CommandExit::kDone;
  std::string output;
  std::string error;
};

CommandResult ShowConfiguration(OperatorClient& client, bool as_json);
CommandResult ShowStatus(OperatorClient& client, bool as_json);
CommandResult ShowOwner(OperatorClient& client, const std::string& service,
                        const std::string& key, bool as_json);

// Applies a patch made against `version`, or against the current version if
// none is given.
CommandResult PatchConfiguration(OperatorClient& client,
                                 const std::string& patch,
                                 const std::string& patch_id,
                                 std::optional<uint64_t> version, bool as_json);

// Drains an upstream, or puts it back into service with `undo`.
CommandResult DrainUpstream(OperatorClient& client, const std::string& upstream,
                            bool undo, const std::string& patch_id,
                            bool as_json);

}  // namespace mimosadeal
