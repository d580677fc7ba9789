// The part of ZoneCoordinator that exchanges reports with other hosts: crashes,
// upstreams that are leaving, load by key, and speeds of upstreams.

#include <algorithm>

#include "entry/deployment_view.h"
#include "entry/lease_manager.h"
#include "entry/range_manager.h"
#include "entry/zone_coordinator.h"
#include "entry/zone_coordinator_state.h"
#include "inner/load_reports.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// An owner receives a handful of requests per second, so 15 s are needed to
// measure its load to within an eighth.
constexpr KeyLoadTiming kLoadTimeConstants = {
    std::chrono::milliseconds(1500), std::chrono::seconds(15), kLoadInterval};
// Factor by which the weight of earlier responses decreases in each interval.
// The speed of an upstream is a mean over about 5 s.
constexpr double kSpeedDecayFactor = 0.9;
// One in this many load reports to other zones includes speeds, which are most
// of its size and change slowly.
constexpr int kRoundsPerSpeedReport = 4;
// Added to the expected and the measured time of each upstream, so that a few
// responses have little effect on its speed.
constexpr double kSpeedPriorMs = 400;
// kMinSpeed and kMaxSpeed limit a measured speed, relative to the mean.
constexpr double kMinSpeed = 0.1;
// Longer than any call to the store or an upstream. The longest is a release,
// which may take as long as the longest hold of 10 s.
constexpr Duration kRetiredZoneLifetime = std::chrono::seconds(15);
// A follower that has sent no hello for this time receives no more reports.
constexpr Duration kFollowerTimeout = std::chrono::seconds(5);
constexpr double kMaxSpeed = 2.5;

}  // namespace

void ZoneCoordinator::ReportCrash(uint64_t fingerprint,
                                  const std::string& upstream_life) {
  const CrashReport report{options_.host, options_.inner_address, fingerprint,
                           upstream_life, true};
  if (home().lease->active()) {
    OnCrashReport(report);
  } else {
    transport_->SendDatagram(home().lease->lease().address, report);
  }
}

void ZoneCoordinator::OnCrashReport(const CrashReport& report) {
  handlers_.on_crash(report.fingerprint, report.upstream);
  if (!report.forward || !home().lease->active()) return;
  CrashReport forwarded = report;
  forwarded.forward = false;
  for (const auto& [address, follower] : followers_) {
    if (address != report.address) transport_->SendDatagram(address, forwarded);
  }
  // The other zones' holders forward the report to their followers only. Its
  // host field equals its address, so they do not take it for a report from
  // their own zone.
  const bool from_home = report.host != report.address;
  forwarded.forward = true;
  forwarded.host = forwarded.address;
  for (const auto& [name, zone] : zones_) {
    if (from_home && !zone->home && !zone->lease->lease().address.empty())
      transport_->SendDatagram(zone->lease->lease().address, forwarded);
  }
}

void ZoneCoordinator::ReportLeaving(const std::string& upstream,
                                    int64_t incarnation) {
  if (!view_.NoteLeaving(upstream, incarnation)) return;
  const LeavingReport report{upstream, incarnation,
                             static_cast<uint8_t>(ReportScope::kOtherZones)};
  if (home().lease->active()) {
    Forward(report);
  } else {
    transport_->SendDatagram(home().lease->lease().address, report);
  }
}

void ZoneCoordinator::OnLeavingReport(const LeavingReport& report) {
  if (view_.NoteLeaving(report.upstream, report.incarnation) &&
      home().lease->active())
    Forward(report);
}

void ZoneCoordinator::Forward(LeavingReport report) {
  const auto scope = static_cast<ReportScope>(report.scope);
  if (scope == ReportScope::kHost) return;
  report.scope = static_cast<uint8_t>(ReportScope::kHost);
  for (const auto& [address, follower] : followers_)
    transport_->SendDatagram(address, report);
  if (scope != ReportScope::kOtherZones) return;
  report.scope = static_cast<uint8_t>(ReportScope::kZone);
  for (const auto& [name, zone] : zones_) {
    if (!zone->home && !zone->lease->lease().address.empty())
      transport_->SendDatagram(zone->lease->lease().address, report);
  }
}

void ZoneCoordinator::AddLoad(const std::string& service, int key,
                              Duration busy) {
  new_load_[service][static_cast<uint16_t>(key / kKeysPerCell)] +=
      static_cast<uint32_t>(ToMilliseconds(busy));
}

void ZoneCoordinator::AddSpeed(const std::string& service,
                               const std::string& upstream, Duration expected,
                               Duration taken) {
  SpeedSample& speed = new_speeds_[service][upstream];
  speed.expected_ms += static_cast<double>(ToMilliseconds(expected));
  speed.taken_ms += static_cast<double>(ToMilliseconds(taken));
}

void ZoneCoordinator::ApplySpeeds() {
  for (auto& [service, upstreams] : speeds_) {
    std::map<std::string, double> factors;
    for (auto& [upstream, speed] : upstreams) {
      speed.expected_ms *= kSpeedDecayFactor;
      speed.taken_ms *= kSpeedDecayFactor;
      factors[upstream] = std::clamp((speed.expected_ms + kSpeedPriorMs) /
                                         (speed.taken_ms + kSpeedPriorMs),
                                     kMinSpeed, kMaxSpeed);
    }
    for (auto& [name, zone] : zones_) zone->ranges->SetSpeeds(service, factors);
  }
}

void ZoneCoordinator::OnLoadReport(const LoadReport& report) {
  const size_t count = std::min(report.cells.size(), report.busy_ms.size());
  KeyLoad& load =
      loads_.try_emplace(report.service, kLoadTimeConstants).first->second;
  constexpr double ms_per_second = 1000;
  for (size_t i = 0; i < count; ++i) {
    if (report.forward) {
      // From a host of this zone; counted when the zone's sum is shared.
      new_load_[report.service][report.cells[i]] += report.busy_ms[i];
    } else {
      load.Add(report.cells[i], report.busy_ms[i] / ms_per_second);
    }
  }
  const size_t speeds =
      std::min({report.upstreams.size(), report.expected_ms.size(),
                report.taken_ms.size()});
  SpeedByUpstream& target = report.forward ? new_speeds_ : speeds_;
  for (size_t i = 0; i < speeds; ++i) {
    SpeedSample& speed = target[report.service][report.upstreams[i]];
    speed.expected_ms += report.expected_ms[i];
    speed.taken_ms += report.taken_ms[i];
  }
}

void ZoneCoordinator::SendLoad(const std::string& address,
                               const SpeedByUpstream& speeds, bool forward) {
  if (address.empty()) return;
  LoadReport report_template;
  report_template.host = options_.host;
  report_template.period_ms =
      static_cast<uint32_t>(ToMilliseconds(kLoadInterval));
  report_template.forward = forward;
  for (const auto& [service, cells] : new_load_) {
    report_template.service = service;
    const auto known = speeds.find(service);
    for (const LoadReport& report : MakeLoadReports(
             report_template, cells,
             known == speeds.end() ? std::map<std::string, SpeedSample>()
                                   : known->second))
      transport_->SendDatagram(address, report);
  }
}

void ZoneCoordinator::ShareWithOtherZones() {
  for (const auto& [service, upstreams] : new_speeds_) {
    for (const auto& [upstream, speed] : upstreams) {
      SpeedSample& sum = unshared_speeds_[service][upstream];
      sum.expected_ms += speed.expected_ms;
      sum.taken_ms += speed.taken_ms;
    }
  }
  const bool with_speeds = --rounds_until_speed_report_ <= 0;
  for (const auto& [name, zone] : zones_) {
    if (zone->home) continue;
    SendLoad(zone->lease->lease().address,
             with_speeds ? unshared_speeds_ : SpeedByUpstream(), false);
  }
  if (!with_speeds) return;
  unshared_speeds_.clear();
  rounds_until_speed_report_ = kRoundsPerSpeedReport;
}

void ZoneCoordinator::ShareLoad() {
  const MonotonicTime now = loop_.timers().now();
  std::erase_if(retired_zones_, [now](const auto& retired) {
    return now - retired.first > kRetiredZoneLifetime;
  });
  std::erase_if(followers_, [now](const auto& entry) {
    return now - entry.second.last_hello_at > kFollowerTimeout;
  });
  if (!home().lease->active()) {
    SendLoad(home().lease->lease().address, new_speeds_, true);
    new_load_.clear();
    new_speeds_.clear();
    return;
  }
  ShareWithOtherZones();
  constexpr double ms_per_second = 1000;
  for (const auto& [service, cells] : new_load_) {
    KeyLoad& load =
        loads_.try_emplace(service, kLoadTimeConstants).first->second;
    for (const auto& [cell, busy] : cells) load.Add(cell, busy / ms_per_second);
  }
  new_load_.clear();
  for (const auto& [service, upstreams] : new_speeds_) {
    for (const auto& [upstream, speed] : upstreams) {
      SpeedSample& sum = speeds_[service][upstream];
      sum.expected_ms += speed.expected_ms;
      sum.taken_ms += speed.taken_ms;
    }
  }
  new_speeds_.clear();
  ApplySpeeds();
  for (auto& [service, load] : loads_) {
    const CellLoads rates = load.Rates(now);
    for (auto& [name, zone] : zones_)
      zone->ranges->SetLoads(service, rates, load.noise(),
                             load.request_seconds());
  }
}

}  // namespace mimosadeal
