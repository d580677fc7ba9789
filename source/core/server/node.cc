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
#include "server/configuration_keeper.h"
#include "server/dispatcher.h"
#include "server/group_role.h"
#include "server/metrics.h"
#include "server/operators_api.h"
#include "server/router.h"

namespace mimosadeal {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
// Hosts that are neither controller nor standby need the platform's list for
// other zones only.
constexpr int kFollowerPollFactor = 10;
// Room for the headers of a message besides its body.
constexpr size_t kFrameSlackBytes = 64 * 1024;
constexpr size_t kIncarnationDigits = 8;
// Time for callers' connections to take their last answers.
constexpr Duration kLastAnswers = std::chrono::milliseconds(100);

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
                 NewUniqueId().substr(0, kIncarnationDigits)),
        loop_(LoopOptions(settings_)),
        metrics_(static_cast<size_t>(settings_.metric_tenants)) {}

  Result<void> Start();
  void Run() { loop_.Run(); }

 private:
  void MakeParts();
  void OnFrame(ConnectionId connection, const Frame& frame);
  void OnDatagram(const Frame& frame);
  void OnDisconnected(ConnectionId connection);
  void OnTable(const OwnershipTable& table);
  void OnConfiguration();
  void PollPlatform();
  void Tick();
  void OnStopSignal();
  void ContinueStop();

  // Decodes the body and gives it to `handler`; a malformed one closes the
  // connection.
  template <typename Message, typename Handler>
  void Take(ConnectionId connection, const Frame& frame, Handler handler);

  Settings settings_;
  std::string process_;
  EventLoop loop_;
  Metrics metrics_;
  std::vector<PlatformHost> platform_hosts_;
  bool in_charge_ = false;
  bool leaving_ = false;
  bool stopping_ = false;
  MonotonicTime stop_deadline_ = kForever;
  MonotonicTime next_poll_ = kNever;
  bool polling_ = false;
  std::unique_ptr<InnerTransport> transport_;
  std::unique_ptr<PlatformClient> platform_;
  std::unique_ptr<ConfigurationKeeper> configuration_;
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
      kFrameSlackBytes;
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
  MakeParts();
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
      .info("mimosadeal {} runs as {} in zone {}.", kVersion, process_,
            settings_.zone);
  return outcome::success();
}

void Node::Impl::MakeParts() {
  configuration_ = std::make_unique<ConfigurationKeeper>(
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
  callbacks.on_in_charge = [this](bool in_charge) {
    in_charge_ = in_charge;
    configuration_->SetWatching(in_charge);
  };
  group_ =
      std::make_unique<GroupRole>(std::move(environment), std::move(callbacks));
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Environment{
      loop_, *transport_, metrics_, settings_, group_->member(), process_});
  dispatcher_->set_on_change([this] { group_->RequestSoon(); });
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
        in_charge_ || !hosts.has_value() ? 1 : kFollowerPollFactor;
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
  Log(LogPart::kServer).info("A planned stop begins.");
  leaving_ = true;
  stop_deadline_ = loop_.timers().now() + settings_.drain_timeout;
  callers_->StopKeepAlive();
  group_->Leave();
}

// A planned stop: readiness is false, assignments go to other hosts, requests
// in flight finish here.
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
      .info("The planned stop ends {}.",
            done ? "with nothing left to do" : "at its time limit");
  loop_.timers().After(kLastAnswers, [this] { loop_.Stop(); });
}

template <typename Message, typename Handler>
void Node::Impl::Take(ConnectionId connection, const Frame& frame,
                      Handler handler) {
  auto message = DecodeBody<Message>(frame.body);
  if (message.has_value()) {
    handler(std::move(message.value()));
    return;
  }
  Log(LogPart::kInner)
      .warn("A malformed {} message was dropped: {}.",
            NameOf(kMessageTypeNames, frame.type), message.error().message);
  if (connection != kNoConnection) transport_->Disconnect(connection);
}

void Node::Impl::OnFrame(ConnectionId connection, const Frame& frame) {
  const ConnectionId id = connection;
  switch (frame.type) {
    case MessageType::kHello:
      Take<Hello>(id, frame, [](const Hello&) {});
      return;
    case MessageType::kTableRequest:
      Take<TableRequest>(id, frame, [&](const TableRequest& message) {
        group_->OnTableRequest(id, message);
      });
      return;
    case MessageType::kTableReply:
      Take<TableReply>(id, frame, [&](const TableReply& message) {
        group_->OnTableReply(message);
      });
      return;
    case MessageType::kConfigurationRequest:
      Take<ConfigurationRequest>(id, frame,
                                 [&](const ConfigurationRequest& message) {
                                   group_->OnConfigurationRequest(id, message);
                                 });
      return;
    case MessageType::kConfigurationReply:
      Take<ConfigurationReply>(id, frame,
                               [&](const ConfigurationReply& message) {
                                 group_->OnConfigurationReply(message);
                               });
      return;
    case MessageType::kDispatchRequest:
      Take<DispatchRequest>(id, frame, [&](DispatchRequest&& message) {
        router_->OnPeerRequest(id, std::move(message));
      });
      return;
    case MessageType::kDispatchReply:
      Take<DispatchReply>(id, frame, [&](DispatchReply&& message) {
        router_->OnReply(id, std::move(message));
      });
      return;
    case MessageType::kDispatchCancel:
      Take<DispatchCancel>(id, frame, [&](const DispatchCancel& message) {
        router_->OnPeerCancel(id, message);
      });
      return;
    case MessageType::kLedgerUpdate:
      Take<LedgerUpdate>(id, frame, [&](const LedgerUpdate& message) {
        dispatcher_->OnLedgerUpdate(id, message);
      });
      return;
    case MessageType::kLedgerAck:
      Take<LedgerAck>(id, frame, [&](const LedgerAck& message) {
        dispatcher_->OnLedgerAck(message);
      });
      return;
    case MessageType::kLedgerFetch:
      Take<LedgerFetch>(id, frame, [&](const LedgerFetch& message) {
        dispatcher_->OnLedgerFetch(id, message);
      });
      return;
    case MessageType::kLedgerEntries:
      Take<LedgerEntries>(id, frame, [&](const LedgerEntries& message) {
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
    case MessageType::kTableStepNotice:
      return;  // Of hosts on another kind of deployment.
  }
}

void Node::Impl::OnDatagram(const Frame& frame) {
  switch (frame.type) {
    case MessageType::kLeaseRequest:
      Take<LeaseRequest>(kNoConnection, frame,
                         [&](const LeaseRequest& message) {
                           group_->OnLeaseRequest(message);
                         });
      return;
    case MessageType::kLeaseReply:
      Take<LeaseReply>(kNoConnection, frame, [&](const LeaseReply& message) {
        group_->OnLeaseReply(message);
      });
      return;
    case MessageType::kControllerNotice:
      Take<ControllerNotice>(kNoConnection, frame,
                             [&](const ControllerNotice& message) {
                               group_->OnControllerNotice(message);
                             });
      return;
    default:
      return;  // Everything else travels by TCP.
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
