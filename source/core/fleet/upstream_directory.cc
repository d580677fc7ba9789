#include "fleet/upstream_directory.h"

#include <algorithm>
#include <cmath>

namespace mimosadeal {

namespace {

// A limit that differs from the known one by less than this share counts as the
// same, so that small changes are not reported to all hosts.
constexpr double kLimitTolerance = 0.1;

// A registration that its upstream does not renew is removed within this many
// grace times.
constexpr int kReappearanceFactor = 2;

bool IsSameLimit(const std::optional<double>& known,
                 const std::optional<double>& stated) {
  if (!known.has_value() || !stated.has_value()) return known == stated;
  return std::abs(*stated - *known) <= kLimitTolerance * *known;
}

// Records the start of the upstream's departure, unless one is in progress.
void BeginDeparture(ListedUpstream& listed, MonotonicTime now,
                    MonotonicTime changed_after) {
  if (listed.leaving_since != kNever) return;
  listed.leaving_since = now;
  listed.left_after = changed_after;
}

// Returns whether the registration is older than the departure of its upstream,
// as in a copy from which the store was restored. An upstream that returns
// registers with a later report.
bool IsBeforeDeparture(const ListedUpstream& known,
                       const UpstreamRecord& record) {
  if (known.record.incarnation != record.incarnation || record.report == 0)
    return false;
  if (known.availability == UpstreamAvailability::kDraining)
    return record.report < known.record.report;
  return known.availability == UpstreamAvailability::kMissing &&
         record.report <= known.record.report;
}

// Records how long the upstream stays cold according to a registration that was
// read at `now`. To be called before `listed` takes the record over.
void NoteWarmup(ListedUpstream& listed, const UpstreamRecord& record,
                MonotonicTime now) {
  const UpstreamRecord& known = listed.record;
  const MonotonicTime until =
      record.warmup_left > Duration::zero() ? now + record.warmup_left : kNever;
  MonotonicTime& stated_until = listed.cold.stated_until;
  const bool same_incarnation = listed.availability_since != kNever &&
                                known.incarnation == record.incarnation;
  if (same_incarnation && record.report == known.report &&
      record.warmup_left == known.warmup_left) {
    return;  // The same report, read again.
  }
  const bool earlier =
      same_incarnation && record.report != 0 && record.report < known.report;
  stated_until = earlier ? std::max(stated_until, until) : until;
}

void EndDeparture(ListedUpstream& listed) {
  listed.leaving_since = kNever;
  listed.left_after = kNever;
}

}  // namespace

bool UpstreamDirectory::Update(const UpstreamRecord& record, MonotonicTime now,
                               MonotonicTime changed_after) {
  ListedUpstream& listed = upstreams_[record.id];
  if (IsBeforeDeparture(listed, record)) {
    if (listed.availability == UpstreamAvailability::kMissing)
      reappeared_.try_emplace(record.id, Reappearance{record, now});
    return false;
  }
  lapses_.erase(record.id);
  reappeared_.erase(record.id);
  const int64_t last_report = listed.record.incarnation == record.incarnation
                                  ? listed.record.report
                                  : 0;
  NoteWarmup(listed, record, now);
  if (listed.record.incarnation != record.incarnation) {
    listed.announced_leaving = false;
    listed.limit = {};
    EndDeparture(listed);
  }
  const auto availability = record.draining || listed.announced_leaving
                                ? UpstreamAvailability::kDraining
                                : UpstreamAvailability::kServing;
  const bool changed = !IsSameState(listed.record, record) ||
                       listed.availability != availability ||
                       listed.availability_since == kNever;
  if (listed.availability != availability ||
      listed.availability_since == kNever ||
      listed.record.incarnation != record.incarnation) {
    listed.availability_since = now;
  }
  listed.record = record;
  listed.record.report = std::max(record.report, last_report);
  listed.availability = availability;
  if (availability == UpstreamAvailability::kServing) {
    EndDeparture(listed);
  } else {
    BeginDeparture(listed, now, changed_after);
  }
  if (changed) OnServingChanged();
  return changed;
}

bool UpstreamDirectory::MarkLeaving(const std::string& id, int64_t incarnation,
                                    MonotonicTime now,
                                    MonotonicTime changed_after) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end() ||
      found->second.record.incarnation != incarnation ||
      found->second.announced_leaving) {
    return false;
  }
  ListedUpstream& listed = found->second;
  listed.announced_leaving = true;
  BeginDeparture(listed, now, changed_after);
  if (listed.availability != UpstreamAvailability::kServing) return false;
  listed.availability = UpstreamAvailability::kDraining;
  listed.availability_since = now;
  OnServingChanged();
  return true;
}

bool UpstreamDirectory::NoteLimit(const std::string& id, int64_t incarnation,
                                  const UpstreamLimit& stated) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end() ||
      found->second.record.incarnation != incarnation ||
      stated.stated_at <= found->second.limit.stated_at) {
    return false;
  }
  UpstreamLimit& known = found->second.limit;
  known.stated_at = stated.stated_at;
  if (IsSameLimit(known.per_second, stated.per_second)) return false;
  known.per_second = stated.per_second;
  return true;
}

void UpstreamDirectory::NoteAssumedCold(const std::string& id,
                                        MonotonicTime until) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  MonotonicTime& assumed_until = found->second.cold.assumed_until;
  assumed_until = std::max(assumed_until, until);
}

void UpstreamDirectory::NoteReport(const UpstreamRecord& record) {
  const auto found = upstreams_.find(record.id);
  if (found == upstreams_.end()) return;
  UpstreamRecord& known = found->second.record;
  if (known.incarnation == record.incarnation)
    known.report = std::max(known.report, record.report);
}

bool UpstreamDirectory::Remove(const std::string& id, MonotonicTime now,
                               MonotonicTime changed_after,
                               MonotonicTime store_reachable_since,
                               bool store_reachable) {
  reappeared_.erase(id);
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return false;
  const bool around_outage =
      !store_reachable || (store_reachable_since != kNever &&
                           now - store_reachable_since < lapse_grace_time_);
  if (around_outage &&
      found->second.availability == UpstreamAvailability::kServing) {
    RegistrationLapse lapse;
    lapse.since = now;
    lapse.until =
        (store_reachable ? store_reachable_since : now) + lapse_grace_time_;
    lapse.changed_after = changed_after;
    MonotonicTime present_at = changed_after;
    if (store_reachable)
      present_at = std::max(present_at, store_reachable_since);
    if (present_at == kNever) present_at = now;
    lapse.use_until = std::min(now, present_at) + lapsed_use_time_;
    lapses_.try_emplace(id, lapse);
    return false;
  }
  lapses_.erase(id);
  if (found->second.availability == UpstreamAvailability::kMissing)
    return false;
  found->second.availability = UpstreamAvailability::kMissing;
  found->second.availability_since = now;
  BeginDeparture(found->second, now, changed_after);
  missing_.push_back(id);
  OnServingChanged();
  return true;
}

bool UpstreamDirectory::Advance(MonotonicTime now, Duration delete_after) {
  bool changed = false;
  for (auto at = lapses_.begin(); at != lapses_.end();) {
    ListedUpstream& listed = upstreams_[at->first];
    if (at->second.until > now) {
      if (listed.availability == UpstreamAvailability::kServing &&
          now >= at->second.use_until) {
        listed.availability = UpstreamAvailability::kLapsed;
        changed = true;
      }
      ++at;
      continue;
    }
    listed.availability = UpstreamAvailability::kMissing;
    // The grace time that has passed counts as part of its absence.
    listed.availability_since = at->second.since;
    BeginDeparture(listed, at->second.since, at->second.changed_after);
    missing_.push_back(at->first);
    at = lapses_.erase(at);
    changed = true;
  }
  std::vector<UpstreamRecord> returned;
  for (const auto& [id, reappearance] : reappeared_) {
    if (now - reappearance.since >= lapse_grace_time_ * kReappearanceFactor)
      returned.push_back(reappearance.record);
  }
  for (UpstreamRecord& record : returned) {
    record.report = upstreams_[record.id].record.report + 1;
    changed |= Update(record, now, kNever);
  }
  std::erase_if(missing_, [&](const std::string& id) {
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end() ||
        found->second.availability != UpstreamAvailability::kMissing) {
      return true;  // It registered again.
    }
    if (now - found->second.availability_since <= delete_after) return false;
    upstreams_.erase(found);
    return true;
  });
  if (changed) OnServingChanged();
  return changed;
}

void UpstreamDirectory::OnServingChanged() {
  ++serving_version_;
  serving_.clear();
}

void UpstreamDirectory::OnStoreReachable(MonotonicTime store_reachable_since) {
  for (auto& [id, lapse] : lapses_)
    lapse.until =
        std::min(lapse.until, store_reachable_since + lapse_grace_time_);
}

const ListedUpstream* UpstreamDirectory::Find(const std::string& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second;
}

const RegistrationLapse* UpstreamDirectory::FindLapse(
    const std::string& id) const {
  const auto found = lapses_.find(id);
  return found == lapses_.end() ? nullptr : &found->second;
}

std::vector<std::string> UpstreamDirectory::ServingIds(
    const std::string& service) const {
  std::vector<std::string> ids;
  for (const ListedUpstream* listed : ServingUpstreams(service))
    ids.push_back(listed->record.id);
  return ids;
}

const std::vector<const ListedUpstream*>& UpstreamDirectory::ServingUpstreams(
    const std::string& service) const {
  if (serving_.empty()) {
    for (const auto& [id, listed] : upstreams_) {
      if (listed.availability == UpstreamAvailability::kServing)
        serving_[listed.record.service].push_back(&listed);
    }
  }
  return serving_[service];
}

}  // namespace mimosadeal
