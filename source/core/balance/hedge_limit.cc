#include "balance/hedge_limit.h"

namespace mimosadeal {
namespace {

// kHedgeSlots - 1 of them are the window in which second tries are limited.
constexpr Duration kSlotLength = std::chrono::milliseconds(500);

int64_t NumberAt(MonotonicTime now) {
  return now.time_since_epoch() / kSlotLength;
}

HedgeLimit::Slot& CurrentSlot(HedgeLimit& limit, MonotonicTime now) {
  const int64_t number = NumberAt(now);
  HedgeLimit::Slot& slot =
      limit.slots[static_cast<size_t>(number) % kHedgeSlots];
  if (slot.number != number) slot = {number, 0, 0};
  return slot;
}

}  // namespace

void CountRequest(HedgeLimit& limit, MonotonicTime now) {
  ++CurrentSlot(limit, now).requests;
}

void CountHedge(HedgeLimit& limit, MonotonicTime now) {
  ++CurrentSlot(limit, now).hedges;
}

HedgeCounts RecentCounts(const HedgeLimit& limit, MonotonicTime now) {
  HedgeCounts counts;
  const int64_t current = NumberAt(now);
  const int64_t oldest = current - static_cast<int64_t>(kHedgeSlots) + 1;
  for (const HedgeLimit::Slot& slot : limit.slots) {
    if (slot.number < oldest || slot.number > current) continue;
    counts.hedges += slot.hedges;
    // Only a part of the oldest slot lies in the window.
    if (slot.number > oldest) counts.requests += slot.requests;
  }
  return counts;
}

bool AllowsHedge(const HedgeLimit& limit, double share, MonotonicTime now) {
  const HedgeCounts counts = RecentCounts(limit, now);
  return counts.hedges + 1 <= share * counts.requests;
}

}  // namespace mimosadeal
