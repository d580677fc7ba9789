// The part of ZoneCoordinator that spreads which upstreams may be cold: a host
// that an upstream refused a connection tells all others, before the upstream
// is back. By datagrams only: hosts of former builds close a connection on
// which they read a message of an unknown type.

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/lease_manager.h"
#include "entry/zone_coordinator.h"
#include "entry/zone_coordinator_state.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// No upstream is cold for longer; protects against corrupt messages.
constexpr uint32_t kMaxColdMs = 60'000;

}  // namespace

void ZoneCoordinator::ReportRefused(const std::string& upstream) {
  if (!view_.NoteRefused(upstream)) return;
  if (SpreadsLimits()) {
    ForwardCold(upstream, ReportScope::kOtherZones);
    return;
  }
  const std::string& holder = home().lease->lease().address;
  if (holder.empty() || holder == options_.inner_address) return;
  transport_->SendDatagram(holder,
                           MakeColdReport(*view_.directory().Find(upstream),
                                          ReportScope::kOtherZones));
}

void ZoneCoordinator::OnColdReport(const ColdReport& report) {
  if (!NoteReportedCold(report.upstream, report.cold_ms) || !SpreadsLimits())
    return;
  ForwardCold(report.upstream, static_cast<ReportScope>(report.scope));
}

bool ZoneCoordinator::NoteReportedCold(const std::string& upstream,
                                       uint32_t cold_ms) {
  if (cold_ms == 0) return false;
  if (cold_ms > kMaxColdMs) {
    log_.LogRequest("datagram.malformed",
                    {{"type", "cold-report"},
                     {"reason", "an upstream is not cold for that long"}});
    return false;
  }
  return view_.NoteAssumedCold(upstream, std::chrono::milliseconds(cold_ms),
                               "reported");
}

ColdReport ZoneCoordinator::MakeColdReport(const ListedUpstream& upstream,
                                           ReportScope scope) const {
  const Duration left = upstream.cold.assumed_until - loop_.timers().now();
  return {upstream.record.id, static_cast<uint32_t>(ToMilliseconds(left)),
          static_cast<uint8_t>(scope)};
}

void ZoneCoordinator::ForwardCold(const std::string& upstream,
                                  ReportScope scope) {
  if (scope == ReportScope::kHost) return;
  const ListedUpstream& listed = *view_.directory().Find(upstream);
  const ColdReport report = MakeColdReport(listed, ReportScope::kHost);
  for (const auto& [address, follower] : followers_) {
    if (follower.wants_feed) transport_->SendDatagram(address, report);
  }
  if (scope != ReportScope::kOtherZones) return;
  for (const std::string& address : OtherHolders())
    transport_->SendDatagram(address,
                             MakeColdReport(listed, ReportScope::kZone));
}

void ZoneCoordinator::SendColdReports(const std::string& address) {
  for (const auto& [id, listed] : view_.directory().all()) {
    if (listed.cold.assumed_until <= loop_.timers().now()) continue;
    transport_->SendDatagram(address,
                             MakeColdReport(listed, ReportScope::kHost));
  }
}

}  // namespace mimosadeal
