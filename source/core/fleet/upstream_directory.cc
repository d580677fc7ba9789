#include "fleet/upstream_directory.h"

#include <algorithm>

namespace mimosadeal {

bool UpstreamDirectory::Update(const UpstreamRecord& record,
                               MonotonicTime now) {
  lapses_.erase(record.id);
  ListedUpstream& listed = upstreams_[record.id];
  if (listed.record.incarnation != record.incarnation) {
    listed.said_leaving = false;
    listed.leaving_since = kNever;
  }
  const auto standing = record.draining || listed.said_leaving
                            ? UpstreamStanding::kDraining
                            : UpstreamStanding::kServing;
  const bool changed = !(listed.record == record) ||
                       listed.standing != standing ||
                       listed.standing_since == kNever;
  if (listed.standing != standing || listed.standing_since == kNever ||
      listed.record.incarnation != record.incarnation) {
    listed.standing_since = now;
  }
  listed.record = record;
  listed.standing = standing;
  if (standing == UpstreamStanding::kServing) {
    listed.leaving_since = kNever;
  } else if (listed.leaving_since == kNever) {
    listed.leaving_since = now;
  }
  if (changed) OnServingChanged();
  return changed;
}

bool UpstreamDirectory::MarkLeaving(const std::string& id, int64_t incarnation,
                                    MonotonicTime now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end() ||
      found->second.record.incarnation != incarnation ||
      found->second.said_leaving) {
    return false;
  }
  ListedUpstream& listed = found->second;
  listed.said_leaving = true;
  if (listed.leaving_since == kNever) listed.leaving_since = now;
  if (listed.standing != UpstreamStanding::kServing) return false;
  listed.standing = UpstreamStanding::kDraining;
  listed.standing_since = now;
  OnServingChanged();
  return true;
}

bool UpstreamDirectory::Remove(const std::string& id, MonotonicTime now,
                               MonotonicTime store_back_at,
                               bool store_reachable) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return false;
  const bool around_outage =
      !store_reachable ||
      (store_back_at != kNever && now - store_back_at < lapse_grace_);
  if (around_outage && found->second.standing == UpstreamStanding::kServing) {
    lapses_.try_emplace(
        id, Lapse{now, (store_reachable ? store_back_at : now) + lapse_grace_});
    return false;
  }
  if (found->second.standing == UpstreamStanding::kMissing) return false;
  found->second.standing = UpstreamStanding::kMissing;
  found->second.standing_since = now;
  if (found->second.leaving_since == kNever) found->second.leaving_since = now;
  missing_.push_back(id);
  OnServingChanged();
  return true;
}

bool UpstreamDirectory::Advance(MonotonicTime now, Duration forget_after) {
  bool changed = false;
  for (auto at = lapses_.begin(); at != lapses_.end();) {
    ListedUpstream& listed = upstreams_[at->first];
    if (at->second.until > now) {
      if (listed.standing == UpstreamStanding::kServing &&
          now - at->second.since >= lapse_use_) {
        listed.standing = UpstreamStanding::kLapsed;
        changed = true;
      }
      ++at;
      continue;
    }
    listed.standing = UpstreamStanding::kMissing;
    // Since it went: it has had its time, and gets none besides.
    listed.standing_since = at->second.since;
    if (listed.leaving_since == kNever) listed.leaving_since = at->second.since;
    missing_.push_back(at->first);
    at = lapses_.erase(at);
    changed = true;
  }
  std::erase_if(missing_, [&](const std::string& id) {
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end() ||
        found->second.standing != UpstreamStanding::kMissing) {
      return true;  // It is back.
    }
    if (now - found->second.standing_since <= forget_after) return false;
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

void UpstreamDirectory::OnStoreBack(MonotonicTime store_back_at) {
  for (auto& [id, lapse] : lapses_)
    lapse.until = std::min(lapse.until, store_back_at + lapse_grace_);
}

const ListedUpstream* UpstreamDirectory::Find(const std::string& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second;
}

std::vector<std::string> UpstreamDirectory::Serving(
    const std::string& service) const {
  std::vector<std::string> ids;
  for (const ListedUpstream* listed : ServingNow(service))
    ids.push_back(listed->record.id);
  return ids;
}

const std::vector<const ListedUpstream*>& UpstreamDirectory::ServingNow(
    const std::string& service) const {
  if (serving_.empty()) {
    for (const auto& [id, listed] : upstreams_) {
      if (listed.standing == UpstreamStanding::kServing)
        serving_[listed.record.service].push_back(&listed);
    }
  }
  return serving_[service];
}

}  // namespace mimosadeal
