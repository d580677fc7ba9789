// Limits the second tries of one service's requests at this host to a share of
// its requests, in any 10 s that end with a second try.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "common/boot_clock.h"

namespace mimosadeal {

// Slots of the window, with one more for the part of a slot at its beginning.
inline constexpr size_t kHedgeSlots = 21;

struct HedgeLimit {
  struct Slot {
    int64_t number = -1;  // Counted from the clock's zero.
    int requests = 0;
    int hedges = 0;
  };
  // Invariant: the slot of number n is at n % kHedgeSlots.
  std::array<Slot, kHedgeSlots> slots;
};

struct HedgeCounts {
  int requests = 0;
  int hedges = 0;
};

void CountRequest(HedgeLimit& limit, MonotonicTime now);
void CountHedge(HedgeLimit& limit, MonotonicTime now);
// Whether one more second try now keeps them within `share` of the requests.
bool AllowsHedge(const HedgeLimit& limit, double share, MonotonicTime now);
// Returns the counts of about the last 10 s.
HedgeCounts RecentCounts(const HedgeLimit& limit, MonotonicTime now);

}  // namespace mimosadeal
