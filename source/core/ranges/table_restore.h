// Range tables after the store was restored from a copy.
//
// Moves that were written since the copy are lost, but the upstreams hold their
// keys by them. What the store says of a zone's ranges may therefore be used
// only by the host that held the zone's lease up to the restore and knows them,
// or after every earlier grant has expired. Generations have the store's era
// (store/store_revision.h) as their high part, so that none of a later era was
// assigned before.
#pragma once

#include <cstdint>
#include <string>

#include "ranges/range_table.h"

namespace mimosadeal {

// Bits of a generation below the era. Together with the largest era that is
// read, a generation stays below 2^53, which all JSON readers keep exact.
inline constexpr int kGenerationBits = 32;

constexpr uint64_t EraOfGeneration(uint64_t generation) {
  return generation >> kGenerationBits;
}

// Raises the table's last generation so that all later ones are of the era.
void BeginEra(RangeTable& table, uint64_t era);

// Returns whether the zone has ranges whose owners were last confirmed before
// the era.
bool HasEarlierRanges(const RangeTable& table, const std::string& zone,
                      uint64_t era);

// Returns `stored` with the owners that `known` has for the keys that belong to
// the zone in either table. `known` is the table of the host that held the
// zone's lease up to the restore.
RangeTable RestoreZone(const RangeTable& stored, const RangeTable& known,
                       const std::string& zone);

}  // namespace mimosadeal
