#include "ranges/retired_generations.h"

#include <algorithm>

namespace mimosadeal {

void RetireGenerations(RetiredGenerations& retired, const std::string& upstream,
                       const RangeTable& table) {
  uint64_t& highest = retired.highest[upstream];
  highest = std::max(highest, table.last_generation);
}

bool IsRetired(const RetiredGenerations& retired, const KeyRange& range) {
  const auto found = retired.highest.find(range.owner);
  return found != retired.highest.end() && range.generation <= found->second;
}

std::vector<KeyRange> PartsThatStay(const RangeTable& table,
                                    const std::string& zone,
                                    const std::vector<KeySpan>& moving) {
  std::vector<KeyRange> parts;
  for (const KeyRange& range : table.ranges) {
    if (range.zone != zone) continue;
    for (const KeySpan& span :
         SubtractSpans({range.first, range.last}, moving)) {
      parts.push_back(range);
      parts.back().first = span.first;
      parts.back().last = span.last;
    }
  }
  return parts;
}

}  // namespace mimosadeal
