// Revisions of the store that stay comparable when it is restored from a copy.
//
// The store numbers its changes with one counter. When it is restored from a
// copy, the counter goes back, and its numbers are assigned again to other
// changes. The store counts its restores in its era. A revision here has the
// era as its high part, so each change of a later era has a higher revision
// than any change of an earlier one.
#pragma once

#include <cstdint>

namespace mimosadeal {

// Bits of the store's counter in a revision.
inline constexpr int kStoreCounterBits = 40;
// A higher era would not fit into a revision beside the counter.
inline constexpr uint64_t kMaxStoreEra = (uint64_t{1} << 20) - 1;

constexpr uint64_t MakeStoreRevision(uint64_t era, uint64_t counter) {
  return (era << kStoreCounterBits) | counter;
}

constexpr uint64_t EraOfRevision(uint64_t revision) {
  return revision >> kStoreCounterBits;
}

constexpr uint64_t CounterOfRevision(uint64_t revision) {
  return revision & ((uint64_t{1} << kStoreCounterBits) - 1);
}

}  // namespace mimosadeal
