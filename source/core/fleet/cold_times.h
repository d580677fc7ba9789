// Until when hosts take an upstream for cold. A cold upstream is slow and takes
// few requests per second from all hosts together.
#pragma once

#include <algorithm>

#include "common/boot_clock.h"

namespace mimosadeal {

struct ColdTimes {
  // What its registration states, counted from when this host read it, so that
  // it ends late rather than early; kNever if it states none.
  MonotonicTime stated_until = kNever;
  // The upstream was lost and may have started anew, before its registration
  // can tell. Outlasts a change of the incarnation.
  MonotonicTime assumed_until = kNever;
};

inline MonotonicTime ColdUntil(const ColdTimes& cold) {
  return std::max(cold.stated_until, cold.assumed_until);
}

}  // namespace mimosadeal
