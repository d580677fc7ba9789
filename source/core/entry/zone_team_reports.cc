// What hosts tell each other besides the feed: crashes, upstreams that leave,
// load by key, and how fast upstreams are.

#include <algorithm>

#include "entry/deployment_view.h"
#include "entry/lease_keeper.h"
#include "entry/range_keeper.h"
#include "entry/zone_team.h"
#include "entry/zone_team_state.h"
#include "inner/load_reports.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// An owner gets a handful of requests a second, so that 15 s tell its load to
// within an eighth.
constexpr KeyLoadTiming kLoadMemory = {std::chrono::milliseconds(1500),
                                       std::chrono::seconds(15), kLoadInterval};
// Weight that an upstream's earlier answers keep from one interval to the next:
// its speed is a mean over about 5 s.
constexpr double kSpeedMemory = 0.9;
// Load reports between two that tell other zones of speeds: these are most of
// the bytes, and change slowly.
constexpr int kSpeedRounds = 4;
// Answer time that an upstream of mean speed is credited with, so that a few
// answers do not decide.
constexpr double kSpeedPriorMs = 400;
// Bounds on a measured speed, 1 being the mean.
constexpr double kLeastSpeed = 0.1;
// Longer than any call to the store or an upstream takes; the longest is a
// release, for the longest hold of 10 s.
constexpr Duration kRetirement = std::chrono::seconds(15);
// A follower that has been silent for this long gets no more reports.
constexpr Duration kFollowerSilence = std::chrono::seconds(5);
constexpr double kMostSpeed = 2.5;

}  // namespace

void ZoneTeam::ReportCrash(uint64_t fingerprint,
                           const std::string& upstream_life) {
  const CrashReport report{options_.host, options_.inner_address, fingerprint,
                           upstream_life, true};
  if (home().lease->active()) {
    OnCrashReport(report);
  } else {
    transport_->SendDatagram(home().lease->lease().address, report);
  }
}

void ZoneTeam::OnCrashReport(const CrashReport& report) {
  handlers_.on_crash(report.fingerprint, report.upstream);
  if (!report.forward || !home().lease->active()) return;
  CrashReport passed_on = report;
  passed_on.forward = false;
  for (const auto& [address, follower] : followers_) {
    if (address != report.address) transport_->SendDatagram(address, passed_on);
  }
  // The other zones' holders pass it on to their followers.
  const bool from_home = report.host != report.address;
  passed_on.forward = true;
  passed_on.host = passed_on.address;
  for (const auto& [name, zone] : zones_) {
    if (from_home && !zone->home && !zone->lease->lease().address.empty())
      transport_->SendDatagram(zone->lease->lease().address, passed_on);
  }
}

void ZoneTeam::ReportLeaving(const std::string& upstream, int64_t incarnation) {
  if (!view_.NoteLeaving(upstream, incarnation)) return;
  const LeavingReport report{upstream, incarnation,
                             static_cast<uint8_t>(ReportReach::kOtherZones)};
  if (home().lease->active()) {
    PassOn(report);
  } else {
    transport_->SendDatagram(home().lease->lease().address, report);
  }
}

void ZoneTeam::OnLeavingReport(const LeavingReport& report) {
  if (view_.NoteLeaving(report.upstream, report.incarnation) &&
      home().lease->active())
    PassOn(report);
}

void ZoneTeam::PassOn(LeavingReport report) {
  const auto reach = static_cast<ReportReach>(report.reach);
  if (reach == ReportReach::kHost) return;
  report.reach = static_cast<uint8_t>(ReportReach::kHost);
  for (const auto& [address, follower] : followers_)
    transport_->SendDatagram(address, report);
  if (reach != ReportReach::kOtherZones) return;
  report.reach = static_cast<uint8_t>(ReportReach::kZone);
  for (const auto& [name, zone] : zones_) {
    if (!zone->home && !zone->lease->lease().address.empty())
      transport_->SendDatagram(zone->lease->lease().address, report);
  }
}

void ZoneTeam::AddLoad(const std::string& service, int key, Duration busy) {
  new_load_[service][static_cast<uint16_t>(key / kKeysPerCell)] +=
      static_cast<uint32_t>(ToMilliseconds(busy));
}

void ZoneTeam::AddSpeed(const std::string& service, const std::string& upstream,
                        Duration expected, Duration taken) {
  SpeedSample& speed = new_speeds_[service][upstream];
  speed.expected_ms += static_cast<double>(ToMilliseconds(expected));
  speed.taken_ms += static_cast<double>(ToMilliseconds(taken));
}

void ZoneTeam::ApplySpeeds() {
  for (auto& [service, upstreams] : speeds_) {
    std::map<std::string, double> factors;
    for (auto& [upstream, speed] : upstreams) {
      speed.expected_ms *= kSpeedMemory;
      speed.taken_ms *= kSpeedMemory;
      factors[upstream] = std::clamp((speed.expected_ms + kSpeedPriorMs) /
                                         (speed.taken_ms + kSpeedPriorMs),
                                     kLeastSpeed, kMostSpeed);
    }
    for (auto& [name, zone] : zones_) zone->ranges->SetSpeeds(service, factors);
  }
}

void ZoneTeam::OnLoadReport(const LoadReport& report) {
  const size_t count = std::min(report.cells.size(), report.busy_ms.size());
  KeyLoad& load = loads_.try_emplace(report.service, kLoadMemory).first->second;
  constexpr double ms_per_second = 1000;
  for (size_t i = 0; i < count; ++i) {
    if (report.forward) {
      // A host of this zone: counted when the zone's sum is shared.
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

void ZoneTeam::SendLoad(const std::string& address,
                        const SpeedByUpstream& speeds, bool forward) {
  if (address.empty()) return;
  LoadReport like;
  like.host = options_.host;
  like.period_ms = static_cast<uint32_t>(ToMilliseconds(kLoadInterval));
  like.forward = forward;
  for (const auto& [service, cells] : new_load_) {
    like.service = service;
    const auto known = speeds.find(service);
    for (const LoadReport& report : MakeLoadReports(
             like, cells,
             known == speeds.end() ? std::map<std::string, SpeedSample>()
                                   : known->second))
      transport_->SendDatagram(address, report);
  }
}

void ZoneTeam::ShareWithOtherZones() {
  for (const auto& [service, upstreams] : new_speeds_) {
    for (const auto& [upstream, speed] : upstreams) {
      SpeedSample& sum = unshared_speeds_[service][upstream];
      sum.expected_ms += speed.expected_ms;
      sum.taken_ms += speed.taken_ms;
    }
  }
  const bool with_speeds = --rounds_to_share_speeds_ <= 0;
  for (const auto& [name, zone] : zones_) {
    if (zone->home) continue;
    SendLoad(zone->lease->lease().address,
             with_speeds ? unshared_speeds_ : SpeedByUpstream(), false);
  }
  if (!with_speeds) return;
  unshared_speeds_.clear();
  rounds_to_share_speeds_ = kSpeedRounds;
}

void ZoneTeam::ShareLoad() {
  const MonotonicTime now = loop_.timers().now();
  std::erase_if(retired_zones_, [now](const auto& retired) {
    return now - retired.first > kRetirement;
  });
  std::erase_if(followers_, [now](const auto& entry) {
    return now - entry.second.seen_at > kFollowerSilence;
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
    KeyLoad& load = loads_.try_emplace(service, kLoadMemory).first->second;
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
      zone->ranges->SetLoads(service, rates, load.noise());
  }
}

}  // namespace mimosadeal
