#include "fleet/zone_evacuations.h"

#include <vector>

namespace mimosadeal {
namespace {

// An owner in an evacuated zone still receives requests for its keys until this
// share of the bound is used up, counted from the earliest time at which the
// evacuation may have been requested. The remainder is for the time that a
// request takes to reach the upstream.
constexpr double kUsableShare = 0.6;
// How long an evacuation that was lost with a restore of the store stays in
// force. Operators and upstreams write again within about 2 s.
constexpr Duration kRewriteTime = std::chrono::seconds(5);

}  // namespace

MonotonicTime UsableUntil(const ZoneEvacuation& evacuation, Duration bound) {
  if (evacuation.requested_after == kNever) return kNever;
  return evacuation.requested_after +
         Duration(static_cast<int64_t>(static_cast<double>(bound.count()) *
                                       kUsableShare));
}

bool ZoneEvacuations::Begin(const std::string& zone, MonotonicTime now,
                            MonotonicTime requested_after) {
  const auto [at, added] =
      zones_.try_emplace(zone, ZoneEvacuation{now, requested_after, kForever});
  // Written again; it is the same evacuation.
  if (!added) at->second.ends_at = kForever;
  return added;
}

bool ZoneEvacuations::End(const std::string& zone, MonotonicTime now,
                          bool restored) {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return false;
  if (!restored) {
    zones_.erase(found);
    return true;
  }
  if (found->second.ends_at == kForever)
    found->second.ends_at = now + kRewriteTime;
  return false;
}

void ZoneEvacuations::Advance(
    MonotonicTime now, const std::function<void(const std::string&)>& on_end) {
  std::vector<std::string> ended;
  for (const auto& [zone, evacuation] : zones_) {
    if (now >= evacuation.ends_at) ended.push_back(zone);
  }
  for (const std::string& zone : ended) {
    zones_.erase(zone);
    on_end(zone);
  }
}

const ZoneEvacuation* ZoneEvacuations::Find(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found == zones_.end() ? nullptr : &found->second;
}

}  // namespace mimosadeal
