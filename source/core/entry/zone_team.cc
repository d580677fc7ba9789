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
// has ended at most ZoneLeaseTiming::duration after its last renewal; see
// docs/design/platform.md for the table of failures that these lead to.
constexpr ZoneLeaseTiming kLeaseTiming = {std::chrono::milliseconds(700),
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
constexpr Duration kBalanceInterval = std::chrono::milliseconds(500);
// Queues grow quickly above 0.6 of the capacity; a smaller difference than 0.25
// is within what the measured load varies by.
constexpr BalanceLimits kBalanceLimits = {0.6, 0.25, 0.05, 0.1, 4, 0.1};

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
  handlers.on_written = [this](uint64_t revision, MonotonicTime sent_at) {
    view_.NoteWrite(revision, sent_at);
  };
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
  self->ranges->SetLeavingHandler([this](const UpstreamIncarnation& life) {
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
  for (const std::string& address : other_holders_)
    transport_->SendDatagram(address, notice);
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
