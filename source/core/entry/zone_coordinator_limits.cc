// The part of ZoneCoordinator that keeps the limits of upstreams for all hosts
// together: it spreads what upstreams state, and finds the host that gives the
// permits.

#include <utility>

#include "entry/deployment_view.h"
#include "entry/lease_manager.h"
#include "entry/limit_statement.h"
#include "entry/zone_coordinator.h"
#include "entry/zone_coordinator_state.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// Part of a limit that a holder gives while its lease is not confirmed. A
// successor gives the whole limit, and upstreams tolerate 1.5 times their
// limit.
constexpr double kUnconfirmedShare = 0.5;

}  // namespace

void ZoneCoordinator::MakePermitBroker() {
  PermitBrokerHandlers handlers;
  handlers.find_giver = [this](const std::string& zone) {
    return FindPermitGiver(zone);
  };
  handlers.send_request = [this](const std::string& address,
                                 const ColdPermitRequest& message) {
    if (message.cold_ms > 0) {
      transport_->SendDatagram(address, message);
    } else {
      transport_->SendDatagram(address, message.request);
    }
  };
  handlers.send_reply = [this](const std::string& address,
                               const PermitReply& reply) {
    transport_->SendDatagram(address, reply);
  };
  handlers.on_limit = [this](const std::string& upstream, int64_t incarnation,
                             const UpstreamLimit& stated) {
    ReportLimit(upstream, incarnation, stated);
  };
  handlers.on_cold = [this](const std::string& upstream, uint32_t cold_ms) {
    NoteReportedCold(upstream, cold_ms);
  };
  AddPlaceHandlers(handlers);
  permits_ = std::make_unique<PermitBroker>(
      loop_, view_, log_, options_.inner_address, std::move(handlers));
}

void ZoneCoordinator::AskForPermit(const ListedUpstream& upstream, int rank,
                                   Duration wait,
                                   PermitBroker::Callback callback) {
  permits_->Ask(upstream, rank, wait, std::move(callback));
}

void ZoneCoordinator::OnPermitRequest(const PermitRequest& request) {
  permits_->OnRequest({request, 0});
}

void ZoneCoordinator::OnColdPermitRequest(const ColdPermitRequest& request) {
  permits_->OnRequest(request);
}

void ZoneCoordinator::OnPermitReply(const PermitReply& reply) {
  permits_->OnReply(reply);
}

PermitGiver ZoneCoordinator::FindPermitGiver(const std::string& name) const {
  PermitGiver giver;
  const auto zone = zones_.find(name);
  const LeaseManager& home_manager = *home().lease;
  if (zone != zones_.end()) {
    const LeaseManager& manager = *zone->second->lease;
    const ZoneLease& lease = manager.lease();
    const bool unconfirmed =
        zone->second->home && !resigned_ && manager.names_this_process();
    giver.is_self = manager.active() || unconfirmed;
    giver.share = manager.active() ? 1 : kUnconfirmedShare;
    giver.term = lease.term;
    giver.address = lease.address;
  } else if (!home_manager.names_this_process()) {
    giver.address = home_manager.lease().address;
  } else if (const auto former = former_holders_.find(name);
             former != former_holders_.end()) {
    giver.address = former->second;
  }
  // The lease may name an earlier process of this host.
  if (giver.address == options_.inner_address) giver.address.clear();
  return giver;
}

void ZoneCoordinator::ReportLimit(const std::string& upstream,
                                  int64_t incarnation,
                                  const UpstreamLimit& stated) {
  if (!view_.NoteLimit(upstream, incarnation, stated)) return;
  if (SpreadsLimits()) {
    ForwardLimit(upstream, ReportScope::kOtherZones);
    return;
  }
  const std::string& holder = home().lease->lease().address;
  const ListedUpstream* listed = view_.directory().Find(upstream);
  if (holder.empty() || holder == options_.inner_address) return;
  transport_->Send(transport_->ConnectionTo(holder),
                   MakeLimitReport(*listed, ReportScope::kOtherZones));
}

void ZoneCoordinator::OnLimitReport(const LimitReport& report) {
  const auto stated = FromStatement(report.limit, loop_.timers().now());
  if (!stated.has_value() ||
      !view_.NoteLimit(report.upstream, report.incarnation, *stated)) {
    return;
  }
  if (SpreadsLimits())
    ForwardLimit(report.upstream, static_cast<ReportScope>(report.scope));
}

// The followers know no other holder while the store does not confirm the
// lease.
bool ZoneCoordinator::SpreadsLimits() const {
  const LeaseManager& lease = *home().lease;
  return lease.active() || lease.names_this_process();
}

LimitReport ZoneCoordinator::MakeLimitReport(const ListedUpstream& upstream,
                                             ReportScope scope) const {
  return {upstream.record.id, upstream.record.incarnation,
          ToStatement(upstream.limit, loop_.timers().now()),
          static_cast<uint8_t>(scope)};
}

void ZoneCoordinator::ForwardLimit(const std::string& upstream,
                                   ReportScope scope) {
  if (scope == ReportScope::kHost) return;
  const ListedUpstream& listed = *view_.directory().Find(upstream);
  std::vector<std::string> addresses;
  for (const auto& [address, follower] : followers_) {
    if (follower.wants_feed) addresses.push_back(address);
  }
  transport_->SendToAll(addresses, MakeLimitReport(listed, ReportScope::kHost));
  if (scope != ReportScope::kOtherZones) return;
  std::map<std::string, std::string> holders = former_holders_;
  for (const auto& [name, zone] : zones_)
    holders[name] = zone->lease->lease().address;
  holders.erase(options_.zone);
  addresses.clear();
  for (const auto& [name, address] : holders) {
    if (!address.empty() && address != options_.inner_address)
      addresses.push_back(address);
  }
  transport_->SendToAll(addresses, MakeLimitReport(listed, ReportScope::kZone));
}

void ZoneCoordinator::SendLimits(const std::string& address) {
  for (const auto& [id, listed] : view_.directory().all()) {
    if (!listed.limit.per_second.has_value()) continue;
    transport_->Send(transport_->ConnectionTo(address),
                     MakeLimitReport(listed, ReportScope::kHost));
  }
}

}  // namespace mimosadeal
