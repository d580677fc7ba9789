#include "entry/exchange_relay.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/entry_metrics.h"
#include "entry/path_monitor.h"
#include "entry/relay_wire.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(400);
// Two lost datagrams in a row do not end an offer.
constexpr Duration kOfferLifetime = std::chrono::milliseconds(1300);
// A host that was helped within this time does not take a lease, which the
// helpers can hold.
constexpr Duration kHelperMemory = std::chrono::seconds(3);
// Hosts of each zone that are asked. More spread the load no better.
constexpr size_t kMaxProbedPerZone = 12;
// A request takes this long to the other host at most, unless a packet is lost.
constexpr Duration kRelayTime = std::chrono::milliseconds(10);

uint32_t ToWireTime(Duration time) {
  return static_cast<uint32_t>(
      std::clamp<int64_t>(ToMilliseconds(time), 0, kNoSendLimit - 1));
}

// A value of the enumeration, or `last` for one that this build does not know.
template <typename Enum>
Enum FromWireEnum(uint8_t value, Enum last) {
  return static_cast<Enum>(std::min(value, static_cast<uint8_t>(last)));
}

}  // namespace

ExchangeRelay::ExchangeRelay(EventLoop& loop,
                             const DeploymentProtocol& protocol,
                             const DeploymentView& view, UpstreamPool& pool,
                             PathMonitor& paths, EntryMetrics& metrics,
                             EventLog& log, ExchangeRelayOptions options,
                             ExchangeRelayHandlers handlers)
    : loop_(loop),
      protocol_(protocol),
      view_(view),
      pool_(pool),
      paths_(paths),
      metrics_(metrics),
      log_(log),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      random_(SystemSeed()),
      budget_(options_.budget),
      next_id_(random_.Next()) {}

ExchangeRelay::~ExchangeRelay() {
  loop_.timers().Cancel(probe_timer_);
  for (const auto& [id, call] : calls_) loop_.timers().Cancel(call.timer);
}

void ExchangeRelay::OnMessage(ConnectionId connection, const Frame& frame) {
  const auto handle = [&](auto message, auto handler) {
    auto decoded = DecodeBody<decltype(message)>(frame.body);
    if (decoded.has_value()) {
      handler(std::move(decoded.value()));
      return;
    }
    log_.LogRequest("relay.malformed",
                    {{"type", NameOf(kMessageTypeNames, frame.type)},
                     {"reason", decoded.error().message}});
  };
  switch (frame.type) {
    case MessageType::kRelayProbe:
      handle(RelayProbe{}, [this](const RelayProbe& probe) { OnProbe(probe); });
      return;
    case MessageType::kRelayOffer:
      handle(RelayOffer{}, [this](const RelayOffer& offer) { OnOffer(offer); });
      return;
    case MessageType::kRelayRequest:
      // A datagram could arrive twice.
      if (connection == kNoConnection) return;
      handle(RelayRequest{}, [&](RelayRequest&& request) {
        OnRequest(connection, std::move(request), frame.body.size());
      });
      arriving_.erase(connection);
      return;
    case MessageType::kRelayReply:
      handle(RelayReply{},
             [this](RelayReply&& reply) { OnReply(std::move(reply)); });
      arriving_.erase(connection);
      return;
    case MessageType::kRelayCancel:
      handle(RelayCancel{},
             [&](const RelayCancel& cancel) { OnCancel(connection, cancel); });
      return;
    default:
      return;
  }
}

void ExchangeRelay::OnPathsChanged() {
  if (probe_timer_ == 0 && paths_.cut_off_services() > 0) ProbeHelpers();
}

void ExchangeRelay::ProbeHelpers() {
  probe_timer_ = 0;
  DropSilentHelpers();
  if (paths_.cut_off_services() == 0) {
    helpers_.clear();
    named_hosts_.clear();
    LogHelpers();
    return;
  }
  const RelayProbe probe{options_.address, options_.zone};
  const auto send = [&](const std::vector<std::string>& hosts, size_t most) {
    const size_t start = hosts.empty() ? 0 : random_.Below(hosts.size());
    for (size_t i = 0; i < std::min(most, hosts.size()); ++i)
      transport_->SendDatagram(hosts[(start + i) % hosts.size()], probe);
  };
  const std::vector<std::string> holders = handlers_.other_holders();
  send(handlers_.zone_hosts(), kMaxProbedPerZone);
  send(holders, holders.size());
  send({named_hosts_.begin(), named_hosts_.end()}, 2 * kMaxProbedPerZone);
  probe_timer_ =
      loop_.timers().After(kProbeInterval, [this] { ProbeHelpers(); });
}

void ExchangeRelay::DropSilentHelpers() {
  const MonotonicTime now = loop_.timers().now();
  std::set<ConnectionId> silent;
  for (const auto& [id, call] : calls_) {
    const auto helper = helpers_.find(call.helper);
    if (helper != helpers_.end() &&
        now - helper->second.offered_at > kOfferLifetime) {
      silent.insert(call.connection);
    }
  }
  std::erase_if(helpers_, [now](const auto& entry) {
    return now - entry.second.offered_at > kOfferLifetime;
  });
  for (const ConnectionId connection : silent)
    transport_->Disconnect(connection);
  LogHelpers();
}

void ExchangeRelay::LogHelpers() {
  const size_t count = helpers_.size();
  const bool changed = (count == 0) != (logged_helpers_ == 0);
  logged_helpers_ = count;
  if (!changed) return;
  log_.LogStateChange("relay.helpers",
                      {{"helpers", static_cast<uint64_t>(count)},
                       {"in_flight", static_cast<uint64_t>(calls_.size())}});
}

void ExchangeRelay::OnProbe(const RelayProbe& probe) {
  if (!MayHelp()) return;
  RelayOffer offer;
  offer.address = options_.address;
  offer.zone = options_.zone;
  offer.services = paths_.ReachedServices();
  offer.hosts = handlers_.other_holders();
  if (probe.zone != options_.zone && handlers_.holds_lease()) {
    std::vector<std::string> zone_hosts = handlers_.zone_hosts();
    if (zone_hosts.size() > kMaxProbedPerZone)
      zone_hosts.resize(kMaxProbedPerZone);
    offer.hosts.insert(offer.hosts.end(), zone_hosts.begin(), zone_hosts.end());
  }
  transport_->SendDatagram(probe.address, offer);
}

void ExchangeRelay::OnOffer(const RelayOffer& offer) {
  if (probe_timer_ == 0) return;  // This host asks for no offers any more.
  const MonotonicTime now = loop_.timers().now();
  for (const std::string& host : offer.hosts) {
    const bool is_new = host != options_.address && !helpers_.contains(host) &&
                        named_hosts_.insert(host).second;
    if (is_new)
      transport_->SendDatagram(host,
                               RelayProbe{options_.address, options_.zone});
  }
  if (offer.services.empty()) {
    helpers_.erase(offer.address);
    LogHelpers();
    return;
  }
  Helper& helper = helpers_[offer.address];
  helper.services = {offer.services.begin(), offer.services.end()};
  helper.zone = offer.zone;
  helper.offered_at = now;
  for (const std::string& service : offer.services) last_offers_[service] = now;
  const bool first = logged_helpers_ == 0;
  LogHelpers();
  if (first) handlers_.on_helper();
}

bool ExchangeRelay::HadHelper(const std::string& service) const {
  const auto found = last_offers_.find(service);
  return found != last_offers_.end() &&
         loop_.timers().now() - found->second <= kHelperMemory;
}

bool ExchangeRelay::HasHelper(const std::string& service) const {
  const MonotonicTime now = loop_.timers().now();
  return std::any_of(helpers_.begin(), helpers_.end(), [&](const auto& entry) {
    return entry.second.services.contains(service) &&
           now - entry.second.offered_at <= kOfferLifetime;
  });
}

std::string ExchangeRelay::ChooseHelper(const std::string& service,
                                        size_t body_bytes) {
  const MonotonicTime now = loop_.timers().now();
  // Traffic between zones is priced, so a helper of this host's zone may have
  // one request more in flight.
  constexpr int other_zone_cost = 1;
  const bool is_long = body_bytes > kSmallHolderBytes;
  std::vector<std::string> best;
  int least = std::numeric_limits<int>::max();
  for (const auto& [address, helper] : helpers_) {
    if (!helper.services.contains(service) ||
        now - helper.offered_at > kOfferLifetime) {
      continue;
    }
    if (is_long && (helper.short_of_room_until > now ||
                    !transport_->HasRoom(address, body_bytes))) {
      continue;
    }
    const int cost =
        helper.in_flight + (helper.zone == options_.zone ? 0 : other_zone_cost);
    if (cost < least) best.clear();
    least = std::min(least, cost);
    if (cost == least) best.push_back(address);
  }
  return best.empty() ? std::string() : best[random_.Below(best.size())];
}

RelayCallId ExchangeRelay::Send(const UpstreamRecord& upstream,
                                ExchangeRequest request, RelayContext context,
                                Callback callback) {
  const MonotonicTime now = loop_.timers().now();
  const RelayCallId id = next_id_++;
  RelayRequest message;
  message.id = id;
  message.upstream = upstream.id;
  message.incarnation = upstream.incarnation;
  message.request_id = std::move(context.request_id);
  message.fingerprint = context.fingerprint;
  message.require_new_connection = request.require_new_connection;
  message.timeout_ms = ToWireTime(request.timeout);
  message.send_within_ms = request.send_by == kForever
                               ? kNoSendLimit
                               : ToWireTime(request.send_by - now - kRelayTime);
  message.method = std::move(request.method);
  message.target = std::move(request.target);
  message.headers = ToWire(request.headers);
  const SharedBody body = request.shared_body.empty()
                              ? SharedBody(std::move(request.body))
                              : std::move(request.shared_body);
  Call& call = calls_[id];
  call.callback = std::move(callback);
  call.helper = ChooseHelper(upstream.service, std::string_view(body).size());
  if (!SendRequest(call, message, body)) {
    loop_.Post([this, id] {
      RelayResult unsent;
      unsent.exchange.failure = ClientFailure::kNotConnected;
      Complete(id, std::move(unsent));
    });
    return id;
  }
  ++helpers_[call.helper].in_flight;
  call.timer = loop_.timers().After(request.timeout, [this, id] {
    transport_->Send(calls_.at(id).connection, RelayCancel{id});
    RelayResult result;
    result.exchange.failure = ClientFailure::kTimeout;
    result.exchange.request_written = true;
    Complete(id, std::move(result));
  });
  return id;
}

bool ExchangeRelay::SendRequest(Call& call, const RelayRequest& message,
                                const SharedBody& body) {
  if (call.helper.empty()) return false;
  call.connection = transport_->ConnectionTo(call.helper);
  if (call.connection != kNoConnection &&
      transport_->SendShared(call.connection, message, body.pointer(),
                             FrameLimit::kBacklog)) {
    return true;
  }
  // That a long message does not fit says nothing of the host.
  if (std::string_view(body).size() <= kSmallHolderBytes)
    helpers_.erase(call.helper);
  return false;
}

void ExchangeRelay::Cancel(RelayCallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  transport_->Send(found->second.connection, RelayCancel{id});
  found->second.callback = nullptr;
  Complete(id, {});
}

void ExchangeRelay::Complete(RelayCallId id, RelayResult result) {
  auto ended = calls_.extract(id);
  if (ended.empty()) return;
  const Call& call = ended.mapped();
  loop_.timers().Cancel(call.timer);
  const auto helper = helpers_.find(call.helper);
  // A host that was given up and offered again meanwhile has fewer.
  if (helper != helpers_.end() && helper->second.in_flight > 0)
    --helper->second.in_flight;
  if (call.callback) call.callback(std::move(result));
}

void ExchangeRelay::OnDeclined(const Call& call, const RelayReply& reply) {
  const auto helper = helpers_.find(call.helper);
  if (helper == helpers_.end()) return;
  const auto failure = FromWireEnum(reply.failure, ClientFailure::kAborted);
  if (failure == ClientFailure::kTooLarge) {
    helper->second.short_of_room_until = loop_.timers().now() + kProbeInterval;
  } else {
    helpers_.erase(helper);
  }
}

void ExchangeRelay::OnReply(RelayReply&& reply) {
  const auto found = calls_.find(reply.id);
  if (found == calls_.end()) return;
  RelayResult result;
  ExchangeResult& exchange = result.exchange;
  const auto status = FromWireEnum(reply.status, RelayStatus::kUnreached);
  metrics_.ObserveRelayed(status == RelayStatus::kDone       ? "sent"
                          : status == RelayStatus::kDeclined ? "declined"
                                                             : "unreached");
  if (status != RelayStatus::kDone) {
    if (status == RelayStatus::kDeclined) OnDeclined(found->second, reply);
    result.upstream_unreached = status == RelayStatus::kUnreached;
    exchange.failure = ClientFailure::kNotConnected;
    Complete(reply.id, std::move(result));
    return;
  }
  exchange.failure = FromWireEnum(reply.failure, ClientFailure::kAborted);
  exchange.end = FromWireEnum(reply.end, StreamEnd::kFailed);
  exchange.request_written = reply.request_written;
  exchange.response_started = reply.response_started;
  exchange.reused = reply.reused;
  exchange.sent_at = loop_.timers().now();
  exchange.response.status = reply.http_status;
  exchange.response.content_type = std::move(reply.content_type);
  exchange.response.body = std::move(reply.body);
  exchange.response.headers = FromWire(std::move(reply.headers));
  result.upstream_unreached =
      exchange.failure == ClientFailure::kNotConnected && !exchange.reused;
  Complete(reply.id, std::move(result));
}

std::optional<bool> ExchangeRelay::OnLongFrame(ConnectionId connection,
                                               const FrameStart& start,
                                               std::string_view begun) {
  const bool is_request = start.type == MessageType::kRelayRequest;
  if (!is_request && start.type != MessageType::kRelayReply) return true;
  const std::optional<uint64_t> id = PeekRelayId(begun);
  if (!id.has_value()) return std::nullopt;
  auto hold =
      budget_.Hold(is_request ? RelayUse::kRequests : RelayUse::kOwnReplies,
                   start.body_bytes);
  if (hold != nullptr) {
    arriving_[connection] = std::move(hold);
    return true;
  }
  log_.LogRequest("relay.no-room",
                  {{"type", NameOf(kMessageTypeNames, start.type)},
                   {"bytes", static_cast<uint64_t>(start.body_bytes)}});
  RefuseLong(connection, start.type, *id, "no room");
  return false;
}

bool ExchangeRelay::OnSilentFrame(ConnectionId connection,
                                  const FrameStart& start,
                                  std::string_view begun) {
  // Others cannot be missed while the connection lives.
  if (start.type != MessageType::kRelayRequest &&
      start.type != MessageType::kRelayReply) {
    return false;
  }
  const std::optional<uint64_t> id = PeekRelayId(begun);
  if (!id.has_value()) return false;
  arriving_.erase(connection);
  log_.LogRequest("relay.silent",
                  {{"type", NameOf(kMessageTypeNames, start.type)},
                   {"bytes", static_cast<uint64_t>(start.body_bytes)},
                   {"arrived", static_cast<uint64_t>(begun.size())}});
  RefuseLong(connection, start.type, *id, "silent");
  return true;
}

void ExchangeRelay::RefuseLong(ConnectionId connection, MessageType type,
                               uint64_t id, std::string_view outcome) {
  if (type == MessageType::kRelayRequest) {
    Decline(connection, id, RelayStatus::kDeclined, ClientFailure::kTooLarge);
    return;
  }
  loop_.Post([this, id, outcome = std::string(outcome)] {
    metrics_.ObserveRelayed(outcome);
    RelayResult result;
    result.exchange.failure = ClientFailure::kTooLarge;
    result.exchange.request_written = true;
    result.exchange.response_started = true;
    Complete(id, std::move(result));
  });
}

void ExchangeRelay::OnDisconnected(ConnectionId connection) {
  arriving_.erase(connection);
  FailCallsOn(connection);
  std::vector<PoolCallId> abandoned;
  std::erase_if(helped_, [&](const auto& entry) {
    if (entry.first.first != connection) return false;
    abandoned.push_back(entry.second);
    return true;
  });
  for (const PoolCallId call : abandoned) pool_.Cancel(call);
}

void ExchangeRelay::FailCallsOn(ConnectionId connection) {
  std::vector<RelayCallId> lost;
  for (const auto& [id, call] : calls_) {
    if (call.connection == connection) lost.push_back(id);
  }
  for (const RelayCallId id : lost) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    helpers_.erase(found->second.helper);
    metrics_.ObserveRelayed("connection lost");
    RelayResult result;
    result.exchange.failure = ClientFailure::kClosed;
    // The other host may have sent the request.
    result.exchange.request_written = true;
    Complete(id, std::move(result));
  }
}

}  // namespace mimosadeal
