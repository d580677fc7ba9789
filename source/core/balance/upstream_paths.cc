#include "balance/upstream_paths.h"

#include <algorithm>

namespace mimosadeal {

void NoteConnected(ServicePaths& paths, const std::string& upstream,
                   MonotonicTime now) {
  paths.connected_at = now;
  paths.failed_at.erase(upstream);
}

void NoteConnectFailed(ServicePaths& paths, const std::string& upstream,
                       MonotonicTime now) {
  std::erase_if(paths.failed_at, [now](const auto& entry) {
    return now - entry.second > kPathEvidenceAge;
  });
  paths.failed_at[upstream] = now;
}

bool IsUnreached(const ServicePaths& paths, const std::string& upstream,
                 MonotonicTime now) {
  const auto found = paths.failed_at.find(upstream);
  return found != paths.failed_at.end() &&
         now - found->second <= kPathEvidenceAge;
}

size_t CountFailedPaths(const ServicePaths& paths, MonotonicTime now) {
  return static_cast<size_t>(
      std::count_if(paths.failed_at.begin(), paths.failed_at.end(),
                    [&paths, now](const auto& entry) {
                      return entry.second > paths.connected_at &&
                             now - entry.second <= kPathEvidenceAge;
                    }));
}

bool IsCutOff(const ServicePaths& paths, size_t upstreams, MonotonicTime now) {
  const size_t needed =
      std::max<size_t>(1, std::min(kMinFailedPaths, upstreams));
  return CountFailedPaths(paths, now) >= needed;
}

}  // namespace mimosadeal
