#include "entry/zone_team.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/lease_keeper.h"
#include "entry/range_keeper.h"
#include "entry/zone_team_state.h"
#include "inner/load_reports.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// The lease: a holder's loss is noticed after kHomeSilence, and its authority
// has ended at most LeaseTiming::duration after its last renewal; see
// docs/design/platform.md for the table of failures that these lead to.
constexpr LeaseTiming kLeaseTiming = {std::chrono::milliseconds(700),
                                      std::chrono::milliseconds(2000),
                                      std::chrono::milliseconds(200), 0.02};
// Three hellos fit into the silence after which a holder counts as lost.
constexpr Duration kHelloInterval = std::chrono::milliseconds(300);
// Bytes between zones cost more, and nothing there is urgent.
constexpr Duration kForeignHelloInterval = std::chrono::milliseconds(1000);
// Two lost datagrams in a row are no silence.
constexpr Duration kHomeSilence = std::chrono::milliseconds(900);
// A zone's own hosts take its lease within 3.5 s of its holder's loss.
constexpr Duration kForeignSilence = std::chrono::seconds(4);
// Hosts of a zone that notice a loss together; one call to the store takes 4
// ms.
constexpr Duration kAttemptSpread = std::chrono::milliseconds(500);
// Longer than the attempts of fast hosts are spread over, and within the time
// that a lost holder's lease takes to expire.
constexpr Duration kSlowHostDelay = std::chrono::milliseconds(800);
// A list of the store is about 1 MB a page; a registry may take several.
constexpr size_t kMaxUpdateBytes = 8 * 1024 * 1024;
// What one follower may be behind by; dozens of them must fit into the smallest
// host's 112 MB.
constexpr size_t kMaxUpdateBacklog = 2 * 1024 * 1024;
// A grant outlasts the loss of its holder: silence, expiry and one renewal.
constexpr Duration kHold = std::chrono::milliseconds(4000);
// Four renewals within a hold, so that one that fails costs nothing.
constexpr Duration kGrantRenewal = std::chrono::milliseconds(700);
// More than a grant takes to any zone, its retransmission included.
constexpr Duration kGrantMargin = std::chrono::milliseconds(200);
// The platform states that an upstream's clock may run 2% slow.
constexpr double kClockGuard = 0.025;
// Two unanswered grants: its keys move when their hold has lapsed.
constexpr Duration kSilenceToMove = std::chrono::milliseconds(1500);
// Hot keys change within seconds: load is shared and ranges are balanced twice
// a second.
constexpr Duration kLoadInterval = std::chrono::milliseconds(500);
// An owner gets a handful of requests a second, so that 15 s tell its load to
// within an eighth.
constexpr KeyLoadMemory kLoadMemory = {std::chrono::milliseconds(1500),
                                       std::chrono::seconds(15), kLoadInterval};
constexpr Duration kBalanceInterval = std::chrono::milliseconds(500);
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
constexpr double kMostSpeed = 2.5;
// Queues grow quickly above 0.6 of the capacity; a smaller difference than 0.25
// is within what the measured load varies by.
constexpr BalanceLimits kBalanceLimits = {0.6, 0.25, 0.05, 0.1, 4, 0.1};
// Longer than any call to the store or an upstream takes; the longest is a
// release, for the longest hold of 10 s.
constexpr Duration kRetirement = std::chrono::seconds(15);
// A follower that has been silent for this long gets no more reports.
constexpr Duration kFollowerSilence = std::chrono::seconds(5);

}  // namespace

ZoneTeam::ZoneTeam(EventLoop& loop, ObjectStore& store,
                   const DeploymentProtocol& protocol, DeploymentView& view,
                   EventLog& log, ZoneTeamOptions options,
                   ZoneTeamHandlers handlers)
    : loop_(loop),
      store_(store),
      protocol_(protocol),
      view_(view),
      log_(log),
      options_(std::move(options)),
      handlers_(std::move(handlers)) {}

ZoneTeam::~ZoneTeam() {
  loop_.timers().Cancel(timer_);
  loop_.timers().Cancel(feed_timer_);
}

Result<std::unique_ptr<ZoneTeam>> ZoneTeam::Start(
    EventLoop& loop, ObjectStore& store, const DeploymentProtocol& protocol,
    DeploymentView& view, EventLog& log, ZoneTeamOptions options,
    ZoneTeamHandlers handlers) {
  std::unique_ptr<ZoneTeam> team(new ZoneTeam(loop, store, protocol, view, log,
                                              std::move(options),
                                              std::move(handlers)));
  ZoneTeam* self = team.get();
  BOOST_OUTCOME_TRY(address, ParseSocketAddress(self->options_.inner_address));
  InnerTransportOptions transport;
  transport.host_id = self->options_.process;
  transport.address = address;
  transport.limits.max_body_bytes = kMaxUpdateBytes;
  transport.limits.max_backlog_bytes = kMaxUpdateBacklog;
  InnerTransportHandlers transport_handlers;
  transport_handlers.on_frame = [self](ConnectionId, const Frame& frame) {
    self->OnDatagram(frame);
  };
  transport_handlers.on_datagram = [self](const Frame& frame) {
    self->OnDatagram(frame);
  };
  transport_handlers.on_disconnected = [](ConnectionId) {};
  BOOST_OUTCOME_TRY(made,
                    InnerTransport::Listen(loop, std::move(transport),
                                           std::move(transport_handlers)));
  self->transport_ = std::move(made);
  self->started_at_ = loop.timers().now();
  self->AddZone(self->options_.zone, true);
  view.SetUpdateHandler([self](ViewKind kind, const KindUpdate& update) {
    self->OnOwnUpdate(kind, update);
  });
  self->feed_timer_ =
      loop.timers().Every(kHelloInterval, [self] { self->CheckFeed(); });
  view.Subscribe([self] { self->OnViewChanged(); });
  self->timer_ =
      loop.timers().Every(kLoadInterval, [self] { self->ShareLoad(); });
  return team;
}

ZoneTeam::Zone& ZoneTeam::home() const { return *zones_.at(options_.zone); }

void ZoneTeam::AddZone(const std::string& name, bool is_home) {
  auto zone = std::make_unique<Zone>();
  Zone* self = zone.get();
  self->name = name;
  self->home = is_home;
  LeaseKeeperOptions lease;
  lease.zone = name;
  lease.host = options_.host;
  lease.process = options_.process;
  lease.address = options_.inner_address;
  lease.home = is_home;
  lease.timing = kLeaseTiming;
  lease.hello_interval = is_home ? kHelloInterval : kForeignHelloInterval;
  lease.silence = is_home ? kHomeSilence : kForeignSilence;
  lease.attempt_spread = kAttemptSpread;
  lease.attempt_delay =
      TakeoverDelay(options_.cpu_share, options_.link_mbps, kSlowHostDelay);
  LeaseKeeperHandlers handlers;
  handlers.send_hello = [this](const std::string& address, ZoneHello hello) {
    if (hello.home) {
      hello.revisions = view_.Revisions();
      hello.resync = resync_;
      hello.sent_at_ms =
          ToMilliseconds(loop_.timers().now().time_since_epoch());
    }
    transport_->SendDatagram(address, hello);
  };
  handlers.store_reachable = [this] { return view_.store_reachable(); };
  handlers.rivals = [this, self] { return self->home ? peers_.size() : 0; };
  handlers.on_gained = [this, self] {
    if (self->home) CheckFeed();
    if (self->home) AnnounceLease();
    self->ranges->Begin();
    if (self->home) AddForeignZones();
  };
  handlers.on_lost = [this, self] {
    self->ranges->End();
    if (self->home) DropForeignZones();
  };
  self->lease = std::make_unique<LeaseKeeper>(loop_, store_, log_, lease,
                                              std::move(handlers));
  RangeKeeperOptions ranges;
  ranges.zone = name;
  ranges.hold = std::min(kHold, options_.longest_hold);
  ranges.longest_hold = options_.longest_hold;
  ranges.renew = kGrantRenewal;
  ranges.clock_guard = kClockGuard;
  ranges.margin = kGrantMargin;
  ranges.silence_to_move = kSilenceToMove;
  ranges.balance = kBalanceLimits;
  ranges.balance_interval = kBalanceInterval;
  self->ranges = std::make_unique<RangeKeeper>(loop_, store_, protocol_, view_,
                                               *self->lease, log_, ranges);
  self->ranges->SetLeavingHandler([this](const UpstreamLife& life) {
    ReportLeaving(life.id, life.incarnation);
  });
  self->ranges->SetTableHandler(
      [this](const RangeTable& written) { TellOfTable(written); });
  zones_[name] = std::move(zone);
  self->lease->Start();
}

void ZoneTeam::AddForeignZones() {
  if (resigned_) return;
  for (const auto& [id, listed] : view_.directory().all()) {
    const std::string& name = listed.record.zone;
    if (!zones_.contains(name)) AddZone(name, false);
  }
}

void ZoneTeam::DropForeignZones() {
  // Outside of the keepers' own calls.
  loop_.Post([this] {
    if (zones_.contains(options_.zone) && home().lease->active()) return;
    for (auto& [name, zone] : zones_) {
      if (zone->home) continue;
      zone->lease->Resign();
      retired_zones_.emplace_back(loop_.timers().now(), std::move(zone));
    }
    std::erase_if(zones_,
                  [](const auto& entry) { return entry.second == nullptr; });
  });
}

void ZoneTeam::OnViewChanged() {
  if (home().lease->active()) AddForeignZones();
  for (auto& [name, zone] : zones_) zone->ranges->OnViewChanged();
}

void ZoneTeam::OnDatagram(const Frame& frame) {
  const auto take = [this, &frame](auto message, auto handler) {
    auto decoded = DecodeBody<decltype(message)>(frame.body);
    if (!decoded.has_value()) {
      log_.Request("datagram.malformed",
                   {{"type", NameOf(kMessageTypeNames, frame.type)},
                    {"reason", decoded.error().message}});
      return;
    }
    (this->*handler)(decoded.value());
  };
  switch (frame.type) {
    case MessageType::kZoneHello:
      take(ZoneHello{}, &ZoneTeam::OnHello);
      return;
    case MessageType::kZoneStatus:
      take(ZoneStatus{}, &ZoneTeam::OnStatus);
      return;
    case MessageType::kCrashReport:
      take(CrashReport{}, &ZoneTeam::OnCrashReport);
      return;
    case MessageType::kTableStepNotice:
      take(TableStepNotice{}, &ZoneTeam::OnTableStepNotice);
      return;
    case MessageType::kLeaseNotice:
      take(LeaseNotice{}, &ZoneTeam::OnLeaseNotice);
      return;
    case MessageType::kLeavingReport:
      take(LeavingReport{}, &ZoneTeam::OnLeavingReport);
      return;
    case MessageType::kLoadReport:
      take(LoadReport{}, &ZoneTeam::OnLoadReport);
      return;
    case MessageType::kViewUpdate:
      take(ViewUpdate{}, &ZoneTeam::OnViewUpdate);
      return;
    default:
      return;
  }
}

void ZoneTeam::AnnounceLease() {
  const ZoneLease& lease = home().lease->lease();
  const LeaseNotice notice{lease.zone,    lease.revision, lease.holder,
                           lease.process, lease.address,  lease.term};
  for (const std::string& address : peers_) {
    if (address != options_.inner_address)
      transport_->SendDatagram(address, notice);
  }
}

void ZoneTeam::OnLeaseNotice(const LeaseNotice& notice) {
  const auto zone = zones_.find(notice.zone);
  if (zone == zones_.end()) return;
  ZoneLease lease;
  lease.zone = notice.zone;
  lease.revision = notice.revision;
  lease.holder = notice.holder;
  lease.process = notice.process;
  lease.address = notice.address;
  lease.term = notice.term;
  zone->second->lease->OnNotice(lease);
}

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

void ZoneTeam::Resign() {
  resigned_ = true;
  for (auto& [name, zone] : zones_) zone->lease->Resign();
}

int ZoneTeam::leases_held() const {
  return static_cast<int>(std::count_if(
      zones_.begin(), zones_.end(),
      [](const auto& entry) { return entry.second->lease->active(); }));
}

}  // namespace mimosadeal
