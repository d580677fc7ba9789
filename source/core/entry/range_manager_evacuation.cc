// The part of RangeManager that moves the ranges of an evacuated availability
// zone to other zones, and limits how fast ownership comes back.

#include <algorithm>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/lease_manager.h"
#include "entry/range_manager.h"
#include "entry/range_manager_state.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// Ranges move only if the store confirmed the lease within this time: while the
// store is away the moves cannot be recorded, and released keys would have no
// owner. A renewal is due every 0.7 s.
constexpr Duration kMaxConfirmationAge = std::chrono::milliseconds(1500);

}  // namespace

void RangeManager::EvacuateZone(Service& service, RangeTable& planned) {
  const MonotonicTime now = loop_.timers().now();
  const MonotonicTime evacuated_at = view_.EvacuatedAt(options_.zone);
  if (evacuated_at == kNever) {
    service.evacuation_logged = false;
    return;
  }
  if (now - lease_.confirmed_at() > kMaxConfirmationAge) return;
  const auto left = static_cast<size_t>(std::count_if(
      planned.ranges.begin(), planned.ranges.end(),
      [this](const KeyRange& range) { return range.zone == options_.zone; }));
  if (left == 0) return;
  const std::vector<OwnerCandidate> targets = Candidates(service.name);
  if (!service.evacuation_logged) {
    service.evacuation_logged = true;
    log_.LogStateChange("zone.evacuating",
                        {{"service", service.name},
                         {"zone", options_.zone},
                         {"ranges", uint64_t{left}},
                         {"targets", uint64_t{targets.size()}},
                         {"after_ms", now - evacuated_at}});
  }
  const size_t most =
      EvacuationQuota(left, service.moves.size(), now - evacuated_at);
  const auto moves = PlanZoneEvacuation(planned, loads_[service.name], targets,
                                        options_.zone, most);
  for (const PlannedMove& move : moves) {
    StartMove(service, move, "the zone is evacuated");
    ApplyMove(planned, move);
  }
}

}  // namespace mimosadeal
