// Splits the load that a host reports among datagrams that are not fragmented.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "inner/zone_messages.h"

namespace mimosadeal {

// The expected and the actual time of an upstream's responses, as sums.
struct SpeedSample {
  double expected_ms = 0;
  double taken_ms = 0;
};

// Returns reports that together contain all of `cells` (busy milliseconds by
// cell of keys) and `speeds` (by upstream). Each fits into one packet of 1,500
// bytes. Their other fields are those of `report_template`.
std::vector<LoadReport> MakeLoadReports(
    const LoadReport& report_template,
    const std::map<uint16_t, uint32_t>& cells,
    const std::map<std::string, SpeedSample>& speeds);

}  // namespace mimosadeal
