#include "server/node.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <utility>
#include <vector>

#include "common/ids.h"
#include "common/log.h"
#include "common/version.h"
#include "net/event_loop.h"
#include "net/fd_watch.h"
#include "net/signal_descriptor.h"
#include "server/callers_api.h"
#include "server/configuration_manager.h"
#include "server/dispatcher.h"
#include "server/group_role.h"
#include "server/metrics.h"
#include "server/operators_api.h"
#include "server/router.h"

namespace mimosadeal {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
// Hosts that are neither controller nor standby read the platform's host list
// this many times less often. They need it only for the hosts of other zones.
constexpr int kFollowerPollFactor = 10;
// Space in a frame for the headers of a message, in addition to its body.
constexpr size_t kFrameOverheadBytes = 64 * 1024;
constexpr size_t kIncarnationIdLength = 8;
// Time to write the last responses to callers' connections before the event
// loop stops.
constexpr Duration kResponseFlushTime = std::chrono::milliseconds(100);

EventLoopOptions LoopOptions(const Settings& settings) {
  EventLoopOptions options;
  options.max_descriptors = static_cast<unsigned>(settings.max_descriptors);
  options.max_header_blocks = static_cast<unsigned>(settings.max_header_blocks);
  return options;
}

}  // namespace

class Node::Impl {
 public:
  explicit Impl(Settings settings)
      : settings_(std::move(settings)),
        process_(settings_.host_id + "." +
                 NewUniqueId().substr(0, kIncarnationIdLength)),
        loop_(LoopOptions(settings_)),
        metrics_(static_cast<size_t>(settings_.metric_tenants)) {}

  Result<void> Start();
  void Run() { loop_.Run(); }

 private:
  void CreateComponents();
  void OnFrame(ConnectionId connection, const Frame& frame);
  void OnDatagram(const Frame& frame);
  void OnDisconnected(ConnectionId connection);
  void OnTable(const OwnershipTable& table);
  void OnConfiguration();
  void PollPlatform();
  void Tick();
  void OnStopSignal();
  void ContinueStop();

  // Decodes the body and passes it to `handler`. A malformed body is logged and
  // closes the connection.
  template <typename Message, typename Handler>
  void DecodeAndHandle(ConnectionId connection, const Frame& frame,
                       Handler handler);

  Settings settings_;
  std::string process_;
  EventLoop loop_;
  Metrics metrics_;
  std::vector<PlatformHost> platform_hosts_;
  bool has_control_role_ = false;
  bool leaving_ = false;
  bool stopping_ = false;
  MonotonicTime stop_deadline_ = kForever;
  MonotonicTime next_poll_ = kNever;
  bool polling_ = false;
  std::unique_ptr<InnerTransport> transport_;
  std::unique_ptr<PlatformClient> platform_;
  std::unique_ptr<ConfigurationManager> configuration_;
  std::unique_ptr<GroupRole> group_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<Router> router_;
  std::unique_ptr<CallersApi> callers_;
  std::unique_ptr<OperatorsApi> operators_;
  std::unique_ptr<FdWatch> signals_;
};

Result<void> Node::Impl::Start() {
  BOOST_OUTCOME_TRY(inner_address, ParseSocketAddress(settings_.inner_address));
  BOOST_OUTCOME_TRY(platform_address,
                    ParseSocketAddress(settings_.platform_address));
  InnerTransportOptions options;
  options.host_id = process_;
  options.address = inner_address;
  options.limits.max_body_bytes =
      static_cast<size_t>(
          std::max(settings_.max_body_bytes, settings_.max_response_bytes)) +
      kFrameOverheadBytes;
  options.limits.max_backlog_bytes =
      static_cast<size_t>(settings_.max_peer_backlog_bytes);
  options.routes = settings_.routes;
  InnerTransportHandlers handlers;
  handlers.on_frame = [this](ConnectionId connection, const Frame& frame) {
    OnFrame(connection, frame);
  };
  handlers.on_datagram = [this](const Frame& frame) { OnDatagram(frame); };
  handlers.on_disconnected = [this](ConnectionId connection) {
    OnDisconnected(connection);
  };
  BOOST_OUTCOME_TRY(
      made_transport,
      InnerTransport::Listen(loop_, std::move(options), std::move(handlers)));
  transport_ = std::move(made_transport);
  platform_ = std::make_unique<PlatformClient>(
      loop_,
      PlatformClientOptions{platform_address, settings_.platform_timeout,
                            static_cast<int>(settings_.platform_connections)});
  CreateComponents();
  BOOST_OUTCOME_TRY(made_callers,
                    CallersApi::Listen({loop_, settings_, *configuration_,
                                        *router_, metrics_}));
  callers_ = std::move(made_callers);
  const StatusSources sources{settings_,  process_,     *configuration_,
                              *group_,    *dispatcher_, *transport_,
                              *platform_, leaving_};
  BOOST_OUTCOME_TRY(
      made_operators,
      OperatorsApi::Listen({loop_, sources, *configuration_, metrics_}));
  operators_ = std::move(made_operators);
  signals_ = std::make_unique<FdWatch>(
      loop_, OpenSignalDescriptor({SIGTERM, SIGINT}),
      FdWatch::Callbacks{[this] { OnStopSignal(); }, nullptr});
  loop_.timers().Every(kTickInterval, [this] { Tick(); });
  configuration_->Refresh();
  Log(LogPart::kServer)
      .info("Started mimosadeal {} as {} in zone {}.", kVersion, process_,
            settings_.zone);
  return outcome::success();
}

void Node::Impl::CreateComponents() {
  configuration_ = std::make_unique<ConfigurationManager>(
      loop_, *platform_, [this] { OnConfiguration(); });
  ControllerRole::Environment environment{
      loop_,           *transport_,     *platform_, settings_,
      *configuration_, platform_hosts_, process_,   settings_.inner_address};
  GroupRole::Callbacks callbacks;
  callbacks.on_table = [this](const OwnershipTable& table) { OnTable(table); };
  callbacks.reports = [this] { return dispatcher_->Reports(); };
  callbacks.on_peer_configuration = [this](const std::string& encoded) {
    configuration_->OnPeerConfiguration(encoded);
  };
  callbacks.on_control_role_change = [this](bool has_control_role) {
    has_control_role_ = has_control_role;
    configuration_->SetWatching(has_control_role);
  };
  group_ =
      std::make_unique<GroupRole>(std::move(environment), std::move(callbacks));
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Environment{
      loop_, *transport_, metrics_, settings_, group_->member(), process_});
  dispatcher_->set_on_change([this] { group_->ScheduleLeaseRequest(); });
  router_ = std::make_unique<Router>(Router::Environment{
      loop_, *transport_, *dispatcher_, settings_, process_});
}

void Node::Impl::OnTable(const OwnershipTable& table) {
  dispatcher_->OnTable(table);
  router_->OnTable(table);
}

void Node::Impl::OnConfiguration() {
  dispatcher_->OnConfiguration(configuration_->configuration());
  router_->OnConfiguration(configuration_->configuration());
}

void Node::Impl::PollPlatform() {
  polling_ = true;
  platform_->ListHosts([this](Result<std::vector<PlatformHost>> hosts) {
    polling_ = false;
    const int factor =
        has_control_role_ || !hosts.has_value() ? 1 : kFollowerPollFactor;
    next_poll_ = loop_.timers().now() + settings_.platform_poll * factor;
    if (!hosts.has_value()) return;
    platform_hosts_ = std::move(hosts.value());
    router_->OnPlatformHosts(platform_hosts_);
    group_->OnPlatformHosts();
  });
}

void Node::Impl::Tick() {
  if (!polling_ && loop_.timers().now() >= next_poll_) PollPlatform();
  dispatcher_->Tick();
  group_->Tick();
  router_->Tick();
  if (leaving_) ContinueStop();
}

void Node::Impl::OnStopSignal() {
  signalfd_siginfo info{};
  if (read(signals_->fd(), &info, sizeof(info)) !=
          static_cast<ssize_t>(sizeof(info)) ||
      leaving_)
    return;
  Log(LogPart::kServer).info("Planned stop started.");
  leaving_ = true;
  stop_deadline_ = loop_.timers().now() + settings_.drain_timeout;
  callers_->StopKeepAlive();
  group_->Leave();
}

// During a planned stop this host reports that it is not ready, its upstreams
// move to other hosts, and its open requests finish here.
void Node::Impl::ContinueStop() {
  if (stopping_) return;
  const MonotonicTime now = loop_.timers().now();
  const bool idle = callers_->open_requests() == 0 &&
                    router_->open_requests() == 0 &&
                    dispatcher_->open_requests() == 0;
  const bool done = group_->HasLeft() && idle;
  if (!done && now < stop_deadline_) return;
  stopping_ = true;
  group_->HandOver();
  Log(LogPart::kServer)
      .info("Planned stop finished: {}.",
            done ? "all work is complete" : "the drain timeout expired");
  loop_.timers().After(kResponseFlushTime, [this] { loop_.Stop(); });
}

template <typename Message, typename Handler>
void Node::Impl::DecodeAndHandle(ConnectionId connection, const Frame& frame,
                                 Handler handler) {
  auto message = DecodeBody<Message>(frame.body);
  if (message.has_value()) {
    handler(std::move(message.value()));
    return;
  }
  Log(LogPart::kInner)
      .warn("Dropped a malformed {} message: {}.",
            NameOf(kMessageTypeNames, frame.type), message.error().message);
  if (connection != kNoConnection) transport_->Disconnect(connection);
}

void Node::Impl::OnFrame(ConnectionId connection, const Frame& frame) {
  const ConnectionId id = connection;
  switch (frame.type) {
    case MessageType::kHello:
      DecodeAndHandle<Hello>(id, frame, [](const Hello&) {});
      return;
    case MessageType::kTableRequest:
      DecodeAndHandle<TableRequest>(id, frame,
                                    [&](const TableRequest& message) {
                                      group_->OnTableRequest(id, message);
                                    });
      return;
    case MessageType::kTableReply:
      DecodeAndHandle<TableReply>(id, frame, [&](const TableReply& message) {
        group_->OnTableReply(message);
      });
      return;
    case MessageType::kConfigurationRequest:
      DecodeAndHandle<ConfigurationRequest>(
          id, frame, [&](const ConfigurationRequest& message) {
            group_->OnConfigurationRequest(id, message);
          });
      return;
    case MessageType::kConfigurationReply:
      DecodeAndHandle<ConfigurationReply>(
          id, frame, [&](const ConfigurationReply& message) {
            group_->OnConfigurationReply(message);
          });
      return;
    case MessageType::kDispatchRequest:
      DecodeAndHandle<DispatchRequest>(
          id, frame, [&](DispatchRequest&& message) {
            router_->OnPeerRequest(id, std::move(message));
          });
      return;
    case MessageType::kDispatchReply:
      DecodeAndHandle<DispatchReply>(id, frame, [&](DispatchReply&& message) {
        router_->OnReply(id, std::move(message));
      });
      return;
    case MessageType::kDispatchCancel:
      DecodeAndHandle<DispatchCancel>(id, frame,
                                      [&](const DispatchCancel& message) {
                                        router_->OnPeerCancel(id, message);
                                      });
      return;
    case MessageType::kLedgerUpdate:
      DecodeAndHandle<LedgerUpdate>(id, frame,
                                    [&](const LedgerUpdate& message) {
                                      dispatcher_->OnLedgerUpdate(id, message);
                                    });
      return;
    case MessageType::kLedgerAck:
      DecodeAndHandle<LedgerAck>(id, frame, [&](const LedgerAck& message) {
        dispatcher_->OnLedgerAck(message);
      });
      return;
    case MessageType::kLedgerFetch:
      DecodeAndHandle<LedgerFetch>(id, frame, [&](const LedgerFetch& message) {
        dispatcher_->OnLedgerFetch(id, message);
      });
      return;
    case MessageType::kLedgerEntries:
      DecodeAndHandle<LedgerEntries>(id, frame,
                                     [&](const LedgerEntries& message) {
                                       dispatcher_->OnLedgerEntries(message);
                                     });
      return;
    case MessageType::kLeaseRequest:
    case MessageType::kLeaseReply:
    case MessageType::kControllerNotice:
      OnDatagram(frame);
      return;
    case MessageType::kZoneHello:
    case MessageType::kZoneStatus:
    case MessageType::kCrashReport:
    case MessageType::kLoadReport:
    case MessageType::kViewUpdate:
    case MessageType::kLeavingReport:
    case MessageType::kLeaseNotice:
    case MessageType::kChangeNotice:
    case MessageType::kTableStepNotice:
    case MessageType::kLimitReport:
    case MessageType::kPermitRequest:
    case MessageType::kPermitReply:
    case MessageType::kRelayProbe:
    case MessageType::kRelayOffer:
    case MessageType::kRelayRequest:
    case MessageType::kRelayReply:
    case MessageType::kRelayCancel:
    case MessageType::kColdReport:
    case MessageType::kColdPermitRequest:
    case MessageType::kRoomDemand:
    case MessageType::kRoomLoan:
    case MessageType::kOwnerContention:
    case MessageType::kOwnerPlaceRequest:
    case MessageType::kOwnerPlaceNotice:
    case MessageType::kMoveNotice:
      // Only hosts that run EntryNode send these. Node ignores them.
      return;
  }
}

void Node::Impl::OnDatagram(const Frame& frame) {
  switch (frame.type) {
    case MessageType::kLeaseRequest:
      DecodeAndHandle<LeaseRequest>(kNoConnection, frame,
                                    [&](const LeaseRequest& message) {
                                      group_->OnLeaseRequest(message);
                                    });
      return;
    case MessageType::kLeaseReply:
      DecodeAndHandle<LeaseReply>(
          kNoConnection, frame,
          [&](const LeaseReply& message) { group_->OnLeaseReply(message); });
      return;
    case MessageType::kControllerNotice:
      DecodeAndHandle<ControllerNotice>(kNoConnection, frame,
                                        [&](const ControllerNotice& message) {
                                          group_->OnControllerNotice(message);
                                        });
      return;
    default:
      return;  // All other messages are sent over TCP.
  }
}

void Node::Impl::OnDisconnected(ConnectionId connection) {
  router_->OnDisconnected(connection);
  dispatcher_->OnDisconnected(connection);
}

Node::Node(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::Start(Settings settings) {
  auto impl = std::make_unique<Impl>(std::move(settings));
  BOOST_OUTCOME_TRY(impl->Start());
  return std::unique_ptr<Node>(new Node(std::move(impl)));
}

void Node::Run() { impl_->Run(); }

}  // namespace mimosadeal
