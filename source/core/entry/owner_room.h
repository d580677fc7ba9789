// Connects the parts of an entry host that decide, together with other hosts,
// how many requests contended owners of keys get.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "entry/permit_broker.h"

namespace mimosadeal {

class RequestForwarder;
class ZoneCoordinator;

struct OwnerRoomHandlers {
  // This host saw that an owner is contended.
  std::function<void(const std::string& upstream, int64_t incarnation,
                     std::string_view reason)>
      on_contended;
  // See PermitBroker::Ask.
  std::function<void(const ListedUpstream& upstream, int rank, Duration wait,
                     const PlaceAsk& place, PermitBroker::Callback callback)>
      ask_for_place;
  // The request that had the place needs it no more.
  std::function<void(const OwnerPlaceNotice& notice)> return_place;
};

// Does nothing if `coordinator` runs without places; see
// ZoneCoordinatorOptions::owner_room.
void ConnectOwnerRoom(RequestForwarder& forwarder,
                      ZoneCoordinator& coordinator);

}  // namespace mimosadeal
