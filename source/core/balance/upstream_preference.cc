#include "balance/upstream_preference.h"

#include <algorithm>
#include <utility>

#include "common/ids.h"

namespace mimosadeal {
namespace {

using Scored = std::pair<uint64_t, const ListedUpstream*>;

void AppendHighest(std::vector<Scored>& scored, size_t count,
                   std::vector<const ListedUpstream*>& selected) {
  const size_t selected_count = std::min(count, scored.size());
  std::partial_sort(
      scored.begin(),
      scored.begin() + static_cast<std::ptrdiff_t>(selected_count),
      scored.end(), [](const Scored& left, const Scored& right) {
        return left.first > right.first;
      });
  for (size_t i = 0; i < selected_count; ++i)
    selected.push_back(scored[i].second);
}

}  // namespace

std::vector<const ListedUpstream*> PreferredUpstreams(
    const std::vector<const ListedUpstream*>& serving, const std::string& host,
    const std::string& zone) {
  const uint64_t seed = HashText(host);
  std::vector<Scored> in_zone;
  std::vector<Scored> in_other_zones;
  for (const ListedUpstream* listed : serving) {
    const bool in_same_zone = listed->record.zone == zone;
    (in_same_zone ? in_zone : in_other_zones)
        .emplace_back(HashText(listed->record.id, seed), listed);
  }
  std::vector<const ListedUpstream*> preferred;
  AppendHighest(in_zone, kPreferredInZone, preferred);
  AppendHighest(in_other_zones, kPreferredInOtherZones, preferred);
  return preferred;
}

}  // namespace mimosadeal
