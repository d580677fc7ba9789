// Reads the execution records that upstream stand-ins write, and checks the
// invariants of ownership and outcomes on them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mimosadeal {

// Execution of a request at one upstream. Times are of the boot clock, in
// nanoseconds.
struct Execution {
  enum class End : uint8_t {
    kNone,       // Not recorded: it is still running, or the process stopped
                 // before its end.
    kDone,       // It took effect.
    kAborted,    // The grant had expired at its end, so the upstream dropped it
                 // without effect.
    kCancelled,  // The connection was closed, so the upstream dropped it
                 // without effect.
  };

  std::string upstream;
  uint32_t shard = 0;
  std::string request_id;
  std::string key;  // Idempotency key, or empty.
  int64_t started_ns = 0;
  int64_t ended_ns = 0;
  End end = End::kNone;
};

std::vector<Execution> ReadExecutions(const std::vector<std::string>& paths);

// Returns a description of each pair of executions of one shard that took
// effect at different upstreams and overlapped in time.
std::vector<std::string> FindSharedOwnership(std::vector<Execution> executions);

// Returns a description of each idempotency key that ran, or may have run, more
// than once.
std::vector<std::string> FindRepetitions(
    const std::vector<Execution>& executions);

// Returns a description of each idempotency key whose reported outcome
// contradicts the executions. `reported` maps a key to "ran", "not run" or
// "unknown".
std::vector<std::string> FindFalseOutcomes(
    const std::vector<Execution>& executions,
    const std::map<std::string, std::string>& reported);

}  // namespace mimosadeal
