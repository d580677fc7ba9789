#include "balance/crash_suspects.h"

#include <algorithm>

#include "common/ids.h"

namespace mimosadeal {

bool CrashSuspects::RecordCrash(uint64_t fingerprint,
                                const std::string& upstream_incarnation,
                                MonotonicTime now) {
  Evict(now);
  Suspect& suspect = suspects_[fingerprint];
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
