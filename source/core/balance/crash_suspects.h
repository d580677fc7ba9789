// Tracks requests that may crash the upstreams that run them (suspects). A
// request that is in flight when its upstream crashes is recorded by its
// fingerprint. A request that was in flight at several crashes is no longer
// sent. If all of them fell into a short time, for example because a zone lost
// power, the request may not be their cause: one request is sent as a trial.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "common/boot_clock.h"

namespace mimosadeal {

struct CrashSuspectPolicy {
  // Number of different upstream incarnations that must have crashed.
  // The platform allows three.
  size_t crashes_to_refuse = 3;
  // Since the latest crash. Callers retry such a request for less than that.
  Duration retention = std::chrono::seconds(60);
  size_t max_suspects = 4096;
  // Crashes that are recorded within this time may have one common cause. A
  // host confirms a crash within 3 s.
  Duration common_cause_time = std::chrono::milliseconds(3500);
  // Between the first crash and a trial, and between two trials. Longer than
  // common_cause_time, so that the crash of a trial counts as a separate one.
  Duration trial_interval = std::chrono::seconds(4);
};

enum class SuspectVerdict { kSend, kTrial, kRefuse };

struct SuspectDecision {
  SuspectVerdict verdict = SuspectVerdict::kSend;
  // When the next trial may be sent; kNever if there will be none.
  MonotonicTime next_trial = kNever;
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
  // Decides on a request and records its trial.
  SuspectDecision Decide(uint64_t fingerprint, MonotonicTime now);
  // An upstream has responded to the request's trial.
  void Clear(uint64_t fingerprint);

 private:
  struct Suspect {
    std::set<std::string> crashed_incarnations;
    MonotonicTime first_crash = kNever;
    MonotonicTime latest_crash = kNever;
    MonotonicTime latest_trial = kNever;
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
