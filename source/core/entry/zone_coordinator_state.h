// State of one availability zone, shared by the files that implement
// ZoneCoordinator.
#pragma once

#include <memory>
#include <string>

#include "entry/lease_manager.h"
#include "entry/range_manager.h"
#include "entry/room_lender.h"
#include "entry/zone_coordinator.h"

namespace mimosadeal {

// Hot keys change within seconds, so load is reported and ranges are balanced
// twice a second.
inline constexpr Duration kLoadInterval = std::chrono::milliseconds(500);

struct ZoneCoordinator::Zone {
  std::string name;
  bool home = false;
  std::unique_ptr<LeaseManager> lease;
  std::unique_ptr<RangeManager> ranges;
  std::unique_ptr<RoomLender> lender;  // Null unless room is scarce.
};

}  // namespace mimosadeal
