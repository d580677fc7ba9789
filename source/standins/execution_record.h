// Reads the records that upstream stand-ins write, and checks from them what
// must always hold. This is the one checker of every integration test.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mimosadeal {

// One execution at one upstream. Times are of the machine's boot clock, in
// nanoseconds.
struct Execution {
  enum class End : uint8_t {
    kNone,       // The process ended, or still runs, in the middle of it.
    kDone,       // It took effect.
    kAborted,    // The upstream found its grant ended and dropped the work
                 // without effect.
    kCancelled,  // The connection closed; the upstream dropped the work without
                 // effect.
  };

  std::string upstream;
  uint32_t shard = 0;
  std::string request_id;
  std::string key;  // Empty without an idempotency key.
  int64_t started_ns = 0;
  int64_t ended_ns = 0;
  End end = End::kNone;
};

std::vector<Execution> ReadExecutions(const std::vector<std::string>& paths);

// Returns a description of each pair of executions of one shard that took
// effect at different upstreams in overlapping times.
std::vector<std::string> FindSharedOwnership(std::vector<Execution> executions);

// Returns a description of each key that ran, or may have run, more than once.
std::vector<std::string> FindRepetitions(
    const std::vector<Execution>& executions);

// Returns a description of each key whose caller was told what did not happen.
// `told` maps a key to "ran", "not run" or "unknown".
std::vector<std::string> FindFalseOutcomes(
    const std::vector<Execution>& executions,
    const std::map<std::string, std::string>& told);

}  // namespace mimosadeal
