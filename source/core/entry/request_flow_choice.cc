// Which upstream gets a request of the request flow: the owner of its key, or
// the one of several that should answer soonest.

#include <algorithm>

#include "balance/upstream_choice.h"
#include "balance/upstream_preference.h"
#include "entry/deployment_view.h"
#include "entry/request_flow.h"
#include "entry/request_flow_state.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// A request to another zone costs bytes between zones: the upstream there must
// be better by this share of a service time.
constexpr double kZonePreference = 0.5;
// Upstreams looked at when the preferred ones are busy: more cost time and
// improve the choice little.
constexpr size_t kMostCandidates = 24;
// Parts of the drain bound in which a leaving upstream still gets requests for
// its keys: from when this host heard of it, and from when it may have left.
// The rest is for the request's way to the upstream.
constexpr double kDrainShare = 0.4;
constexpr double kDrainLimit = 0.8;

}  // namespace

MonotonicTime RequestFlow::UsableUntil(const ListedUpstream& upstream) const {
  if (upstream.availability == UpstreamAvailability::kServing) return kForever;
  const bool unusable =
      upstream.availability == UpstreamAvailability::kLapsed ||
      upstream.left_after == kNever;
  if (unusable) return kNever;
  const auto part_of_drain = [this](double part) {
    return Duration(static_cast<int64_t>(
        static_cast<double>(options_.drain.count()) * part));
  };
  return std::min(upstream.leaving_since + part_of_drain(kDrainShare),
                  upstream.left_after + part_of_drain(kDrainLimit));
}

const ListedUpstream* RequestFlow::FindOwner(Pending& pending,
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

const std::vector<const ListedUpstream*>& RequestFlow::Preferred(
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

std::vector<const ListedUpstream*> RequestFlow::SomeOf(
    const std::vector<const ListedUpstream*>& serving) {
  std::vector<const ListedUpstream*> some;
  if (serving.empty()) return some;
  const size_t step = std::max<size_t>(1, serving.size() / kMostCandidates);
  const size_t from = random_.Below(serving.size());
  for (size_t i = 0; i < std::min(serving.size(), kMostCandidates); ++i)
    some.push_back(serving[(from + i * step) % serving.size()]);
  return some;
}

void RequestFlow::AddCandidates(
    const Pending& pending, const std::vector<const ListedUpstream*>& upstreams,
    std::vector<ChoiceCandidate>& candidates, MonotonicTime& rest_ends) {
  const MonotonicTime now = loop_.timers().now();
  for (const ListedUpstream* listed : upstreams) {
    const UpstreamRecord& record = listed->record;
    if (std::find(pending.tried.begin(), pending.tried.end(), record.id) !=
        pending.tried.end()) {
      continue;
    }
    const UpstreamLoad& load = pool_.Load(record);
    if (load.connect_backoff_until > now) continue;
    if (load.rest_until > now) {
      rest_ends = std::min(rest_ends, load.rest_until);
      continue;
    }
    candidates.push_back(
        {record.id, load, record.zone == options_.zone,
         record.warmup_left - (now - listed->availability_since)});
  }
}

const ListedUpstream* RequestFlow::FindAnyUpstream(const Pending& pending,
                                                   MonotonicTime& rest_ends) {
  const MonotonicTime now = loop_.timers().now();
  rest_ends = kForever;
  std::vector<ChoiceCandidate> candidates;
  AddCandidates(pending, Preferred(pending.service->name), candidates,
                rest_ends);
  const auto choose = [&] {
    return ChooseUpstream(candidates, kZonePreference, random_.Next(), now);
  };
  int chosen = choose();
  // None of the preferred ones has room at once.
  if (chosen < 0 || ExpectedWait(candidates[static_cast<size_t>(chosen)].load,
                                 now) > Duration::zero()) {
    AddCandidates(
        pending,
        SomeOf(view_.directory().ServingUpstreams(pending.service->name)),
        candidates, rest_ends);
    chosen = choose();
  }
  if (chosen < 0) return nullptr;
  return view_.directory().Find(candidates[static_cast<size_t>(chosen)].id);
}

}  // namespace mimosadeal
