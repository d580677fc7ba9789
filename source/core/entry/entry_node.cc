#include "entry/entry_node.h"

#include <malloc.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <utility>

#include "common/event_log.h"
#include "common/ids.h"
#include "common/version.h"
#include "entry/deployment_view.h"
#include "entry/entry_metrics.h"
#include "entry/entry_servers.h"
#include "entry/exchange_relay.h"
#include "entry/owner_room.h"
#include "entry/path_monitor.h"
#include "entry/request_forwarder.h"
#include "entry/room_borrower.h"
#include "entry/settings_reload.h"
#include "entry/upstream_pool.h"
#include "entry/zone_coordinator.h"
#include "fleet/propagation.h"
#include "net/byte_budget.h"
#include "net/event_loop.h"
#include "net/exchange_server.h"
#include "net/fd_watch.h"
#include "net/signal_descriptor.h"
#include "settings/settings.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

constexpr size_t kProcessSuffixLength = 8;
// The store usually responds within 4 ms, and within 250 ms when it is slow.
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
// Connecting to any zone takes 2 ms. The time-out is too short for a
// retransmission, which is intended.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
// A lease is given up only then, because its next holder begins anew. Grants
// outlast this and a takeover.
constexpr Duration kMinOutageToYield = std::chrono::milliseconds(1000);
// Larger buffers are returned to the system as soon as they are free. By
// default the threshold rises with use, up to 32 MB.
constexpr int kMapThresholdBytes = 128 * 1024;
// See UpstreamPoolLimits. Many round trips to any zone.
constexpr Duration kSlowConnect = std::chrono::milliseconds(150);
// See UpstreamPoolLimits. Upstreams keep idle connections for some seconds.
constexpr double kUsableIdleShare = 0.75;
constexpr Duration kAssumedIdleTimeout = std::chrono::seconds(5);
// Hosts use no more of a longer bound: the rest is for delays of their own, and
// moves of keys take half a second.
constexpr Duration kLongestUsedBound = std::chrono::seconds(2);
// How long a stopping host still accepts connections. The platform sends it new
// callers until two readiness probes, 1 s apart, have failed.
constexpr Duration kStopAcceptingAfter = std::chrono::milliseconds(3000);
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);
// The process closes the remaining connections and exits this long before the
// end of the grace period.
constexpr Duration kStopGraceReserve = std::chrono::milliseconds(400);
constexpr Duration kGaugeUpdateInterval = std::chrono::seconds(1);
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

EventLoopOptions LoopOptions(const Settings& settings) {
  EventLoopOptions options;
  options.max_descriptors = static_cast<unsigned>(settings.max_descriptors);
  options.max_header_blocks = static_cast<unsigned>(settings.max_header_blocks);
  return options;
}

}  // namespace

class EntryNode::Impl {
 public:
  Impl(Settings settings, std::string settings_path,
       const DeploymentProtocol& protocol)
      : settings_(std::move(settings)),
        settings_path_(std::move(settings_path)),
        protocol_(protocol),
        process_(settings_.host_id + "." +
                 NewUniqueId().substr(0, kProcessSuffixLength)),
        loop_(LoopOptions(settings_)),
        log_(settings_.host_id, settings_.log_lines_per_second),
        budget_(
            std::make_shared<ByteBudget>(MakeByteBudget(settings_.memory_mb))) {
    mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  }

  Result<void> Start();
  void Run() { loop_.Run(); }

 private:
  void MakeStore(const SocketAddress& address);
  Result<void> MakeCoordinator();
  void MakeForwarder();
  void MakeRelay();
  void MakeRoomBorrower();
  // Whether this host can grant keys, or no other host can either.
  bool MayHoldLeases() const;
  Result<void> Listen();
  void OnViewChanged();
  bool ready() const;
  void OnSignal();
  void Stop();
  void ContinueStop();
  void UpdateGauges();

  Settings settings_;
  std::string settings_path_;
  DeploymentProtocol protocol_;
  DeploymentBounds bounds_;
  std::string process_;
  EventLoop loop_;
  EventLog log_;
  EntryMetrics metrics_;
  std::shared_ptr<ByteBudget> budget_;
  std::unique_ptr<ObjectStore> store_;
  std::unique_ptr<DeploymentView> view_;
  std::unique_ptr<PathMonitor> paths_;
  std::unique_ptr<UpstreamPool> pool_;
  std::unique_ptr<ExchangeRelay> relay_;
  std::unique_ptr<RequestForwarder> forwarder_;
  std::unique_ptr<ZoneCoordinator> coordinator_;
  std::unique_ptr<RoomBorrower> room_;  // Null unless room is scarce.
  std::unique_ptr<ExchangeServer> callers_;
  std::unique_ptr<ExchangeServer> readiness_;
  std::unique_ptr<ExchangeServer> operators_;
  std::unique_ptr<FdWatch> signals_;
  bool stopping_ = false;
  bool was_ready_ = false;
  MonotonicTime stop_started_at_ = kNever;
};

Result<void> EntryNode::Impl::Start() {
  BOOST_OUTCOME_TRY(store_address,
                    ParseSocketAddress(settings_.platform_address));
  BOOST_OUTCOME_TRY(bounds, protocol_.read_bounds(settings_.platform_bounds));
  bounds_ = bounds;
  log_.LogStateChange("process.start", {{"version", kVersion},
                                        {"process", process_},
                                        {"zone", settings_.zone},
                                        {"store", settings_.platform_address}});
  signals_ = std::make_unique<FdWatch>(
      loop_, OpenSignalDescriptor({SIGTERM, SIGINT, SIGHUP}),
      FdWatch::Callbacks{[this] { OnSignal(); }, nullptr});
  MakeStore(store_address);
  MakeForwarder();
  BOOST_OUTCOME_TRY(MakeCoordinator());
  if (bounds_.scarce_room) MakeRoomBorrower();
  ConnectOwnerRoom(*forwarder_, *coordinator_);
  BOOST_OUTCOME_TRY(Listen());
  view_->Subscribe([this] { OnViewChanged(); });
  view_->Start();
  loop_.timers().Every(kGaugeUpdateInterval, [this] { UpdateGauges(); });
  return outcome::success();
}

void EntryNode::Impl::MakeStore(const SocketAddress& address) {
  store_ = std::make_unique<ObjectStore>(loop_, address, protocol_.store,
                                         kStoreTimeout);
  view_ = std::make_unique<DeploymentView>(loop_, *store_, protocol_, log_);
  view_->SetAddressRoutes(settings_.routes);
  view_->SetBounds(bounds_.drain, bounds_.configuration_apply);
  if (bounds_.evacuation.has_value())
    view_->EnableEvacuations(*bounds_.evacuation);
  view_->SetColdBound({bounds_.cold_ratio, bounds_.cold_allowance});
  view_->ObservePropagation([this](PropagationPart part, Duration time) {
    metrics_.ObservePropagation(part, time);
  });
  paths_ = std::make_unique<PathMonitor>(loop_, *view_, log_);
}

void EntryNode::Impl::MakeForwarder() {
  UpstreamPoolLimits limits;
  limits.text = {64 * 1024, static_cast<size_t>(settings_.max_response_bytes)};
  limits.budget = budget_;
  limits.max_connections = UpstreamConnectionLimit(settings_);
  limits.connect_timeout = kConnectTimeout;
  limits.slow_connect = kSlowConnect;
  limits.usable_idle_share = kUsableIdleShare;
  limits.assumed_idle_timeout = kAssumedIdleTimeout;
  pool_ = std::make_unique<UpstreamPool>(loop_, *paths_, limits);
  MakeRelay();
  RequestForwarderOptions options;
  options.host = settings_.host_id;
  options.zone = settings_.zone;
  options.retry_policy = MakeRetryBudgetPolicy(bounds_);
  options.hedge_share = settings_.hedge_share;
  options.drain = std::min(bounds_.drain, kLongestUsedBound);
  options.configuration_apply = bounds_.configuration_apply;
  options.longest_confirmation_age = LongestConfirmationAge(
      MakePropagationTiming(bounds_.drain, Duration::zero()));
  RequestForwarderHandlers handlers;
  handlers.respond = [this](ExchangeId id, HttpResponse&& response) {
    callers_->Respond(id, std::move(response));
  };
  handlers.on_crash = [this](uint64_t fingerprint,
                             const std::string& upstream_incarnation) {
    coordinator_->ReportCrash(fingerprint, upstream_incarnation);
  };
  handlers.on_leaving = [this](const std::string& upstream,
                               int64_t incarnation) {
    coordinator_->ReportLeaving(upstream, incarnation);
  };
  handlers.on_limit = [this](const std::string& upstream, int64_t incarnation,
                             const UpstreamLimit& stated) {
    coordinator_->ReportLimit(upstream, incarnation, stated);
  };
  handlers.on_refused = [this](const std::string& upstream) {
    coordinator_->ReportRefused(upstream);
  };
  handlers.ask_for_permit = [this](const ListedUpstream& upstream, int rank,
                                   Duration wait,
                                   PermitBroker::Callback callback) {
    coordinator_->AskForPermit(upstream, rank, wait, std::move(callback));
  };
  handlers.on_load = [this](const std::string& service, int key,
                            Duration slot_time) {
    coordinator_->AddLoad(service, key, slot_time);
  };
  handlers.on_service_time = [this](const std::string& service,
                                    const std::string& upstream,
                                    Duration expected, Duration taken) {
    coordinator_->AddSpeed(service, upstream, expected, taken);
  };
  forwarder_ = std::make_unique<RequestForwarder>(
      loop_, protocol_, *view_, *pool_, *paths_, *relay_, metrics_, log_,
      std::move(options), std::move(handlers));
}

void EntryNode::Impl::MakeRelay() {
  ExchangeRelayHandlers handlers;
  handlers.zone_hosts = [this] { return coordinator_->ZoneHosts(); };
  handlers.other_holders = [this] { return coordinator_->OtherHolders(); };
  handlers.holds_lease = [this] { return coordinator_->HoldsHomeLease(); };
  handlers.usable_until = [this](const ListedUpstream& upstream) {
    return forwarder_->UsableUntil(upstream);
  };
  handlers.on_closed_by_upstream = [this](uint64_t fingerprint,
                                          const UpstreamRecord& upstream) {
    forwarder_->CheckForCrash(fingerprint, upstream);
  };
  handlers.on_helper = [this] { forwarder_->OnHelper(); };
  relay_ = std::make_unique<ExchangeRelay>(
      loop_, protocol_, *view_, *pool_, *paths_, metrics_, log_,
      ExchangeRelayOptions{settings_.zone, settings_.inner_address, budget_},
      std::move(handlers));
  paths_->SetListener([this] {
    relay_->OnPathsChanged();
    forwarder_->OnHelper();
  });
}

Result<void> EntryNode::Impl::MakeCoordinator() {
  ZoneCoordinatorOptions options;
  options.host = settings_.host_id;
  options.process = process_;
  options.zone = settings_.zone;
  options.inner_address = settings_.inner_address;
  options.longest_hold = bounds_.longest_hold;
  options.cpu_share = settings_.cpu_share;
  options.link_mbps = settings_.link_mbps;
  options.scarce_room = bounds_.scarce_room;
  options.owner_room = settings_.owner_room;
  options.await_moves = settings_.await_moves;
  ZoneCoordinatorHandlers handlers;
  handlers.on_crash = [this](uint64_t fingerprint,
                             const std::string& upstream_incarnation) {
    forwarder_->NoteCrash(fingerprint, upstream_incarnation);
  };
  handlers.on_relay_message = [this](auto&&... frame) {
    relay_->OnMessage(frame...);
  };
  handlers.on_long_frame = [this](auto&&... frame) {
    return relay_->OnLongFrame(frame...);
  };
  handlers.on_silent_frame = [this](auto&&... frame) {
    return relay_->OnSilentFrame(frame...);
  };
  handlers.on_room_loan = [this](const RoomLoan& loan) {
    if (room_ != nullptr) room_->OnLoan(loan);
  };
  handlers.on_move_notice = [this](const MoveNotice& notice) {
    forwarder_->OnMoveNotice(notice);
  };
  handlers.may_hold_leases = [this] { return MayHoldLeases(); };
  handlers.on_disconnected = [this](ConnectionId connection) {
    relay_->OnDisconnected(connection);
  };
  BOOST_OUTCOME_TRY(
      coordinator,
      ZoneCoordinator::Start(loop_, *store_, protocol_, *view_, *paths_, log_,
                             std::move(options), std::move(handlers)));
  coordinator_ = std::move(coordinator);
  relay_->SetTransport(coordinator_->transport());
  return outcome::success();
}

void EntryNode::Impl::MakeRoomBorrower() {
  RoomBorrowerHandlers handlers;
  handlers.send_demand = [this](const RoomDemand& demand) {
    coordinator_->ReportRoomDemand(demand);
  };
  handlers.on_loans_changed = [this](const std::string& service) {
    forwarder_->OnRoomChanged(service);
  };
  room_ = std::make_unique<RoomBorrower>(
      loop_, *view_, *pool_, log_,
      RoomBorrowerOptions{settings_.host_id, process_, settings_.zone,
                          settings_.inner_address},
      std::move(handlers));
  forwarder_->SetRoom(*room_);
}

bool EntryNode::Impl::MayHoldLeases() const {
  if (view_->routes() == nullptr) return true;
  const auto& services = view_->routes()->services;
  return std::none_of(
      services.begin(), services.end(), [this](const auto& entry) {
        return entry.second.keyed &&
               paths_->OutageOf(entry.first) >= kMinOutageToYield &&
               relay_->HadHelper(entry.first);
      });
}

Result<void> EntryNode::Impl::Listen() {
  BOOST_OUTCOME_TRY(callers_address,
                    ParseSocketAddress(settings_.callers_address));
  BOOST_OUTCOME_TRY(readiness_address,
                    ParseSocketAddress(settings_.readiness_address));
  BOOST_OUTCOME_TRY(operators_address,
                    ParseSocketAddress(settings_.operators_address));
  HttpServerHandlers handlers;
  handlers.on_request = [this](ExchangeId id, HttpRequest&& request) {
    forwarder_->OnRequest(id, std::move(request));
  };
  handlers.on_abandoned = [this](ExchangeId id) {
    forwarder_->OnAbandoned(id);
  };
  handlers.make_refusal = [this](int status, const std::string& detail) {
    return MakeServerRefusal(protocol_, status, detail);
  };
  BOOST_OUTCOME_TRY(callers, ExchangeServer::Listen(
                                 loop_, callers_address,
                                 CallerLimits(settings_, view_->routes().get()),
                                 std::move(handlers)));
  callers_ = std::move(callers);
  callers_->ShareBudget(budget_, [this](const PressureEvent& event) {
    NotePressure(event, metrics_, log_);
  });
  BOOST_OUTCOME_TRY(
      readiness,
      ExchangeServer::Listen(
          loop_, readiness_address,
          ProbeLimits(settings_, view_->routes().get()),
          ProbeHandlers([this](ExchangeId id, const HttpRequest& request) {
            const int status = !protocol_.is_readiness_probe(request)
                                   ? kNotFound
                                   : (ready() ? kOk : kUnavailable);
            readiness_->Respond(id, PlainResponse(status, ""));
          })));
  readiness_ = std::move(readiness);
  BOOST_OUTCOME_TRY(
      operators,
      ExchangeServer::Listen(
          loop_, operators_address,
          ProbeLimits(settings_, view_->routes().get()),
          ProbeHandlers([this](ExchangeId id, const HttpRequest& request) {
            UpdateGauges();
            operators_->Respond(id,
                                OperatorsResponse(request, metrics_, *view_));
          })));
  operators_ = std::move(operators);
  return outcome::success();
}

bool EntryNode::Impl::ready() const {
  if (stopping_ || view_->routes() == nullptr || !view_->registry_synced() ||
      !view_->evacuations_synced()) {
    return false;
  }
  // Without the range tables a host can serve unkeyed services only, so it is
  // not ready until the tables were read once.
  return view_->tables_synced();
}

void EntryNode::Impl::OnViewChanged() {
  callers_->SetLimits(CallerLimits(settings_, view_->routes().get()));
  if (ready() != was_ready_) {
    was_ready_ = ready();
    log_.LogStateChange("process.ready", {{"ready", was_ready_}});
  }
  const UpstreamDirectory& directory = view_->directory();
  pool_->Retain([&directory](const std::string& id, int64_t incarnation) {
    const ListedUpstream* listed = directory.Find(id);
    return listed != nullptr && listed->record.incarnation == incarnation;
  });
  forwarder_->OnViewChanged();
}

void EntryNode::Impl::OnSignal() {
  signalfd_siginfo info{};
  while (read(signals_->fd(), &info, sizeof(info)) == sizeof(info)) {
    if (info.ssi_signo == SIGHUP) {
      CheckSettingsFile(settings_path_, protocol_, log_);
    } else if (!stopping_) {
      Stop();
    }
  }
}

void EntryNode::Impl::Stop() {
  stopping_ = true;
  stop_started_at_ = loop_.timers().now();
  log_.LogStateChange(
      "process.stopping",
      {{"open_requests", static_cast<uint64_t>(forwarder_->pending())},
       {"connections", static_cast<uint64_t>(callers_->connection_count())}});
  forwarder_->BeginStop(
      stop_started_at_ + kStopAcceptingAfter,
      stop_started_at_ + bounds_.stop_grace - kStopGraceReserve);
  coordinator_->Resign();
  relay_->StopHelping();
  callers_->StopKeepAlive();
  loop_.timers().Every(kStopCheckInterval, [this] { ContinueStop(); });
}

void EntryNode::Impl::ContinueStop() {
  const Duration elapsed = loop_.timers().now() - stop_started_at_;
  if (elapsed < kStopAcceptingAfter) return;
  // A request that arrives later could not be finished within the grace period.
  callers_->StopAccepting();
  callers_->CloseIdle();
  const bool done = callers_->open_exchanges() == 0 &&
                    callers_->connection_count() == 0 && relay_->helped() == 0;
  if (!done && elapsed < bounds_.stop_grace - kStopGraceReserve) return;
  log_.LogStateChange(
      "process.stop",
      {{"open_requests", static_cast<uint64_t>(forwarder_->pending())},
       {"took_ms", elapsed}});
  loop_.Stop();
}

void EntryNode::Impl::UpdateGauges() {
  const StoreCounts& counts = store_->counts();
  const uint64_t version =
      view_->routes() == nullptr ? 0 : view_->routes()->version;
  const std::initializer_list<std::pair<EntryGauge, uint64_t>> values = {
      {EntryGauge::kConfigurationVersion, version},
      {EntryGauge::kOpenRequests, forwarder_->pending()},
      {EntryGauge::kCallerConnections, callers_->connection_count()},
      {EntryGauge::kUpstreamConnections, pool_->connections_opened()},
      {EntryGauge::kStoreReads, counts.reads},
      {EntryGauge::kStoreWatches, counts.watches},
      {EntryGauge::kStoreWrites, counts.writes},
      {EntryGauge::kStoreFailures, counts.failures},
      {EntryGauge::kZoneLeasesHeld,
       static_cast<uint64_t>(coordinator_->leases_held())},
      {EntryGauge::kReady, ready() ? 1U : 0U},
      {EntryGauge::kServicesCutOff, paths_->cut_off_services()},
      {EntryGauge::kZonesEvacuated, view_->evacuated_zones()},
      {EntryGauge::kColdUpstreams, view_->cold_upstreams()},
      {EntryGauge::kUnreadableRegistrations, view_->unreadable_registrations()},
      {EntryGauge::kUnreadableObjects, view_->unreadable_objects()},
      {EntryGauge::kLogLinesDropped, log_.dropped()},
  };
  for (const auto& [gauge, value] : values)
    metrics_.Set(gauge, static_cast<double>(value));
  metrics_.Set(EntryGauge::kHedgePercent, forwarder_->HedgePercent());
}

EntryNode::EntryNode(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

EntryNode::~EntryNode() = default;

Result<std::unique_ptr<EntryNode>> EntryNode::Start(
    Settings settings, std::string settings_path,
    const DeploymentProtocol& protocol) {
  auto impl = std::make_unique<Impl>(std::move(settings),
                                     std::move(settings_path), protocol);
  BOOST_OUTCOME_TRY(impl->Start());
  return std::unique_ptr<EntryNode>(new EntryNode(std::move(impl)));
}

void EntryNode::Run() { impl_->Run(); }

}  // namespace mimosadeal
