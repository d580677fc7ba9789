#include "ranges/table_restore.h"

#include <algorithm>

namespace mimosadeal {

void BeginEra(RangeTable& table, uint64_t era) {
  table.last_generation =
      std::max(table.last_generation, era << kGenerationBits);
}

bool HasEarlierRanges(const RangeTable& table, const std::string& zone,
                      uint64_t era) {
  return std::any_of(
      table.ranges.begin(), table.ranges.end(), [&](const KeyRange& range) {
        return range.zone == zone && EraOfGeneration(range.generation) < era;
      });
}

RangeTable RestoreZone(const RangeTable& stored, const RangeTable& known,
                       const std::string& zone) {
  RangeTable restored = stored;
  for (const KeyRange& before : known.ranges) {
    for (const KeyRange& range : stored.ranges) {
      KeyRange part = before;
      part.first = std::max(before.first, range.first);
      part.last = std::min(before.last, range.last);
      const bool of_zone = before.zone == zone || range.zone == zone;
      const bool same_owner =
          before.owner == range.owner &&
          before.owner_incarnation == range.owner_incarnation;
      if (part.first > part.last || !of_zone || same_owner) continue;
      part.generation = ++restored.last_generation;
      AssignPart(restored, part);
    }
  }
  return restored;
}

}  // namespace mimosadeal
