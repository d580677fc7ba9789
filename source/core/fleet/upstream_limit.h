// The limit that an upstream states in its responses: how many requests per
// second it takes from all hosts together.
#pragma once

#include <optional>

#include "common/boot_clock.h"

namespace mimosadeal {

struct UpstreamLimit {
  // Requests per second, at least 0; unset while the upstream states no limit.
  std::optional<double> per_second;
  // When a host read the response that stated this, by this host's clock;
  // kNever if none did.
  MonotonicTime stated_at = kNever;
};

}  // namespace mimosadeal
