// Tracks requests that may crash the upstreams that run them (suspects). A
// request that is in flight when its upstream crashes is recorded by its
// fingerprint. A request that was in flight at several crashes is no longer
// sent.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "common/boot_clock.h"

namespace mimosadeal {

struct CrashSuspectPolicy {
  // Number of different upstream incarnations that must have crashed.
  size_t crashes_to_refuse = 0;
  Duration retention{};  // Since the latest crash.
  size_t max_suspects = 0;
};

class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectPolicy policy) : policy_(policy) {}

  // Returns whether this crash was not yet recorded for the request.
  bool RecordCrash(uint64_t fingerprint,
                   const std::string& upstream_incarnation, MonotonicTime now);
  // Returns the upstream incarnations that crashed while the request was in
  // flight.
  std::set<std::string> CrashedIncarnations(uint64_t fingerprint) const;
  bool ShouldRefuse(uint64_t fingerprint, MonotonicTime now) const;

 private:
  struct Suspect {
    std::set<std::string> crashed_incarnations;
    MonotonicTime latest_crash = kNever;
  };

  // Removes expired suspects, and the oldest ones to make room for another.
  void Evict(MonotonicTime now);

  CrashSuspectPolicy policy_;
  std::map<uint64_t, Suspect> suspects_;
};

// Identifies a request by what the upstream sees of it. The request id is left
// out, so that retries of the caller have the same fingerprint.
uint64_t RequestFingerprint(const std::string& method, const std::string& host,
                            const std::string& target, std::string_view body);

}  // namespace mimosadeal
