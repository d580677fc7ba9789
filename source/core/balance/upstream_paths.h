// This host's evidence of whether it can open connections to the upstreams of
// one service. A failure at one upstream may be the upstream's: an overloaded
// one drops connections. Failures at several for some time, with no success
// since, show that this host has lost its paths.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "common/boot_clock.h"

namespace mimosadeal {

// Evidence that is older than this counts no more.
inline constexpr Duration kPathEvidenceAge = std::chrono::seconds(3);
// Failures at this many upstreams, or at all of a smaller service, show that
// the paths are lost, if all were refusals or there was no success for
// kMinOutage. Overloaded upstreams refuse no connections but drop them, many at
// a time.
inline constexpr size_t kMinFailedPaths = 5;
inline constexpr Duration kMinOutage = std::chrono::milliseconds(300);

struct FailedPath {
  MonotonicTime at = kNever;
  bool refused = false;  // Else there was no answer.
};

struct ServicePaths {
  // When a connection to any upstream of the service was last established.
  MonotonicTime connected_at = kNever;
  // When connecting first failed since then; kNever if it did not.
  MonotonicTime failing_since = kNever;
  // When connecting last failed, by upstream. Holds no upstream to which a
  // later connection was established.
  std::map<std::string, FailedPath> failed;
};

void NoteConnected(ServicePaths& paths, const std::string& upstream,
                   MonotonicTime now);
void NoteConnectFailed(ServicePaths& paths, const std::string& upstream,
                       bool refused, MonotonicTime now);

// Whether the latest attempt to connect to the upstream failed recently.
bool IsUnreached(const ServicePaths& paths, const std::string& upstream,
                 MonotonicTime now);

// Returns the number of upstreams that connecting failed to recently, and since
// the last success at any of the service.
size_t CountFailedPaths(const ServicePaths& paths, MonotonicTime now);

// Returns for how long no connection to the service could be opened, if
// failures at enough of its `upstreams` serving upstreams show that; else zero.
Duration OutageOf(const ServicePaths& paths, size_t upstreams,
                  MonotonicTime now);

// Whether this host has lost its paths to the service, which has `upstreams`
// serving upstreams.
bool IsCutOff(const ServicePaths& paths, size_t upstreams, MonotonicTime now);

}  // namespace mimosadeal
