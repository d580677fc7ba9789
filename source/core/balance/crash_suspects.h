// Requests that may crash the upstreams that run them. A request in flight when
// its upstream died is noted by its fingerprint; one that was there at several
// deaths is no longer sent.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "common/boot_clock.h"

namespace mimosadeal {

struct CrashSuspectPolicy {
  size_t crashes_to_refuse = 0;  // Of different lives of upstreams.
  Duration remember{};           // Since the latest crash.
  size_t most_suspects = 0;
};

class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectPolicy policy) : policy_(policy) {}

  // Returns whether this crash was not yet known.
  bool RecordCrash(uint64_t fingerprint, const std::string& upstream_life,
                   MonotonicTime now);
  // Returns the upstream lives at whose deaths the request was noted.
  std::set<std::string> CrashedIncarnations(uint64_t fingerprint) const;
  bool ShouldRefuse(uint64_t fingerprint, MonotonicTime now) const;

 private:
  struct Suspect {
    std::set<std::string> lives;
    MonotonicTime latest = kNever;
  };

  void Forget(MonotonicTime now);

  CrashSuspectPolicy policy_;
  std::map<uint64_t, Suspect> suspects_;
};

// Tells requests apart by what an upstream sees of them, whatever their ids.
uint64_t RequestFingerprint(const std::string& method, const std::string& host,
                            const std::string& target, const std::string& body);

}  // namespace mimosadeal
