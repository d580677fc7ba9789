// The callers' HTTP/1.1 server of the data path: hands over whole requests,
// chunked ones included, with every header, and takes whole responses.
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

// What callers may send, and how long they may take. May change at any time;
// open connections follow.
struct ExchangeServerLimits {
  HttpMessageLimits text;
  Duration
      header_timeout{};     // From a request's first byte to its header's end.
  Duration idle_timeout{};  // Without any request.
  size_t max_connections = 0;
};

class ExchangeServer {
 public:
  // Errors: kIo when the address cannot be listened on.
  static Result<std::unique_ptr<ExchangeServer>> Listen(
      EventLoop& loop, const SocketAddress& address,
      ExchangeServerLimits limits, HttpServerHandlers handlers);
  ~ExchangeServer();
  ExchangeServer(const ExchangeServer&) = delete;
  ExchangeServer& operator=(const ExchangeServer&) = delete;

  void SetLimits(const ExchangeServerLimits& limits) { limits_ = limits; }
  // Answers an exchange. Does nothing when its caller has gone.
  void Respond(ExchangeId id, const HttpResponse& response);
  // Ends the exchange's connection without an answer.
  void Drop(ExchangeId id);
  // From now on each response closes its connection.
  void StopKeepAlive() { keep_alive_ = false; }
  // Takes no new connections from now on but those that wait already.
  void StopAccepting();
  // Closes the connections on which no byte of a request has arrived.
  void CloseIdle();
  size_t open_exchanges() const { return exchanges_.size(); }
  size_t connection_count() const { return connections_.size(); }

 private:
  struct Connection;

  ExchangeServer(EventLoop& loop, ExchangeServerLimits limits,
                 HttpServerHandlers handlers);
  // Returns whether more connections may wait.
  bool OnAcceptable();
  void OnData(uint64_t connection, std::string_view bytes);
  void OnEnd(uint64_t connection);
  // Parses and hands over the next request on the connection, if it is whole.
  void Advance(uint64_t connection);
  void Refuse(Connection& connection, int status);
  void Close(uint64_t connection);
  void Sweep();

  EventLoop& loop_;
  ExchangeServerLimits limits_;
  HttpServerHandlers handlers_;
  std::unique_ptr<FdWatch> listener_;
  uint64_t sweep_timer_ = 0;
  bool keep_alive_ = true;
  uint64_t next_id_ = 1;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  // Invariant: names the connection whose request waits for this exchange's
  // response; a connection has one exchange at most.
  std::map<ExchangeId, uint64_t> exchanges_;
};

}  // namespace mimosadeal
