// The HTTP/1.1 server of the data path, for callers. Its user receives complete
// requests with every header, chunked ones included, and supplies complete
// responses.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/boot_clock.h"
#include "common/error.h"
#include "net/http_codec.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "net/socket_address.h"

namespace mimosadeal {

class EventLoop;
class FdWatch;
class TcpStream;

// Limits on what callers may send and how long they may take. Changes apply to
// open connections too.
struct ExchangeServerLimits {
  HttpMessageLimits text;
  // From the first byte of a request to the end of its headers.
  Duration header_timeout{};
  Duration idle_timeout{};  // Between requests.
  size_t max_connections = 0;
};

class ExchangeServer {
 public:
  // Errors: kIo if listening on the address fails.
  static Result<std::unique_ptr<ExchangeServer>> Listen(
      EventLoop& loop, const SocketAddress& address,
      ExchangeServerLimits limits, HttpServerHandlers handlers);
  ~ExchangeServer();
  ExchangeServer(const ExchangeServer&) = delete;
  ExchangeServer& operator=(const ExchangeServer&) = delete;

  void SetLimits(const ExchangeServerLimits& limits) { limits_ = limits; }
  // Sends the response of an exchange. Does nothing if its caller has
  // disconnected.
  void Respond(ExchangeId id, const HttpResponse& response);
  // Closes the connection of an exchange without a response.
  void Drop(ExchangeId id);
  // From now on the server closes each connection after its next response.
  void StopKeepAlive() { keep_alive_ = false; }
  // Accepts the connections that wait in the kernel, and none after them.
  void StopAccepting();
  // Closes the connections that are idle: no byte of a request has arrived.
  void CloseIdle();
  size_t open_exchanges() const { return exchanges_.size(); }
  size_t connection_count() const { return connections_.size(); }

 private:
  struct Connection;

  ExchangeServer(EventLoop& loop, ExchangeServerLimits limits,
                 HttpServerHandlers handlers);
  // Accepts connections. Returns whether more may be waiting.
  bool OnAcceptable();
  void OnData(uint64_t connection, std::string_view bytes);
  void OnEnd(uint64_t connection);
  // Parses the connection's input and passes the next request to the handler
  // when it is complete.
  void ParseNextRequest(uint64_t connection);
  void Refuse(Connection& connection, int status);
  void Close(uint64_t connection);
  // Closes the connections whose header or idle timeout has passed.
  void CloseTimedOut();

  EventLoop& loop_;
  ExchangeServerLimits limits_;
  HttpServerHandlers handlers_;
  std::unique_ptr<FdWatch> listener_;
  uint64_t timeout_check_timer_ = 0;
  bool keep_alive_ = true;
  uint64_t next_id_ = 1;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  // The connection of each exchange. Invariant: the connection exists, and has
  // no other exchange.
  std::map<ExchangeId, uint64_t> exchanges_;
};

}  // namespace mimosadeal
