#include "entry/owner_room.h"

#include <utility>

#include "entry/request_forwarder.h"
#include "entry/zone_coordinator.h"

namespace mimosadeal {

void ConnectOwnerRoom(RequestForwarder& forwarder,
                      ZoneCoordinator& coordinator) {
  ContendedOwners* contended = coordinator.contended_owners();
  if (contended == nullptr) return;
  OwnerRoomHandlers handlers;
  handlers.on_contended = [&coordinator](const std::string& upstream,
                                         int64_t incarnation,
                                         std::string_view reason) {
    coordinator.ReportContended(upstream, incarnation, reason);
  };
  handlers.ask_for_place = [&coordinator](const ListedUpstream& upstream,
                                          int rank, Duration wait,
                                          const PlaceAsk& place,
                                          PermitBroker::Callback callback) {
    coordinator.AskForPlace(upstream, rank, wait, place, std::move(callback));
  };
  handlers.return_place = [&coordinator](const OwnerPlaceNotice& notice) {
    coordinator.ReturnPlace(notice);
  };
  forwarder.SetOwnerRoom(*contended, std::move(handlers));
}

}  // namespace mimosadeal
