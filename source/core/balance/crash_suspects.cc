#include "balance/crash_suspects.h"

#include <algorithm>

#include "common/ids.h"

namespace mimosadeal {

bool CrashSuspects::RecordCrash(uint64_t fingerprint,
                                const std::string& upstream_life,
                                MonotonicTime now) {
  Forget(now);
  Suspect& suspect = suspects_[fingerprint];
  suspect.latest = now;
  return suspect.lives.insert(upstream_life).second;
}

std::set<std::string> CrashSuspects::CrashedIncarnations(
    uint64_t fingerprint) const {
  const auto found = suspects_.find(fingerprint);
  return found == suspects_.end() ? std::set<std::string>()
                                  : found->second.lives;
}

bool CrashSuspects::ShouldRefuse(uint64_t fingerprint,
                                 MonotonicTime now) const {
  const auto found = suspects_.find(fingerprint);
  return found != suspects_.end() &&
         found->second.lives.size() >= policy_.crashes_to_refuse &&
         now - found->second.latest < policy_.remember;
}

void CrashSuspects::Forget(MonotonicTime now) {
  std::erase_if(suspects_, [this, now](const auto& entry) {
    return now - entry.second.latest >= policy_.remember;
  });
  while (suspects_.size() >= policy_.most_suspects) {
    const auto oldest =
        std::min_element(suspects_.begin(), suspects_.end(),
                         [](const auto& left, const auto& right) {
                           return left.second.latest < right.second.latest;
                         });
    suspects_.erase(oldest);
  }
}

uint64_t RequestFingerprint(const std::string& method, const std::string& host,
                            const std::string& target,
                            const std::string& body) {
  const uint64_t head = HashText(method + " " + host + target);
  return HashText(body, head);
}

}  // namespace mimosadeal
