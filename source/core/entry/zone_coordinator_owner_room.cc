// The part of ZoneCoordinator that spreads which owners of keys are contended,
// and passes on requests for places in them. By datagrams only: hosts of former
// builds close a connection on which they read a message of an unknown type.

#include "common/event_log.h"
#include "entry/contended_owners.h"
#include "entry/deployment_view.h"
#include "entry/lease_manager.h"
#include "entry/zone_coordinator.h"
#include "entry/zone_coordinator_state.h"
#include "inner/owner_room_messages.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// No host marks an owner for longer; protects against corrupt messages.
constexpr Duration kMaxContended = 2 * kContendedTime;

}  // namespace

void ZoneCoordinator::AddPlaceHandlers(PermitBrokerHandlers& handlers) {
  if (contended_ == nullptr) return;
  handlers.send_place_request = [this](const std::string& address,
                                       const OwnerPlaceRequest& message) {
    transport_->SendDatagram(address, message);
  };
  handlers.send_notice = [this](const std::string& address,
                                const OwnerPlaceNotice& notice) {
    transport_->SendDatagram(address, notice);
  };
  handlers.contended_left = [this](const std::string& upstream,
                                   int64_t incarnation) {
    return contended_->Left(upstream, incarnation);
  };
  handlers.on_contended = [this](const std::string& upstream,
                                 int64_t incarnation) {
    ReportContended(upstream, incarnation, "waiting");
  };
}

void ZoneCoordinator::AskForPlace(const ListedUpstream& upstream, int rank,
                                  Duration wait, const PlaceAsk& place,
                                  PermitBroker::Callback callback) {
  permits_->Ask(upstream, rank, wait, std::move(callback), place);
}

void ZoneCoordinator::ReturnPlace(const OwnerPlaceNotice& notice) {
  permits_->ReturnPlace(notice);
}

void ZoneCoordinator::ReportContended(const std::string& upstream,
                                      int64_t incarnation,
                                      std::string_view reason) {
  if (!contended_->Note(upstream, incarnation, kContendedTime, reason)) return;
  if (SpreadsLimits()) {
    ForwardContention(upstream, incarnation, ReportScope::kOtherZones);
    return;
  }
  const std::string& holder = home().lease->lease().address;
  if (holder.empty() || holder == options_.inner_address) return;
  transport_->SendDatagram(
      holder, MakeContention(upstream, incarnation, ReportScope::kOtherZones));
}

void ZoneCoordinator::OnOwnerContention(const OwnerContention& report) {
  if (contended_ == nullptr) return;
  const Duration left = std::chrono::milliseconds(report.left_ms);
  if (left > kMaxContended) {
    log_.LogRequest("datagram.malformed",
                    {{"type", "owner-contention"},
                     {"reason", "an owner is not contended for that long"}});
    return;
  }
  const ListedUpstream* listed = view_.directory().Find(report.upstream);
  const bool known =
      listed != nullptr && listed->record.incarnation == report.incarnation;
  if (!known || !contended_->Note(report.upstream, report.incarnation, left,
                                  "reported")) {
    return;
  }
  if (SpreadsLimits()) {
    ForwardContention(report.upstream, report.incarnation,
                      static_cast<ReportScope>(report.scope));
  }
}

OwnerContention ZoneCoordinator::MakeContention(const std::string& upstream,
                                                int64_t incarnation,
                                                ReportScope scope) const {
  const Duration left = contended_->Left(upstream, incarnation);
  return {upstream, incarnation, static_cast<uint32_t>(ToMilliseconds(left)),
          static_cast<uint8_t>(scope)};
}

void ZoneCoordinator::ForwardContention(const std::string& upstream,
                                        int64_t incarnation,
                                        ReportScope scope) {
  if (scope == ReportScope::kHost) return;
  const OwnerContention report =
      MakeContention(upstream, incarnation, ReportScope::kHost);
  for (const auto& [address, follower] : followers_) {
    if (follower.wants_feed) transport_->SendDatagram(address, report);
  }
  if (scope != ReportScope::kOtherZones) return;
  for (const std::string& address : OtherHolders()) {
    transport_->SendDatagram(
        address, MakeContention(upstream, incarnation, ReportScope::kZone));
  }
}

void ZoneCoordinator::OnOwnerPlaceRequest(const OwnerPlaceRequest& message) {
  if (contended_ != nullptr) permits_->OnPlaceRequest(message);
}

void ZoneCoordinator::OnOwnerPlaceNotice(const OwnerPlaceNotice& notice) {
  if (contended_ != nullptr) permits_->OnNotice(notice);
}

}  // namespace mimosadeal
