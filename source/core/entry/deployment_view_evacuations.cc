// The part of DeploymentView that knows which availability zones operators
// evacuate. It exists only in deployments with a bound on evacuations.

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "fleet/propagation.h"
#include "net/event_loop.h"
#include "store/object_store.h"
#include "store/store_revision.h"

namespace mimosadeal {
namespace {

// Longest wait of the watch. A host whose feed ends waits for it once more:
// longer waits would make its copy too old for CopyConfirmation.
constexpr Duration kLongestWait = std::chrono::milliseconds(1000);
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(150);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(900);
// The content is not used.
constexpr size_t kMaxContentBytes = 4 * 1024;

}  // namespace

void DeploymentView::EnableEvacuations(Duration bound) {
  evacuations_ = std::make_unique<ZoneEvacuations>(bound);
  KindWatcherHandlers handlers;
  handlers.on_change = [this](const StoredObject& object,
                              const ChangeBound& change) {
    OnEvacuation(object, change);
  };
  handlers.on_synced = [this] {
    OnEvacuationsSynced();
    Notify();
  };
  const PropagationTiming propagation =
      MakePropagationTiming(bound, Duration::zero());
  KindWatcherTiming timing;
  timing.wait = std::min(propagation.watch_wait, kLongestWait);
  timing.response_slack = propagation.response_slack;
  timing.first_retry = kFirstRetryDelay;
  timing.longest_retry = kMaxRetryDelay;
  store_.LimitContent(protocol_.evacuation_kind, kMaxContentBytes);
  AddWatcher(ViewKind::kEvacuations, protocol_.evacuation_kind, timing,
             std::move(handlers));
}

bool DeploymentView::evacuations_synced() const {
  return evacuations_ == nullptr || watcher(ViewKind::kEvacuations).synced();
}

bool DeploymentView::IsEvacuated(const std::string& zone) const {
  return evacuations_ != nullptr && evacuations_->Find(zone) != nullptr;
}

MonotonicTime DeploymentView::EvacuatedAt(const std::string& zone) const {
  const ZoneEvacuation* evacuation =
      evacuations_ == nullptr ? nullptr : evacuations_->Find(zone);
  return evacuation == nullptr ? kNever : evacuation->known_since;
}

MonotonicTime DeploymentView::ZoneUsableUntil(const std::string& zone) const {
  if (evacuations_ == nullptr) return kForever;
  if (!evacuations_->confirmation().confirmed) return kNever;
  const ZoneEvacuation* evacuation = evacuations_->Find(zone);
  return evacuation == nullptr
             ? kForever
             : UsableUntil(*evacuation, evacuations_->bound());
}

size_t DeploymentView::evacuated_zones() const {
  return evacuations_ == nullptr ? 0 : evacuations_->size();
}

// Any content counts: the name says all.
void DeploymentView::OnEvacuation(const StoredObject& object,
                                  const ChangeBound& bound) {
  if (object.deleted) {
    // Whether the operator removed it shows when the update is complete.
    ended_evacuations_.insert(object.name);
    return;
  }
  ended_evacuations_.erase(object.name);
  const MonotonicTime now = loop_.timers().now();
  const MonotonicTime requested_after =
      std::max(bound.after, revision_clock_.Before(bound.after_revision + 1));
  if (!evacuations_->Begin(object.name, now, requested_after)) return;
  const bool known_zone =
      std::any_of(directory_.all().begin(), directory_.all().end(),
                  [&object](const auto& entry) {
                    return entry.second.record.zone == object.name;
                  });
  log_.LogStateChange("zone.evacuated",
                      {{"zone", object.name},
                       {"revision", object.revision},
                       {"has_upstreams", known_zone},
                       {"age_ms", AgeOrUnknown(now, requested_after)}});
}

void DeploymentView::OnEvacuationsSynced() {
  const uint64_t revision = watcher(ViewKind::kEvacuations).content_revision();
  const bool restored =
      evacuations_revision_ != 0 &&
      EraOfRevision(revision) != EraOfRevision(evacuations_revision_);
  evacuations_revision_ = revision;
  for (const std::string& zone : std::exchange(ended_evacuations_, {})) {
    const bool ended = evacuations_->End(zone, loop_.timers().now(), restored);
    log_.LogStateChange(
        ended ? "zone.taken-back" : "zone.evacuation-kept",
        {{"zone", zone}, {"revision", revision}, {"restored", restored}});
    if (ended) AssumeZoneCold(zone);
  }
}

void DeploymentView::AdvanceEvacuations() {
  if (evacuations_ == nullptr) return;
  const MonotonicTime now = loop_.timers().now();
  evacuations_->Advance(now, [this](const std::string& zone) {
    log_.LogStateChange("zone.taken-back", {{"zone", zone},
                                            {"revision", evacuations_revision_},
                                            {"restored", true}});
    AssumeZoneCold(zone);
    Notify();
  });
  const MonotonicTime registry = current_at(ViewKind::kRegistry);
  const MonotonicTime evacuations = current_at(ViewKind::kEvacuations);
  if (!UpdateConfirmation(evacuations_->confirmation(), now, evacuations,
                          registry, EvacuationLimits(evacuations_->bound()))) {
    return;
  }
  log_.LogStateChange(evacuations_->confirmation().confirmed
                          ? "evacuations.confirmed"
                          : "evacuations.unconfirmed",
                      {{"age_ms", AgeOrUnknown(now, evacuations)},
                       {"registry_age_ms", AgeOrUnknown(now, registry)}});
  Notify();
}

}  // namespace mimosadeal
