#include "balance/upstream_preference.h"

#include <algorithm>
#include <utility>

#include "common/ids.h"

namespace mimosadeal {
namespace {

using Scored = std::pair<uint64_t, const ListedUpstream*>;

void TakeHighest(std::vector<Scored>& scored, size_t count,
                 std::vector<const ListedUpstream*>& taken) {
  const size_t most = std::min(count, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(most),
                    scored.end(), [](const Scored& left, const Scored& right) {
                      return left.first > right.first;
                    });
  for (size_t i = 0; i < most; ++i) taken.push_back(scored[i].second);
}

}  // namespace

std::vector<const ListedUpstream*> PreferredUpstreams(
    const std::vector<const ListedUpstream*>& serving, const std::string& host,
    const std::string& zone) {
  const uint64_t seed = HashText(host);
  std::vector<Scored> in_zone;
  std::vector<Scored> elsewhere;
  for (const ListedUpstream* listed : serving) {
    const bool near = listed->record.zone == zone;
    (near ? in_zone : elsewhere)
        .emplace_back(HashText(listed->record.id, seed), listed);
  }
  std::vector<const ListedUpstream*> preferred;
  TakeHighest(in_zone, kPreferredInZone, preferred);
  TakeHighest(elsewhere, kPreferredInOtherZones, preferred);
  return preferred;
}

}  // namespace mimosadeal
