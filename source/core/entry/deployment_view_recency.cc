// The part of DeploymentView that limits how old its copies may be: it repeats
// watches whose responses are lost, and finds copies that are not confirmed.

#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "fleet/propagation.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// For a change to arrive that another host has read. Longer than the delays
// before a watch, but for that of the tables.
constexpr Duration kExpectedChangeTime = std::chrono::milliseconds(300);

}  // namespace

bool DeploymentView::IsConfirmed(ViewKind kind) const {
  const auto found = confirmed_copies_.find(kind);
  return found == confirmed_copies_.end() ||
         found->second.confirmation.confirmed;
}

void DeploymentView::AdvanceConfirmations() {
  const MonotonicTime now = loop_.timers().now();
  for (auto& [kind, copy] : confirmed_copies_) {
    const ViewKind other = kind == ViewKind::kRegistry
                               ? ViewKind::kConfiguration
                               : ViewKind::kRegistry;
    // A host of a former build confirms the registry less often. It feeds all
    // that it knows.
    const bool up_to_date_with_feed = fed_ && !behind_[kind];
    const MonotonicTime copy_at = up_to_date_with_feed ? now : current_at(kind);
    if (!UpdateConfirmation(copy.confirmation, now, copy_at, current_at(other),
                            copy.limits)) {
      continue;
    }
    log_.LogStateChange(
        copy.confirmation.confirmed ? "copy.confirmed" : "copy.unconfirmed",
        {{"copy", NameOf(kViewKindNames, kind)},
         {"age_ms", AgeOrUnknown(now, current_at(kind))},
         {"other_age_ms", AgeOrUnknown(now, current_at(other))},
         {"fed", fed_},
         {"revision", watcher(kind).revision()}});
    if (!copy.confirmation.confirmed)
      watcher(kind).RepeatWatch("the copy is not confirmed");
    Notify();
  }
}

void DeploymentView::ExpectChange(ViewKind kind, uint64_t revision) {
  const auto is_missing = [this, kind, revision] {
    return !watcher(kind).paused() && watcher(kind).last_change() < revision;
  };
  if (!is_missing() || expected_changes_.contains(kind)) return;
  expected_changes_[kind] =
      loop_.timers().After(kExpectedChangeTime, [this, kind, is_missing] {
        expected_changes_.erase(kind);
        if (is_missing())
          watcher(kind).RepeatWatch("another host read a later change");
      });
}

void DeploymentView::NotePropagation(PropagationPart part,
                                     Duration time) const {
  if (on_propagation_) on_propagation_(part, time);
}

void DeploymentView::OnWatchLost(ViewKind kind, Duration waited,
                                 const std::string& reason) {
  if (!repeating_watches_ && !lost_watch_.has_value()) lost_watch_ = kind;
  NotePropagation(PropagationPart::kWatchLost, waited);
  log_.LogStateChange("watch.lost", {{"watch", NameOf(kViewKindNames, kind)},
                                     {"waited_ms", waited},
                                     {"revision", watcher(kind).revision()},
                                     {"reason", reason}});
}

void DeploymentView::OnWatchRepeated(ViewKind kind, size_t changes,
                                     Duration took) {
  NotePropagation(PropagationPart::kRepeated, took);
  log_.LogStateChange("watch.repeated",
                      {{"watch", NameOf(kViewKindNames, kind)},
                       {"changes", uint64_t{changes}},
                       {"took_ms", took},
                       {"revision", watcher(kind).revision()}});
  if (lost_watch_ != kind) return;
  lost_watch_.reset();
  // The store is there. What took this watch's response may have taken those of
  // the others.
  repeating_watches_ = true;
  for (const auto& watcher : watchers_)
    watcher->RepeatWatch("another watch got no response");
  repeating_watches_ = false;
}

}  // namespace mimosadeal
