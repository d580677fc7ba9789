#include "inner/inner_transport.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include "common/log.h"
#include "net/event_loop.h"
#include "net/fd_watch.h"

namespace mimosadeal {
namespace {

constexpr int kMaxAcceptsPerIteration = 64;
constexpr int kMaxDatagramsPerIteration = 256;

bool IsControl(MessageType type) {
  return type != MessageType::kDispatchRequest &&
         type != MessageType::kDispatchReply &&
         type != MessageType::kDispatchCancel;
}

}  // namespace

InnerTransport::InnerTransport(EventLoop& loop, InnerTransportOptions options,
                               InnerTransportHandlers handlers)
    : loop_(loop),
      options_(std::move(options)),
      handlers_(std::move(handlers)) {}

InnerTransport::~InnerTransport() { loop_.timers().Cancel(check_timer_); }

Result<std::unique_ptr<InnerTransport>> InnerTransport::Listen(
    EventLoop& loop, InnerTransportOptions options,
    InnerTransportHandlers handlers) {
  BOOST_OUTCOME_TRY(tcp, ListenTcp(options.address));
  BOOST_OUTCOME_TRY(udp, BindUdp(options.address));
  std::unique_ptr<InnerTransport> transport(
      new InnerTransport(loop, std::move(options), std::move(handlers)));
  InnerTransport* self = transport.get();
  transport->listener_ = std::make_unique<FdWatch>(
      loop, tcp, FdWatch::Callbacks{[self] { self->OnAcceptable(); }, nullptr});
  transport->datagrams_ = std::make_unique<FdWatch>(
      loop, udp, FdWatch::Callbacks{[self] { self->OnDatagram(); }, nullptr});
  transport->check_timer_ =
      loop.timers().Every(kProgressInterval, [self] { self->CheckProgress(); });
  return transport;
}

std::string InnerTransport::Route(const std::string& address) const {
  const auto found = options_.routes.find(address);
  return found == options_.routes.end() ? address : found->second;
}

ConnectionId InnerTransport::ConnectionTo(const std::string& address) {
  const auto found = by_address_.find(address);
  if (found != by_address_.end()) return found->second;
  const auto parsed = ParseSocketAddress(Route(address));
  if (!parsed.has_value()) return kNoConnection;
  const auto fd = ConnectTcp(parsed.value());
  if (!fd.has_value()) return kNoConnection;
  const ConnectionId id = AddConnection(fd.value());
  by_address_[address] = id;
  Send(id, Hello{options_.host_id});
  return id;
}

ConnectionId InnerTransport::AddConnection(int fd) {
  const ConnectionId id = next_id_++;
  PeerConnectionCallbacks callbacks;
  callbacks.on_frame = [this, id](const Frame& frame) {
    handlers_.on_frame(id, frame);
  };
  if (handlers_.on_long_frame) {
    callbacks.on_long_frame = [this, id](const FrameStart& start,
                                         std::string_view begun) {
      return handlers_.on_long_frame(id, start, begun);
    };
  }
  if (handlers_.on_silent_frame) {
    callbacks.on_silent_frame = [this, id](const FrameStart& start,
                                           std::string_view begun) {
      return handlers_.on_silent_frame(id, start, begun);
    };
  }
  callbacks.on_closed = [this, id](const Error& error) { OnClosed(id, error); };
  connections_[id] = std::make_unique<PeerConnection>(
      loop_, fd, options_.limits, std::move(callbacks));
  return id;
}

void InnerTransport::Disconnect(ConnectionId id) {
  if (connections_.count(id) == 0) return;
  OnClosed(id, MakeError(ErrorCode::kIo, "closed by this host"));
}

void InnerTransport::OnClosed(ConnectionId id, const Error& error) {
  // Disconnect may have closed it after it failed, before it reported that.
  if (connections_.count(id) == 0) return;
  Log(LogPart::kInner)
      .debug("Connection {} to another host closed: {}.", id, error.message);
  for (auto it = by_address_.begin(); it != by_address_.end(); ++it) {
    if (it->second != id) continue;
    by_address_.erase(it);
    break;
  }
  // Destroyed in the next iteration of the loop, because the caller may be a
  // callback of the connection.
  std::shared_ptr<PeerConnection> closed = std::move(connections_.at(id));
  connections_.erase(id);
  // Until then it must report nothing, as nobody would undo what that causes.
  closed->Abandon();
  loop_.Post([closed] {});
  handlers_.on_disconnected(id);
}

bool InnerTransport::SendBody(ConnectionId id, MessageType type,
                              const std::string& body) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return false;
  if (!found->second->Send(type, body)) return false;
  if (IsControl(type)) control_bytes_sent_ += body.size() + kFrameHeaderBytes;
  return true;
}

bool InnerTransport::SendSharedBody(ConnectionId id, MessageType type,
                                    const std::string& begin,
                                    std::shared_ptr<const std::string> end,
                                    FrameLimit limit) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return false;
  const size_t bytes =
      kFrameHeaderBytes + begin.size() + (end == nullptr ? 0 : end->size());
  if (!found->second->SendShared(type, begin, std::move(end), limit))
    return false;
  if (IsControl(type)) control_bytes_sent_ += bytes;
  return true;
}

bool InnerTransport::HasRoom(const std::string& address,
                             size_t body_bytes) const {
  const auto found = by_address_.find(address);
  if (found != by_address_.end())
    return connections_.at(found->second)->HasRoom(body_bytes);
  return body_bytes + kFrameHeaderBytes <= options_.limits.max_backlog_bytes;
}

void InnerTransport::CloseStalled(Duration time) {
  const MonotonicTime since = loop_.timers().now() - time;
  std::vector<ConnectionId> stalled;
  for (const auto& [id, connection] : connections_) {
    if (connection->StalledSince(since)) stalled.push_back(id);
  }
  for (const ConnectionId id : stalled)
    OnClosed(id, MakeError(ErrorCode::kIo, "the peer does not read"));
}

void InnerTransport::CheckProgress() {
  std::vector<ConnectionId> ids;
  for (const auto& [id, connection] : connections_) ids.push_back(id);
  for (const ConnectionId id : ids) {
    const auto found = connections_.find(id);
    if (found != connections_.end() && !found->second->CheckProgress())
      OnClosed(id, MakeError(ErrorCode::kIo, "the peer takes no bodies"));
  }
}

void InnerTransport::SendDatagramBody(const std::string& address,
                                      MessageType type,
                                      const std::string& body) {
  const auto parsed = ParseSocketAddress(Route(address));
  if (!parsed.has_value()) return;
  const auto native = ToNative(parsed.value());
  if (!native.has_value()) return;
  std::string frame;
  AppendFrame(type, body, frame);
  if (frame.size() > kMaxDatagramBytes) {
    Log(LogPart::kInner)
        .error("A {} message of {} bytes does not fit into a datagram.",
               NameOf(kMessageTypeNames, type), frame.size());
    return;
  }
  const auto* raw = reinterpret_cast<const sockaddr*>(&native.value().storage);
  sendto(datagrams_->fd(), frame.data(), frame.size(), MSG_NOSIGNAL, raw,
         native.value().length);
  control_bytes_sent_ += frame.size();
}

void InnerTransport::OnAcceptable() {
  for (int i = 0; i < kMaxAcceptsPerIteration; ++i) {
    const int fd = accept4(listener_->fd(), nullptr, nullptr,
                           SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    const int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    AddConnection(fd);
  }
}

void InnerTransport::OnDatagram() {
  std::array<char, 65536> buffer;
  for (int i = 0; i < kMaxDatagramsPerIteration; ++i) {
    const ssize_t count =
        recv(datagrams_->fd(), buffer.data(), buffer.size(), 0);
    if (count < 0) return;
    const std::string_view datagram(buffer.data(), static_cast<size_t>(count));
    const auto parsed = ParseFrame(datagram, kMaxDatagramBytes);
    if (!parsed.has_value() || !parsed.value().has_value()) continue;
    handlers_.on_datagram(parsed.value()->frame);
  }
}

}  // namespace mimosadeal
