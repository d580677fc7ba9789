// Sends and receives messages between entry hosts, by UDP datagrams and over
// TCP connections.
//
// A reply is sent on the connection of its request. Connections are opened on
// demand, and closed after a failure or by Disconnect.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/error.h"
#include "common/timer_service.h"
#include "inner/messages.h"
#include "inner/peer_connection.h"
#include "net/socket_address.h"

namespace mimosadeal {

class EventLoop;
class FdWatch;

// Identifies a TCP connection. Never reused within a process.
using ConnectionId = uint64_t;

inline constexpr ConnectionId kNoConnection = 0;

struct InnerTransportOptions {
  std::string host_id;
  SocketAddress address;
  PeerConnectionLimits limits;
  // Maps addresses of peers to the addresses to use instead; see
  // Settings::routes.
  std::map<std::string, std::string> routes;
};

struct InnerTransportHandlers {
  std::function<void(ConnectionId, const Frame&)> on_frame;
  std::function<void(const Frame&)> on_datagram;
  std::function<void(ConnectionId)> on_disconnected;
  // See PeerConnectionCallbacks::on_long_frame.
  std::function<std::optional<bool>(ConnectionId, const FrameStart&,
                                    std::string_view begun)>
      on_long_frame = nullptr;
  // See PeerConnectionCallbacks::on_silent_frame.
  std::function<bool(ConnectionId, const FrameStart&, std::string_view begun)>
      on_silent_frame = nullptr;
};

class InnerTransport {
 public:
  // Errors: kIo if listening on the address fails.
  static Result<std::unique_ptr<InnerTransport>> Listen(
      EventLoop& loop, InnerTransportOptions options,
      InnerTransportHandlers handlers);
  ~InnerTransport();
  InnerTransport(const InnerTransport&) = delete;
  InnerTransport& operator=(const InnerTransport&) = delete;

  // Returns the connection to the peer at `address` and opens it if necessary.
  // Returns kNoConnection if that fails at once.
  ConnectionId ConnectionTo(const std::string& address);
  // Closes the connection if it is open, so that the next ConnectionTo its peer
  // opens a new one.
  void Disconnect(ConnectionId id);

  // Returns false, and sends nothing, if the connection is closed or its
  // backlog is full.
  template <typename Message>
  bool Send(ConnectionId id, const Message& message) {
    return SendBody(id, Message::kType, EncodeBody(message));
  }

  // As Send, with `last_field` in place of the message's last field, a text,
  // which is empty in it. Keeps the text where it is until it is sent.
  template <typename Message>
  bool SendShared(ConnectionId id, const Message& message,
                  const std::shared_ptr<const std::string>& last_field,
                  FrameLimit limit) {
    const size_t length = last_field == nullptr ? 0 : last_field->size();
    return SendSharedBody(id, Message::kType, EncodeBodyBefore(message, length),
                          last_field, limit);
  }
  // Whether Send would send a long message to the peer at `address`.
  bool HasRoom(const std::string& address, size_t body_bytes) const;
  // Closes the connections with queued output of which nothing was sent for
  // `time`.
  void CloseStalled(Duration time);

  // Encodes the message once and sends it to all addresses.
  template <typename Message>
  void SendToAll(const std::vector<std::string>& addresses,
                 const Message& message) {
    const std::string body = EncodeBody(message);
    for (const std::string& address : addresses)
      SendBody(ConnectionTo(address), Message::kType, body);
  }

  // Sends the message as a datagram, which may be lost.
  template <typename Message>
  void SendDatagram(const std::string& address, const Message& message) {
    SendDatagramBody(address, Message::kType, EncodeBody(message));
  }

  // Bytes sent so far, without the messages that dispatch requests.
  uint64_t control_bytes_sent() const { return control_bytes_sent_; }

 private:
  InnerTransport(EventLoop& loop, InnerTransportOptions options,
                 InnerTransportHandlers handlers);

  bool SendBody(ConnectionId id, MessageType type, const std::string& body);
  bool SendSharedBody(ConnectionId id, MessageType type,
                      const std::string& begin,
                      std::shared_ptr<const std::string> end, FrameLimit limit);
  void SendDatagramBody(const std::string& address, MessageType type,
                        const std::string& body);
  ConnectionId AddConnection(int fd);
  void OnAcceptable();
  void OnDatagram();
  // Gives up the long transfers that make no progress.
  void CheckProgress();
  void OnClosed(ConnectionId id, const Error& error);
  std::string Route(const std::string& address) const;

  EventLoop& loop_;
  InnerTransportOptions options_;
  InnerTransportHandlers handlers_;
  std::unique_ptr<FdWatch> listener_;
  std::unique_ptr<FdWatch> datagrams_;
  ConnectionId next_id_ = 1;
  std::unordered_map<ConnectionId, std::unique_ptr<PeerConnection>>
      connections_;
  // Invariant: holds only connections that are in connections_.
  std::unordered_map<std::string, ConnectionId> by_address_;
  uint64_t control_bytes_sent_ = 0;
  TimerId check_timer_ = kNoTimer;
};

}  // namespace mimosadeal
