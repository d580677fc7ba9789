// The HTTP/1.1 server of the data path, for callers. Its user receives complete
// requests with every header, chunked ones included, and supplies complete
// responses.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/error.h"
#include "net/byte_budget.h"
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

// What the server does about a caller when bytes or connections run short.
enum class PressureAction : uint8_t {
  kRefused,           // Its request does not fit; answered with 503.
  kSenderEvicted,     // Stopped short of its request's end; answered with 503.
  kReaderEvicted,     // Did not read its response; closed.
  kSlotFreed,         // Its connection was closed in favour of a new one.
  kCallerTurnedAway,  // It was the new one, and none could be closed.
};

std::string_view PressureActionName(PressureAction action);

struct PressureEvent {
  PressureAction action = PressureAction::kRefused;
  size_t bytes = 0;  // That the caller holds, or asked for.
  bool stalled = false;
  size_t used = 0;  // Of `limit`: bytes of this use, or connections.
  size_t limit = 0;
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
  // Limits what callers' requests and unread responses take by a budget.
  // `on_pressure` learns what had to be done about it.
  void ShareBudget(std::shared_ptr<ByteBudget> budget,
                   std::function<void(const PressureEvent&)> on_pressure);
  // Sends the response of an exchange. Does nothing if its caller has
  // disconnected.
  void Respond(ExchangeId id, HttpResponse response);
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
  // Closes the connection once its last response was sent, or shortly after.
  void CloseLater(Connection& connection);

  // In exchange_server_pressure.cc. Holds what the connection's request takes
  // now; evicts others, or refuses the request, if there is no room. Returns
  // false if the request was refused, and its parser and input are gone.
  bool HoldRequest(Connection& connection);
  // As HoldRequest, for bytes that arrive before the last request's response;
  // without room they are dropped. See Connection::input_overflow.
  bool HoldPipelined(Connection& connection);
  // Holds what the connection has not sent yet of a response; evicts others, or
  // the connection itself, if there is no room.
  void HoldResponse(uint64_t connection);
  // Whether the connection may hold `wanted` bytes, if need be after others
  // that stalled were evicted.
  bool MakeRoom(const Connection& connection, ByteUse use, size_t held,
                size_t wanted);
  std::vector<EvictionCandidate> Candidates(ByteUse use) const;
  void Evict(uint64_t connection, ByteUse use);
  void JudgeTransfers();
  // Evicts stalled readers if their responses take the room of those that are
  // still to come from upstreams.
  void EvictStalledReaders();
  // Closes a connection that is of no use to its caller, so that another can be
  // accepted. Returns false if there is none.
  bool FreeSlot();
  void ReportPressure(PressureAction action, ByteUse use, size_t bytes,
                      bool stalled) const;

  void Close(uint64_t connection);
  // Closes the connections whose header or idle timeout has passed.
  void CloseTimedOut();

  EventLoop& loop_;
  ExchangeServerLimits limits_;
  HttpServerHandlers handlers_;
  std::unique_ptr<FdWatch> listener_;
  uint64_t timeout_check_timer_ = 0;
  bool keep_alive_ = true;
  std::shared_ptr<ByteBudget> budget_;  // Null if there is none.
  std::function<void(const PressureEvent&)> on_pressure_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  // The connection of each exchange. Invariant: the connection exists, and has
  // no other exchange.
  std::map<ExchangeId, uint64_t> exchanges_;
};

}  // namespace mimosadeal
