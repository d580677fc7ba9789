#include "ranges/retired_generations.h"

#include <algorithm>

namespace mimosadeal {

void NoteGrantSent(RetiredGenerations& retired, const std::string& upstream,
                   uint64_t generation) {
  uint64_t& highest = retired.upstreams[upstream].highest_sent;
  highest = std::max(highest, generation);
}

uint64_t RetireGenerations(RetiredGenerations& retired,
                           const std::string& upstream) {
  RetiredGenerations::Upstream& known = retired.upstreams[upstream];
  known.highest_retired = known.highest_sent;
  return known.highest_retired;
}

bool IsRetired(const RetiredGenerations& retired, const KeyRange& range) {
  const auto found = retired.upstreams.find(range.owner);
  return found != retired.upstreams.end() &&
         range.generation <= found->second.highest_retired;
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
