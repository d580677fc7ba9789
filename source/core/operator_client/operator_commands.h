// The commands of mimosactl: each calls an entry host and prints a table or
// JSON.
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
  kRefused = 3,  // The host refused: stale version, invalid configuration,
                 // unknown service.
  kUnknown = 4,  // A patch may have been applied; run the same command again
                 // with the same --patch-id.
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

// Patches the configuration. Without `version` the present one is read first
// and used.
CommandResult PatchConfiguration(OperatorClient& client,
                                 const std::string& patch,
                                 const std::string& patch_id,
                                 std::optional<uint64_t> version, bool as_json);

// Takes an upstream out of service gracefully, or, with `undo`, puts it back.
CommandResult DrainUpstream(OperatorClient& client, const std::string& upstream,
                            bool undo, const std::string& patch_id,
                            bool as_json);

}  // namespace mimosadeal
