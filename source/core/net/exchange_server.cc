#include "net/exchange_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/exchange_server_connection.h"
#include "net/fd_watch.h"
#include "net/tcp_stream.h"

namespace mimosadeal {
namespace {

// Granularity of the header and idle timeouts.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(500);
// Time for a caller to read its last response before the connection is closed.
constexpr Duration kLastResponseTimeout = std::chrono::seconds(2);
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr int kMaxAcceptsPerIteration = 64;
// Of the connections, how many are closed in favour of new ones at a time.
// Their descriptors are given back in the next iteration.
constexpr size_t kFreedDivisor = 16;
// A body up to this size is copied, so that one call sends it with its head.
constexpr size_t kMaxCopiedBody = 16 * 1024;

}  // namespace

ExchangeServer::ExchangeServer(EventLoop& loop, ExchangeServerLimits limits,
                               HttpServerHandlers handlers)
    : loop_(loop), limits_(limits), handlers_(std::move(handlers)) {
  timeout_check_timer_ =
      loop_.timers().Every(kTimeoutCheckInterval, [this] { CloseTimedOut(); });
}

ExchangeServer::~ExchangeServer() {
  loop_.timers().Cancel(timeout_check_timer_);
}

Result<std::unique_ptr<ExchangeServer>> ExchangeServer::Listen(
    EventLoop& loop, const SocketAddress& address, ExchangeServerLimits limits,
    HttpServerHandlers handlers) {
  BOOST_OUTCOME_TRY(fd, ListenTcp(address));
  std::unique_ptr<ExchangeServer> server(
      new ExchangeServer(loop, limits, std::move(handlers)));
  ExchangeServer* self = server.get();
  server->listener_ = std::make_unique<FdWatch>(
      loop, fd, FdWatch::Callbacks{[self] { self->OnAcceptable(); }, nullptr});
  return server;
}

bool ExchangeServer::OnAcceptable() {
  const size_t max_freed = limits_.max_connections / kFreedDivisor + 1;
  size_t freed = 0;
  for (int i = 0; i < kMaxAcceptsPerIteration && freed < max_freed; ++i) {
    const int fd = accept4(listener_->fd(), nullptr, nullptr,
                           SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return false;
    if (connections_.size() >= limits_.max_connections) {
      if (!FreeSlot()) {
        close(fd);
        continue;
      }
      ++freed;
    }
    const uint64_t id = next_id_++;
    auto connection = std::make_unique<Connection>();
    connection->id = id;
    connection->state_since = loop_.timers().now();
    connection->request_hold =
        std::make_shared<ByteHold>(budget_, ByteUse::kRequestBodies);
    connection->response_hold =
        std::make_shared<ByteHold>(budget_, ByteUse::kUnreadResponses);
    connection->stream = std::make_unique<TcpStream>(
        loop_, fd,
        TcpStreamHandlers{
            nullptr, [this, id](std::string_view bytes) { OnData(id, bytes); },
            [this, id](StreamEnd) { OnEnd(id); },
            [hold = connection->response_hold] { hold->Set(0); }});
    // A caller may read a response late; it is idle when it reads nothing for
    // the idle timeout.
    connection->stream->LimitDelivery(limits_.idle_timeout);
    RestartProgress(connection->progress, 0, connection->state_since);
    connections_.emplace(id, std::move(connection));
  }
  return true;
}

void ExchangeServer::OnData(uint64_t connection, std::string_view bytes) {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || found->second->closing) return;
  Connection& self = *found->second;
  self.received += bytes.size();
  if (self.input_overflow) return;
  if (self.exchange == 0 && self.pipelined.empty()) {
    self.input.append(bytes);
  } else {
    self.pipelined.Append(bytes);
  }
  if (self.exchange == 0) {
    ParseNextRequest(connection);
  } else if (!HoldPipelined(self)) {
    return;
  }
  const auto remaining = connections_.find(connection);
  if (remaining == connections_.end() || remaining->second->closing) return;
  // The parser enforces the limits of the request that is being read.
  if (remaining->second->input.size() + remaining->second->pipelined.size() >
      limits_.text.max_header_bytes + limits_.text.max_body_bytes) {
    remaining->second->input_overflow = true;
    remaining->second->input.clear();
    remaining->second->pipelined.Clear();
    if (remaining->second->exchange == 0) Close(connection);
  }
}

void ExchangeServer::ParseNextRequest(uint64_t id) {
  Connection& connection = *connections_.at(id);
  if (!connection.has_input()) return;
  if (connection.parser == nullptr) {
    connection.parser = std::make_unique<HttpRequestParser>(limits_.text);
    connection.state_since = loop_.timers().now();
    connection.continue_sent = false;
    RestartProgress(connection.progress, connection.moved(),
                    connection.state_since);
  }
  ParseState state = connection.parser->Feed(connection.input);
  while (state == ParseState::kNeedMore && !connection.pipelined.empty()) {
    connection.input += connection.pipelined.TakeFirst();
    state = connection.parser->Feed(connection.input);
  }
  const bool unfinished = state == ParseState::kNeedMore;
  if ((unfinished || state == ParseState::kDone) && !HoldRequest(connection))
    return;
  if (unfinished) {
    if (connection.parser->header_done() && !connection.continue_sent &&
        connection.parser->expects_continue()) {
      connection.continue_sent = true;
      connection.stream->Write(kContinue);
    }
    return;
  }
  if (state != ParseState::kDone) {
    Refuse(connection, connection.parser->refusal_status());
    return;
  }
  // If the loop is late, the caller may have disconnected before its request is
  // read.
  if (connection.stream->PeerHasClosed()) {
    Close(id);
    return;
  }
  ParsedHttpRequest text = connection.parser->Take();
  connection.parser.reset();
  connection.head_request = text.request.method == "HEAD";
  connection.client_keeps_alive = text.keep_alive;
  connection.exchange = next_id_++;
  exchanges_[connection.exchange] = id;
  text.request.hold = std::exchange(
      connection.request_hold,
      std::make_shared<ByteHold>(budget_, ByteUse::kRequestBodies));
  handlers_.on_request(connection.exchange, std::move(text.request));
}

void ExchangeServer::Refuse(Connection& connection, int status) {
  connection.parser.reset();
  connection.input = {};
  connection.pipelined.Clear();
  connection.request_hold->Set(0);
  const HttpResponse response =
      handlers_.make_refusal(status, "the request could not be read");
  connection.stream->Write(SerializeResponse(response, false, true));
  CloseLater(connection);
}

void ExchangeServer::CloseLater(Connection& connection) {
  connection.closing = true;
  connection.stream->FinishWriting();
  loop_.timers().After(kLastResponseTimeout,
                       [this, id = connection.id] { Close(id); });
}

void ExchangeServer::Respond(ExchangeId id, HttpResponse response) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  const uint64_t connection_id = found->second;
  exchanges_.erase(found);
  Connection& connection = *connections_.at(connection_id);
  connection.exchange = 0;
  connection.state_since = loop_.timers().now();
  const bool close = !keep_alive_ || !connection.client_keeps_alive ||
                     connection.input_overflow;
  RestartProgress(connection.progress, connection.moved(),
                  connection.state_since);
  std::string text = SerializeResponseHead(response, close);
  const bool has_body = !connection.head_request && !response.body.empty();
  if (has_body && response.body.size() <= kMaxCopiedBody) {
    connection.stream->Write(text.append(response.body));
  } else {
    connection.stream->Write(text);
    if (has_body) {
      connection.stream->WriteShared(
          std::make_shared<const std::string>(std::move(response.body)));
    }
  }
  if (close) CloseLater(connection);
  HoldResponse(connection_id);
  if (close || !connections_.contains(connection_id)) return;
  // The next pipelined request is passed on in a later iteration of the loop,
  // not from within this call.
  if (connection.has_input()) {
    loop_.Post([this, connection_id] {
      const auto again = connections_.find(connection_id);
      if (again != connections_.end() && again->second->exchange == 0 &&
          !again->second->closing) {
        ParseNextRequest(connection_id);
      }
    });
  }
}

void ExchangeServer::Drop(ExchangeId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  const uint64_t connection = found->second;
  exchanges_.erase(found);
  Close(connection);
}

void ExchangeServer::OnEnd(uint64_t id) { Close(id); }

void ExchangeServer::Close(uint64_t id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const ExchangeId exchange = found->second->exchange;
  connections_.erase(found);
  if (exchange == 0 || exchanges_.erase(exchange) == 0) return;
  handlers_.on_abandoned(exchange);
}

void ExchangeServer::StopAccepting() {
  if (listener_ == nullptr) return;
  // Closing the listener would reset the connections that the kernel has
  // established already.
  while (OnAcceptable()) {
  }
  listener_.reset();
}

void ExchangeServer::CloseIdle() {
  std::vector<uint64_t> idle;
  for (const auto& [id, connection] : connections_) {
    if (connection->exchange == 0 && connection->parser == nullptr &&
        !connection->has_input() && !connection->closing &&
        !connection->stream->HasUnreadData()) {
      idle.push_back(id);
    }
  }
  for (const uint64_t id : idle) Close(id);
}

void ExchangeServer::CloseTimedOut() {
  JudgeTransfers();
  EvictStalledReaders();
  const MonotonicTime now = loop_.timers().now();
  std::vector<uint64_t> timed_out;
  for (const auto& [id, connection] : connections_) {
    if (connection->exchange != 0 || connection->closing) continue;
    const bool reading_header =
        connection->parser != nullptr && !connection->parser->header_done();
    const bool idle = connection->parser == nullptr;
    if (reading_header &&
        now - connection->state_since > limits_.header_timeout)
      timed_out.push_back(id);
    if (idle && now - connection->state_since > limits_.idle_timeout)
      timed_out.push_back(id);
  }
  for (const uint64_t id : timed_out) Close(id);
}

}  // namespace mimosadeal
