#include "balance/upstream_paths.h"

#include <algorithm>

namespace mimosadeal {
namespace {

bool Counts(const FailedPath& failure, const ServicePaths& paths,
            MonotonicTime now) {
  return failure.at > paths.connected_at &&
         now - failure.at <= kPathEvidenceAge;
}

size_t FailuresNeeded(size_t upstreams) {
  return std::max<size_t>(1, std::min(kMinFailedPaths, upstreams));
}

}  // namespace

void NoteConnected(ServicePaths& paths, const std::string& upstream,
                   MonotonicTime now) {
  paths.connected_at = now;
  paths.failing_since = kNever;
  paths.failed.erase(upstream);
}

void NoteConnectFailed(ServicePaths& paths, const std::string& upstream,
                       bool refused, MonotonicTime now) {
  std::erase_if(paths.failed, [now](const auto& entry) {
    return now - entry.second.at > kPathEvidenceAge;
  });
  if (paths.failing_since == kNever || CountFailedPaths(paths, now) == 0)
    paths.failing_since = now;
  paths.failed[upstream] = {now, refused};
}

bool IsUnreached(const ServicePaths& paths, const std::string& upstream,
                 MonotonicTime now) {
  const auto found = paths.failed.find(upstream);
  return found != paths.failed.end() &&
         now - found->second.at <= kPathEvidenceAge;
}

size_t CountFailedPaths(const ServicePaths& paths, MonotonicTime now) {
  return static_cast<size_t>(std::count_if(
      paths.failed.begin(), paths.failed.end(),
      [&](const auto& entry) { return Counts(entry.second, paths, now); }));
}

Duration OutageOf(const ServicePaths& paths, size_t upstreams,
                  MonotonicTime now) {
  return CountFailedPaths(paths, now) >= FailuresNeeded(upstreams)
             ? now - paths.failing_since
             : Duration::zero();
}

bool IsCutOff(const ServicePaths& paths, size_t upstreams, MonotonicTime now) {
  const auto refused = static_cast<size_t>(std::count_if(
      paths.failed.begin(), paths.failed.end(), [&](const auto& entry) {
        return entry.second.refused && Counts(entry.second, paths, now);
      }));
  return refused >= FailuresNeeded(upstreams) ||
         OutageOf(paths, upstreams, now) >= kMinOutage;
}

}  // namespace mimosadeal
