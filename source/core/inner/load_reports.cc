#include "inner/load_reports.h"

namespace mimosadeal {
namespace {

// A cell takes 6 bytes and an upstream about 30. The reports must not be
// fragmented, because a datagram is lost if any of its fragments is.
constexpr size_t kMaxCells = 150;
constexpr size_t kMaxUpstreams = 12;

}  // namespace

std::vector<LoadReport> MakeLoadReports(
    const LoadReport& report_template,
    const std::map<uint16_t, uint32_t>& cells,
    const std::map<std::string, SpeedSample>& speeds) {
  std::vector<LoadReport> reports;
  auto cell = cells.begin();
  auto speed = speeds.begin();
  while (cell != cells.end() || speed != speeds.end()) {
    LoadReport& report = reports.emplace_back(report_template);
    for (; cell != cells.end() && report.cells.size() < kMaxCells; ++cell) {
      report.cells.push_back(cell->first);
      report.busy_ms.push_back(cell->second);
    }
    for (; speed != speeds.end() && report.upstreams.size() < kMaxUpstreams;
         ++speed) {
      report.upstreams.push_back(speed->first);
      report.expected_ms.push_back(
          static_cast<uint32_t>(speed->second.expected_ms));
      report.taken_ms.push_back(static_cast<uint32_t>(speed->second.taken_ms));
    }
  }
  return reports;
}

}  // namespace mimosadeal
