// The part of DeploymentView that knows how many requests per second upstreams
// take: their stated limits, and which of them are cold.

#include <algorithm>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// Stands in the log for an upstream without a limit.
constexpr double kNoLimit = -1;
// A later end of an assumed coldness is reported to other hosts if it is this
// much later, so that the refusals of many hosts make few messages.
constexpr Duration kMinColdExtension = std::chrono::seconds(1);

}  // namespace

bool DeploymentView::NoteLimit(const std::string& id, int64_t incarnation,
                               const UpstreamLimit& stated) {
  const ListedUpstream* listed = directory_.Find(id);
  const double before = listed == nullptr
                            ? kNoLimit
                            : listed->limit.per_second.value_or(kNoLimit);
  if (!directory_.NoteLimit(id, incarnation, stated)) return false;
  log_.LogStateChange("upstream.limit",
                      {{"upstream", id},
                       {"incarnation", incarnation},
                       {"per_second", stated.per_second.value_or(kNoLimit)},
                       {"before", before},
                       {"age_ms", loop_.timers().now() - stated.stated_at}});
  return true;
}

const ServiceConfig* DeploymentView::ServiceOf(
    const ListedUpstream& upstream) const {
  if (routes_ == nullptr) return nullptr;
  const auto found = routes_->services.find(upstream.record.service);
  return found == routes_->services.end() ? nullptr : &found->second;
}

std::optional<double> DeploymentView::RateLimitOf(
    const ListedUpstream& upstream) const {
  const MonotonicTime at = loop_.timers().now();
  // The usual case, without a look at the configuration.
  if (ColdUntil(upstream.cold) <= at) return upstream.limit.per_second;
  return RateLimit(upstream, ServiceOf(upstream), cold_bound_, at);
}

Duration DeploymentView::ColdLeft(const ListedUpstream& upstream) const {
  const MonotonicTime now = loop_.timers().now();
  const MonotonicTime until = ColdUntil(upstream.cold);
  const ServiceConfig* service = ServiceOf(upstream);
  if (until <= now || service == nullptr ||
      !ColdRate(*service, cold_bound_).has_value()) {
    return Duration::zero();
  }
  return until - now;
}

size_t DeploymentView::cold_upstreams() const {
  const auto& all = directory_.all();
  return static_cast<size_t>(
      std::count_if(all.begin(), all.end(), [this](const auto& entry) {
        return entry.second.availability != UpstreamAvailability::kMissing &&
               ColdLeft(entry.second) > Duration::zero();
      }));
}

bool DeploymentView::NoteRefused(const std::string& id) {
  const ListedUpstream* listed = directory_.Find(id);
  const ServiceConfig* service =
      listed == nullptr ? nullptr : ServiceOf(*listed);
  // A new incarnation holds no keys, and gets them from a host that has read
  // its registration.
  if (service == nullptr || service->keyed ||
      !ColdRate(*service, cold_bound_).has_value()) {
    return false;
  }
  return NoteAssumedCold(id, AssumedColdTime(*service), "refused");
}

bool DeploymentView::NoteAssumedCold(const std::string& id, Duration left,
                                     std::string_view reason) {
  const MonotonicTime until = loop_.timers().now() + left;
  const ListedUpstream* listed = directory_.Find(id);
  if (listed == nullptr) return false;
  const MonotonicTime known = listed->cold.assumed_until;
  directory_.NoteAssumedCold(id, until);
  if (known != kNever && until - known < kMinColdExtension) return false;
  log_.LogStateChange("upstream.cold-assumed",
                      {{"upstream", id},
                       {"incarnation", listed->record.incarnation},
                       {"cold_ms", left},
                       {"reason", reason}});
  return true;
}

void DeploymentView::AssumeZoneCold(const std::string& zone) {
  for (const auto& [id, listed] : directory_.all()) {
    const ServiceConfig* service = ServiceOf(listed);
    if (listed.record.zone == zone && service != nullptr &&
        ColdRate(*service, cold_bound_).has_value()) {
      NoteAssumedCold(id, AssumedColdTime(*service), "zone-taken-back");
    }
  }
}

void DeploymentView::LogColdness(const ListedUpstream& listed,
                                 MonotonicTime stated_before) {
  const MonotonicTime now = loop_.timers().now();
  if (stated_before > now || listed.cold.stated_until <= now) return;
  const ServiceConfig* service = ServiceOf(listed);
  const auto rate =
      service == nullptr ? std::nullopt : ColdRate(*service, cold_bound_);
  log_.LogStateChange("upstream.cold",
                      {{"upstream", listed.record.id},
                       {"incarnation", listed.record.incarnation},
                       {"cold_ms", listed.cold.stated_until - now},
                       {"per_second", rate.value_or(kNoLimit)}});
}

}  // namespace mimosadeal
