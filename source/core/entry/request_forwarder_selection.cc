// Selection of an upstream in RequestForwarder: the owner of the request's key,
// or the upstream of an unkeyed service that is expected to respond soonest.

#include <algorithm>

#include "balance/upstream_choice.h"
#include "balance/upstream_preference.h"
#include "entry/deployment_view.h"
#include "entry/path_monitor.h"
#include "entry/request_forwarder.h"
#include "entry/request_forwarder_state.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// Requests to another availability zone cause traffic between zones. An
// upstream there must be expected to respond sooner by this fraction of a
// service time.
constexpr double kZonePreference = 0.5;
// Upstreams compared in addition when all preferred ones are busy. More cost
// time and hardly improve the choice.
constexpr size_t kMaxCandidates = 24;
// A leaving upstream still receives requests for its keys for these fractions
// of the drain bound, whichever ends first: since this host learned that it
// leaves, and since the earliest time at which it may have begun to leave. The
// remainder is for the time that a request takes to reach the upstream.
constexpr double kDrainShareSinceLearned = 0.4;
constexpr double kDrainShareSinceLeft = 0.8;

NextChance Sooner(const NextChance& left, const NextChance& right) {
  return right.at < left.at ? right : left;
}

}  // namespace

MonotonicTime RequestForwarder::UsableUntil(
    const ListedUpstream& upstream) const {
  // The upstream may have left unnoticed.
  if (!view_.IsConfirmed(ViewKind::kRegistry)) return kNever;
  return std::min(UsableUntilDeparture(upstream),
                  view_.ZoneUsableUntil(upstream.record.zone));
}

MonotonicTime RequestForwarder::UsableUntilDeparture(
    const ListedUpstream& upstream) const {
  if (upstream.availability == UpstreamAvailability::kServing) {
    const RegistrationLapse* lapse =
        view_.directory().FindLapse(upstream.record.id);
    return lapse == nullptr ? kForever : lapse->use_until;
  }
  const bool unusable =
      upstream.availability == UpstreamAvailability::kLapsed ||
      upstream.left_after == kNever;
  if (unusable) return kNever;
  const auto part_of_drain = [this](double part) {
    return Duration(static_cast<int64_t>(
        static_cast<double>(options_.drain.count()) * part));
  };
  return std::min(
      upstream.leaving_since + part_of_drain(kDrainShareSinceLearned),
      upstream.left_after + part_of_drain(kDrainShareSinceLeft));
}

bool RequestForwarder::UsesRelay(const ListedUpstream& upstream) const {
  const UpstreamRecord& record = upstream.record;
  if (!paths_.IsCutOff(record.service)) return false;
  const UpstreamLoad* load = pool_.FindLoad(record);
  const bool unreached =
      load != nullptr && load->relay_backoff_until > loop_.timers().now();
  return !unreached && relay_.HasHelper(record.service);
}

const ListedUpstream* RequestForwarder::FindOwner(PendingRequest& pending,
                                                  const KeyRange** range) {
  const RangeTable* table = view_.table(pending.service->name);
  if (table == nullptr || !pending.request.key.has_value()) return nullptr;
  *range = FindRange(*table, *pending.request.key);
  if (*range == nullptr) return nullptr;
  const ListedUpstream* owner = view_.directory().Find((*range)->owner);
  if (owner == nullptr ||
      owner->record.incarnation != (*range)->owner_incarnation ||
      loop_.timers().now() >= UsableUntil(*owner)) {
    return nullptr;
  }
  return owner;
}

const std::vector<const ListedUpstream*>& RequestForwarder::PreferredFor(
    const std::string& service) {
  const UpstreamDirectory& directory = view_.directory();
  if (preferred_version_ != directory.serving_version()) {
    preferred_version_ = directory.serving_version();
    preferred_.clear();
  }
  const auto known = preferred_.find(service);
  if (known != preferred_.end()) return known->second;
  return preferred_[service] = PreferredUpstreams(
             directory.ServingUpstreams(service), options_.host, options_.zone);
}

std::vector<const ListedUpstream*> RequestForwarder::SampleUpstreams(
    const std::vector<const ListedUpstream*>& serving) {
  std::vector<const ListedUpstream*> sample;
  if (serving.empty()) return sample;
  const size_t step = std::max<size_t>(1, serving.size() / kMaxCandidates);
  const size_t start = random_.Below(serving.size());
  for (size_t i = 0; i < std::min(serving.size(), kMaxCandidates); ++i)
    sample.push_back(serving[(start + i * step) % serving.size()]);
  return sample;
}

void RequestForwarder::AddCandidates(
    const PendingRequest& pending,
    const std::vector<const ListedUpstream*>& upstreams,
    std::vector<ChoiceCandidate>& candidates, NextChance& next) {
  const MonotonicTime now = loop_.timers().now();
  for (const ListedUpstream* listed : upstreams) {
    const UpstreamRecord& record = listed->record;
    // Other zones' upstreams can do the work, so none is sent from the news on.
    if (view_.IsEvacuated(record.zone)) continue;
    if (std::find(pending.tried.begin(), pending.tried.end(), record.id) !=
        pending.tried.end()) {
      continue;
    }
    const UpstreamLoad& load = pool_.LoadOf(record);
    const bool unreached =
        load.connect_backoff_until > now && !UsesRelay(*listed);
    if (unreached || now >= UsableUntil(*listed)) continue;
    if (load.rest_until > now) {
      next = Sooner(next, {load.rest_until, RefusalReason::kResting});
      continue;
    }
    if (load.limited_until > now && view_.RateLimitOf(*listed).has_value()) {
      next = Sooner(next, {load.limited_until, RefusalReason::kLimited});
      continue;
    }
    candidates.push_back(
        {record.id, load, record.zone == options_.zone,
         record.warmup_left - (now - listed->availability_since)});
  }
}

const ListedUpstream* RequestForwarder::FindBestUpstream(
    const PendingRequest& pending, NextChance& next) {
  const MonotonicTime now = loop_.timers().now();
  std::vector<ChoiceCandidate> candidates;
  AddCandidates(pending, PreferredFor(pending.service->name), candidates, next);
  const auto choose = [&] {
    return ChooseUpstream(candidates, kZonePreference, random_.Next(), now);
  };
  int chosen = choose();
  // None of the preferred upstreams has a free slot.
  if (chosen < 0 || ExpectedWait(candidates[static_cast<size_t>(chosen)].load,
                                 now) > Duration::zero()) {
    AddCandidates(pending,
                  SampleUpstreams(view_.directory().ServingUpstreams(
                      pending.service->name)),
                  candidates, next);
    chosen = choose();
  }
  if (chosen < 0) return nullptr;
  return view_.directory().Find(candidates[static_cast<size_t>(chosen)].id);
}

}  // namespace mimosadeal
