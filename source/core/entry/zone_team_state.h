// One zone as a host works for it; shared by the files that implement the team.
#pragma once

#include <memory>
#include <string>

#include "entry/lease_keeper.h"
#include "entry/range_keeper.h"
#include "entry/zone_team.h"

namespace mimosadeal {

// Hot keys change within seconds: load is shared and ranges are balanced twice
// a second.
inline constexpr Duration kLoadInterval = std::chrono::milliseconds(500);

struct ZoneTeam::Zone {
  std::string name;
  bool home = false;
  std::unique_ptr<LeaseKeeper> lease;
  std::unique_ptr<RangeKeeper> ranges;
};

}  // namespace mimosadeal
