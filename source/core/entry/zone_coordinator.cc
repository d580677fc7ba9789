#include "entry/zone_coordinator.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/contended_owners.h"
#include "entry/deployment_view.h"
#include "entry/lease_manager.h"
#include "entry/range_manager.h"
#include "entry/zone_coordinator_state.h"
#include "fleet/propagation.h"
#include "inner/load_reports.h"
#include "inner/move_messages.h"
#include "inner/owner_room_messages.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// The loss of a lease holder is detected after kHomeHolderTimeout. Its
// authority ends at most ZoneLeaseTiming::duration after its last confirmed
// renewal.
constexpr ZoneLeaseTiming kLeaseTiming = {std::chrono::milliseconds(700),
                                          std::chrono::milliseconds(2000),
                                          std::chrono::milliseconds(200), 0.02};
// Traffic between zones is more expensive, and less urgent.
constexpr Duration kOtherZoneHelloInterval = std::chrono::milliseconds(1000);
// Two datagrams lost in a row do not make a holder count as lost.
constexpr Duration kHomeHolderTimeout = std::chrono::milliseconds(900);
// A zone's own hosts acquire its lease within 3.5 s of the loss of its holder.
constexpr Duration kOtherZoneHolderTimeout = std::chrono::seconds(4);
// Spreads the takeovers of hosts of a zone that detect a loss at the same time.
// A call to the store takes 4 ms.
constexpr Duration kTakeoverJitter = std::chrono::milliseconds(500);
// Longer than kTakeoverJitter, over which the attempts of fast hosts are
// spread, and shorter than the time that the lease of a lost holder takes to
// expire.
constexpr Duration kMaxTakeoverDelay = std::chrono::milliseconds(800);
// A page of a list from the store is about 1 MB, and a registry may have
// several pages.
constexpr size_t kMaxUpdateBytes = 8 * 1024 * 1024;
// Limit of unsent data for one follower. The backlogs of dozens of followers
// must fit into the 112 MB of the smallest host.
constexpr size_t kMaxUpdateBacklog = 2 * 1024 * 1024;
// A grant remains valid during the loss of the lease holder: the timeout, the
// expiry of the lease and one renewal.
constexpr Duration kGrantHold = std::chrono::milliseconds(4000);
// Four renewals fit into a hold, so a failed renewal has no effect.
constexpr Duration kGrantRenewInterval = std::chrono::milliseconds(700);
// Longer than a grant takes to arrive in any zone, including a retransmission.
constexpr Duration kGrantMargin = std::chrono::milliseconds(200);
// The platform specifies that an upstream's clock may run 2% slow.
constexpr double kClockGuard = 0.025;
// Two grants without a response. The owner's keys move when their hold has
// expired.
constexpr Duration kOwnerTimeout = std::chrono::milliseconds(1500);
constexpr Duration kBalanceInterval = std::chrono::milliseconds(500);
// Queues grow quickly above a load of 0.6 of the capacity. A difference of less
// than 0.25 is within the variation of the measured load.
constexpr BalanceLimits kBalanceLimits = {0.6, 0.25, 0.05, 0.1, 4, 0.1};

}  // namespace

ZoneCoordinator::ZoneCoordinator(EventLoop& loop, ObjectStore& store,
                                 const DeploymentProtocol& protocol,
                                 DeploymentView& view, PathMonitor& paths,
                                 EventLog& log, ZoneCoordinatorOptions options,
                                 ZoneCoordinatorHandlers handlers)
    : loop_(loop),
      store_(store),
      protocol_(protocol),
      view_(view),
      paths_(paths),
      log_(log),
      options_(std::move(options)),
      handlers_(std::move(handlers)) {
  if (options_.owner_room)
    contended_ = std::make_unique<ContendedOwners>(loop_, log_);
}

ZoneCoordinator::~ZoneCoordinator() {
  loop_.timers().Cancel(timer_);
  loop_.timers().Cancel(feed_timer_);
}

Result<std::unique_ptr<ZoneCoordinator>> ZoneCoordinator::Start(
    EventLoop& loop, ObjectStore& store, const DeploymentProtocol& protocol,
    DeploymentView& view, PathMonitor& paths, EventLog& log,
    ZoneCoordinatorOptions options, ZoneCoordinatorHandlers handlers) {
  std::unique_ptr<ZoneCoordinator> coordinator(
      new ZoneCoordinator(loop, store, protocol, view, paths, log,
                          std::move(options), std::move(handlers)));
  ZoneCoordinator* self = coordinator.get();
  BOOST_OUTCOME_TRY(address, ParseSocketAddress(self->options_.inner_address));
  InnerTransportOptions transport;
  transport.host_id = self->options_.process;
  transport.address = address;
  transport.limits.max_body_bytes = kMaxUpdateBytes;
  transport.limits.max_backlog_bytes = kMaxUpdateBacklog;
  InnerTransportHandlers transport_handlers;
  transport_handlers.on_frame = [self](ConnectionId id, const Frame& frame) {
    self->OnFrame(id, frame);
  };
  transport_handlers.on_datagram = [self](const Frame& frame) {
    self->OnFrame(kNoConnection, frame);
  };
  transport_handlers.on_disconnected = [self](ConnectionId id) {
    self->handlers_.on_disconnected(id);
  };
  transport_handlers.on_long_frame =
      [self](ConnectionId id, const FrameStart& start, std::string_view begun) {
        return self->handlers_.on_long_frame(id, start, begun);
      };
  transport_handlers.on_silent_frame =
      [self](ConnectionId id, const FrameStart& start, std::string_view begun) {
        return self->handlers_.on_silent_frame(id, start, begun);
      };
  BOOST_OUTCOME_TRY(made,
                    InnerTransport::Listen(loop, std::move(transport),
                                           std::move(transport_handlers)));
  self->transport_ = std::move(made);
  self->started_at_ = loop.timers().now();
  self->MakePermitBroker();
  self->AddZone(self->options_.zone, true);
  view.SetUpdateHandler([self](ViewKind kind, const KindUpdate& update) {
    self->OnStoreUpdate(kind, update);
  });
  self->feed_timer_ =
      loop.timers().Every(kHelloInterval, [self] { self->UpdateFeedState(); });
  view.Subscribe([self] { self->OnViewChanged(); });
  self->timer_ = loop.timers().Every(kLoadInterval, [self] {
    self->ShareLoad();
    self->LendRoom();
  });
  return coordinator;
}

ZoneCoordinator::Zone& ZoneCoordinator::home() const {
  return *zones_.at(options_.zone);
}

void ZoneCoordinator::AddZone(const std::string& name, bool is_home) {
  auto zone = std::make_unique<Zone>();
  Zone* self = zone.get();
  self->name = name;
  self->home = is_home;
  LeaseManagerOptions lease;
  lease.zone = name;
  lease.host = options_.host;
  lease.process = options_.process;
  lease.address = options_.inner_address;
  lease.home = is_home;
  lease.timing = kLeaseTiming;
  lease.hello_interval = is_home ? kHelloInterval : kOtherZoneHelloInterval;
  lease.holder_timeout = is_home ? kHomeHolderTimeout : kOtherZoneHolderTimeout;
  lease.takeover_jitter = kTakeoverJitter;
  lease.takeover_delay =
      TakeoverDelay(options_.cpu_share, options_.link_mbps, kMaxTakeoverDelay);
  LeaseManagerHandlers handlers;
  handlers.send_hello = [this](const std::string& address, ZoneHello hello) {
    hello.sent_at_ms = ToMilliseconds(loop_.timers().now().time_since_epoch());
    if (hello.home) {
      hello.revisions = view_.Revisions();
      hello.revisions.resize(std::min(hello.revisions.size(), holder_kinds_));
      hello.resync = resync_;
    }
    transport_->SendDatagram(address, hello);
  };
  handlers.store_reachable = [this] { return view_.store_reachable(); };
  handlers.may_hold = handlers_.may_hold_leases;
  handlers.candidate_count = [this, self] {
    return self->home ? peers_.size() : 0;
  };
  handlers.new_tenure = [this] {
    return options_.process + "." + std::to_string(++last_tenure_);
  };
  handlers.on_written = [this](uint64_t revision, MonotonicTime sent_at) {
    view_.NoteWrite(revision, sent_at);
  };
  handlers.on_gained = [this, self](const LeaseGain& gain) {
    if (self->home) UpdateFeedState();
    if (self->home) AnnounceLease();
    self->ranges->OnLeaseGained(gain);
    if (self->home) AddOtherZones();
    // The first term of a lease has no predecessor.
    if (self->lender != nullptr)
      self->lender->OnLeaseGained(self->lease->lease().term <= 1);
  };
  handlers.on_lost = [this, self] {
    self->ranges->OnLeaseLost();
    if (self->lender != nullptr) self->lender->OnLeaseLost();
    if (self->home) AnnounceLoss();
    if (self->home) DropOtherZones();
  };
  self->lease = std::make_unique<LeaseManager>(loop_, store_, log_, lease,
                                               std::move(handlers));
  RangeManagerOptions ranges;
  ranges.zone = name;
  ranges.hold = std::min(kGrantHold, options_.longest_hold);
  ranges.longest_hold = options_.longest_hold;
  ranges.renew = kGrantRenewInterval;
  ranges.clock_guard = kClockGuard;
  ranges.margin = kGrantMargin;
  ranges.lease_duration = kLeaseTiming.duration;
  ranges.owner_timeout = kOwnerTimeout;
  ranges.balance = kBalanceLimits;
  ranges.balance_interval = kBalanceInterval;
  self->ranges = std::make_unique<RangeManager>(
      loop_, store_, protocol_, view_, paths_, *self->lease, log_, ranges);
  self->ranges->SetLeavingHandler(
      [this](const UpstreamIncarnation& leaving_upstream) {
        ReportLeaving(leaving_upstream.id, leaving_upstream.incarnation);
      });
  self->ranges->SetTableHandler(
      [this](const RangeTable& written) { AnnounceTable(written); });
  if (options_.await_moves) {
    self->ranges->SetMovesHandler(
        [this](const std::string& service, const std::vector<MovingKeys>& keys,
               Duration lifetime) { AnnounceMoves(service, keys, lifetime); });
  }
  if (options_.scarce_room) MakeRoomLender(*self);
  zones_[name] = std::move(zone);
  self->lease->Start();
}

void ZoneCoordinator::AddOtherZones() {
  if (resigned_) return;
  for (const auto& [id, listed] : view_.directory().all()) {
    // Another writer may register upstreams of services that do not exist.
    if (view_.ServiceOf(listed) == nullptr) continue;
    const std::string& name = listed.record.zone;
    if (!zones_.contains(name)) AddZone(name, false);
  }
}

void ZoneCoordinator::DropOtherZones() {
  // Runs later because a LeaseManager may be the caller.
  loop_.Post([this] {
    if (zones_.contains(options_.zone) && home().lease->active()) return;
    for (auto& [name, zone] : zones_) {
      if (zone->home) continue;
      former_holders_[name] = zone->lease->lease().address;
      zone->lease->Resign();
      retired_zones_.emplace_back(loop_.timers().now(), std::move(zone));
    }
    std::erase_if(zones_,
                  [](const auto& entry) { return entry.second == nullptr; });
  });
}

void ZoneCoordinator::OnViewChanged() {
  if (home().lease->active()) AddOtherZones();
  for (auto& [name, zone] : zones_) zone->ranges->OnViewChanged();
}

void ZoneCoordinator::OnFrame(ConnectionId connection, const Frame& frame) {
  switch (frame.type) {
    case MessageType::kRelayProbe:
    case MessageType::kRelayOffer:
    case MessageType::kRelayRequest:
    case MessageType::kRelayReply:
    case MessageType::kRelayCancel:
      handlers_.on_relay_message(connection, frame);
      return;
    default:
      OnZoneMessage(frame);
  }
}

void ZoneCoordinator::OnZoneMessage(const Frame& frame) {
  const auto decode_and_handle = [this, &frame](auto message, auto handler) {
    auto decoded = DecodeBody<decltype(message)>(frame.body);
    if (!decoded.has_value()) {
      log_.LogRequest("datagram.malformed",
                      {{"type", NameOf(kMessageTypeNames, frame.type)},
                       {"reason", decoded.error().message}});
      return;
    }
    (this->*handler)(decoded.value());
  };
  switch (frame.type) {
    case MessageType::kZoneHello:
      decode_and_handle(ZoneHello{}, &ZoneCoordinator::OnHello);
      return;
    case MessageType::kZoneStatus:
      decode_and_handle(ZoneStatus{}, &ZoneCoordinator::OnStatus);
      return;
    case MessageType::kCrashReport:
      decode_and_handle(CrashReport{}, &ZoneCoordinator::OnCrashReport);
      return;
    case MessageType::kTableStepNotice:
      decode_and_handle(TableStepNotice{}, &ZoneCoordinator::OnTableStepNotice);
      return;
    case MessageType::kChangeNotice:
      decode_and_handle(ChangeNotice{}, &ZoneCoordinator::OnChangeNotice);
      return;
    case MessageType::kLeaseNotice:
      decode_and_handle(LeaseNotice{}, &ZoneCoordinator::OnLeaseNotice);
      return;
    case MessageType::kLeavingReport:
      decode_and_handle(LeavingReport{}, &ZoneCoordinator::OnLeavingReport);
      return;
    case MessageType::kLimitReport:
      decode_and_handle(LimitReport{}, &ZoneCoordinator::OnLimitReport);
      return;
    case MessageType::kPermitRequest:
      decode_and_handle(PermitRequest{}, &ZoneCoordinator::OnPermitRequest);
      return;
    case MessageType::kPermitReply:
      decode_and_handle(PermitReply{}, &ZoneCoordinator::OnPermitReply);
      return;
    case MessageType::kColdPermitRequest:
      decode_and_handle(ColdPermitRequest{},
                        &ZoneCoordinator::OnColdPermitRequest);
      return;
    case MessageType::kColdReport:
      decode_and_handle(ColdReport{}, &ZoneCoordinator::OnColdReport);
      return;
    case MessageType::kRoomDemand:
      decode_and_handle(RoomDemand{}, &ZoneCoordinator::OnRoomDemand);
      return;
    case MessageType::kRoomLoan:
      decode_and_handle(RoomLoan{}, &ZoneCoordinator::OnRoomLoan);
      return;
    case MessageType::kOwnerContention:
      decode_and_handle(OwnerContention{}, &ZoneCoordinator::OnOwnerContention);
      return;
    case MessageType::kOwnerPlaceRequest:
      decode_and_handle(OwnerPlaceRequest{},
                        &ZoneCoordinator::OnOwnerPlaceRequest);
      return;
    case MessageType::kOwnerPlaceNotice:
      decode_and_handle(OwnerPlaceNotice{},
                        &ZoneCoordinator::OnOwnerPlaceNotice);
      return;
    case MessageType::kMoveNotice:
      decode_and_handle(MoveNotice{}, &ZoneCoordinator::OnMoveNotice);
      return;
    case MessageType::kLoadReport:
      decode_and_handle(LoadReport{}, &ZoneCoordinator::OnLoadReport);
      return;
    case MessageType::kViewUpdate:
      decode_and_handle(ViewUpdate{}, &ZoneCoordinator::OnViewUpdate);
      return;
    default:
      return;
  }
}

void ZoneCoordinator::AnnounceLease() {
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

void ZoneCoordinator::AnnounceLoss() {
  const LeaseManager& manager = *home().lease;
  const ZoneLease& lease = manager.lease();
  // From then on another host may hold the lease, and a host of the former
  // build takes any status of this process for the end of that host.
  if (!manager.names_this_process() ||
      loop_.timers().now() >= manager.active_until() + kLeaseTiming.margin) {
    return;
  }
  ZoneStatus status;
  status.zone = lease.zone;
  status.process = lease.process;
  status.term = lease.term;
  status.lease_revision = lease.revision;
  for (const auto& addresses : {ZoneHosts(), OtherHolders()}) {
    for (const std::string& address : addresses)
      transport_->SendDatagram(address, status);
  }
}

void ZoneCoordinator::OnLeaseNotice(const LeaseNotice& notice) {
  const auto zone = zones_.find(notice.zone);
  if (zone == zones_.end()) return;
  ZoneLease lease;
  lease.zone = notice.zone;
  lease.revision = notice.revision;
  lease.holder = notice.holder;
  lease.process = notice.process;
  lease.address = notice.address;
  lease.term = notice.term;
  zone->second->lease->OnHolderNotice(lease);
}

bool ZoneCoordinator::HoldsHomeLease() const { return home().lease->active(); }

std::vector<std::string> ZoneCoordinator::ZoneHosts() const {
  std::set<std::string> hosts = peers_;
  for (const auto& [address, follower] : followers_) {
    if (follower.wants_feed) hosts.insert(address);
  }
  hosts.insert(home().lease->lease().address);
  hosts.erase("");
  hosts.erase(options_.inner_address);
  return {hosts.begin(), hosts.end()};
}

std::vector<std::string> ZoneCoordinator::OtherHolders() const {
  std::set<std::string> holders = other_holders_;
  for (const auto& [name, address] : former_holders_) holders.insert(address);
  for (const auto& [name, zone] : zones_) {
    if (!zone->home) holders.insert(zone->lease->lease().address);
  }
  holders.erase("");
  holders.erase(options_.inner_address);
  return {holders.begin(), holders.end()};
}

void ZoneCoordinator::Resign() {
  resigned_ = true;
  for (auto& [name, zone] : zones_) zone->lease->Resign();
}

int ZoneCoordinator::leases_held() const {
  return static_cast<int>(std::count_if(
      zones_.begin(), zones_.end(),
      [](const auto& entry) { return entry.second->lease->active(); }));
}

}  // namespace mimosadeal
