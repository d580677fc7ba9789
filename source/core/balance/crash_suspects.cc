#include "balance/crash_suspects.h"

#include <algorithm>

#include "common/ids.h"

namespace mimosadeal {

bool CrashSuspects::RecordCrash(uint64_t fingerprint,
                                const std::string& upstream_incarnation,
                                MonotonicTime now) {
  Evict(now);
  const auto [found, added] = suspects_.try_emplace(fingerprint);
  Suspect& suspect = found->second;
  if (added) suspect.first_crash = now;
  suspect.latest_crash = now;
  return suspect.crashed_incarnations.insert(upstream_incarnation).second;
}

std::set<std::string> CrashSuspects::CrashedIncarnations(
    uint64_t fingerprint) const {
  const auto found = suspects_.find(fingerprint);
  return found == suspects_.end() ? std::set<std::string>()
                                  : found->second.crashed_incarnations;
}

bool CrashSuspects::ShouldRefuse(uint64_t fingerprint,
                                 MonotonicTime now) const {
  const auto found = suspects_.find(fingerprint);
  return found != suspects_.end() &&
         found->second.crashed_incarnations.size() >=
             policy_.crashes_to_refuse &&
         now - found->second.latest_crash < policy_.retention;
}

SuspectDecision CrashSuspects::Decide(uint64_t fingerprint, MonotonicTime now) {
  if (!ShouldRefuse(fingerprint, now)) return {};
  Suspect& suspect = suspects_.at(fingerprint);
  if (suspect.latest_crash - suspect.first_crash > policy_.common_cause_time)
    return {SuspectVerdict::kRefuse, kNever};
  const MonotonicTime last = suspect.latest_trial == kNever
                                 ? suspect.first_crash
                                 : suspect.latest_trial;
  const MonotonicTime next_trial = last + policy_.trial_interval;
  if (now < next_trial) return {SuspectVerdict::kRefuse, next_trial};
  suspect.latest_trial = now;
  return {SuspectVerdict::kTrial, now + policy_.trial_interval};
}

void CrashSuspects::Clear(uint64_t fingerprint) {
  suspects_.erase(fingerprint);
}

void CrashSuspects::Evict(MonotonicTime now) {
  std::erase_if(suspects_, [this, now](const auto& entry) {
    return now - entry.second.latest_crash >= policy_.retention;
  });
  while (suspects_.size() >= policy_.max_suspects) {
    const auto oldest = std::min_element(
        suspects_.begin(), suspects_.end(),
        [](const auto& left, const auto& right) {
          return left.second.latest_crash < right.second.latest_crash;
        });
    suspects_.erase(oldest);
  }
}

uint64_t RequestFingerprint(const std::string& method, const std::string& host,
                            const std::string& target, std::string_view body) {
  const uint64_t head_hash = HashText(method + " " + host + target);
  return HashText(body, head_hash);
}

}  // namespace mimosadeal
