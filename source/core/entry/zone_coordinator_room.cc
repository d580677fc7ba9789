// The part of ZoneCoordinator that lends the room of upstreams: it passes
// demands and loans between borrowers and the lenders of the zones whose leases
// this host holds.

#include "entry/lease_manager.h"
#include "entry/range_manager.h"
#include "entry/room_lender.h"
#include "entry/zone_coordinator.h"
#include "entry/zone_coordinator_state.h"
#include "net/event_loop.h"

namespace mimosadeal {

void ZoneCoordinator::MakeRoomLender(Zone& zone) {
  RoomLenderOptions options;
  options.zone = zone.name;
  options.host = options_.host;
  options.process = options_.process;
  options.address = options_.inner_address;
  RoomLenderHandlers handlers;
  handlers.state = [this, &zone] {
    if (zone.lease->active()) return LendingState::kFull;
    const bool unconfirmed =
        zone.home && !resigned_ && zone.lease->names_this_process();
    return unconfirmed ? LendingState::kRenewOnly : LendingState::kNone;
  };
  handlers.term = [&zone] { return zone.lease->lease().term; };
  handlers.send_loan = [this](const std::string& address,
                              const RoomLoan& loan) {
    if (address != options_.inner_address) {
      transport_->SendDatagram(address, loan);
    } else {
      loop_.Post([this, loan] { OnRoomLoan(loan); });
    }
  };
  handlers.ask_other_zones = [this, &zone](RoomDemand demand) {
    for (const auto& [name, other] : zones_) {
      if (name == zone.name) continue;
      demand.zone = name;
      SendRoomDemand(other->lease->lease().address, demand);
    }
  };
  zone.lender = std::make_unique<RoomLender>(
      loop_, view_, log_, std::move(options), std::move(handlers));
}

void ZoneCoordinator::SendRoomDemand(const std::string& address,
                                     const RoomDemand& demand) {
  if (address.empty()) return;
  if (address != options_.inner_address) {
    transport_->SendDatagram(address, demand);
  } else {
    loop_.Post([this, demand] { OnRoomDemand(demand); });
  }
}

void ZoneCoordinator::ReportRoomDemand(const RoomDemand& demand) {
  SendRoomDemand(home().lease->lease().address, demand);
}

void ZoneCoordinator::OnRoomDemand(const RoomDemand& demand) {
  const auto zone = zones_.find(demand.zone);
  if (zone != zones_.end() && zone->second->lender != nullptr)
    zone->second->lender->OnDemand(demand);
}

void ZoneCoordinator::OnRoomLoan(const RoomLoan& loan) {
  if (!loan.for_zone) {
    if (loan.zone == options_.zone) handlers_.on_room_loan(loan);
    return;
  }
  const auto zone = zones_.find(loan.borrower);
  if (zone != zones_.end() && zone->second->lender != nullptr)
    zone->second->lender->OnLoan(loan);
}

void ZoneCoordinator::LendRoom() {
  for (auto& [name, zone] : zones_) {
    if (zone->lender != nullptr) zone->lender->Round();
  }
}

}  // namespace mimosadeal
