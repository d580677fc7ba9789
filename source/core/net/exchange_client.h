// An HTTP/1.1 client connection of the data path to an upstream or to the
// platform's store, with at most one request in flight.
//
// Unlike HttpClientConnection it checks that a response belongs to its request,
// accepts a body that is delimited by the end of the connection, and never
// reuses a connection on which unexpected bytes arrived.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/boot_clock.h"
#include "net/http_client_connection.h"
#include "net/http_codec.h"
#include "net/shared_body.h"
#include "net/socket_address.h"
#include "net/tcp_stream.h"

namespace mimosadeal {

class ByteHold;
class EventLoop;
struct ByteBudget;

struct ExchangeRequest {
  std::string method;
  std::string target;  // Percent-encoded, with the query.
  HttpHeaders headers;
  std::string body;
  SharedBody shared_body;  // Sent in place of `body` unless it is empty.
  Duration timeout = std::chrono::seconds(10);
  // A response that has begun may take longer than `timeout`, by up to
  // `max_extension`, as long as bytes arrive at least every `stall_timeout`.
  Duration stall_timeout{};
  Duration max_extension{};
  // Time for establishing a new connection. If it is zero, only `timeout`
  // applies.
  Duration connect_timeout{};
  // Sends on a new connection only after it has been established for one round
  // trip. Otherwise a peer that resets the connections above its limit could
  // receive a request of which it is unknown whether it ran.
  bool await_acceptance = false;
  // With await_acceptance: a request that is not sent before this time fails
  // with kTimeout, and nothing is written.
  MonotonicTime send_by = kForever;
  // Does not reuse a connection. On a used one, a late duplicate of an earlier
  // response to the same request could be mistaken for the response.
  bool require_new_connection = false;
  // Returns whether a response belongs to this request. Other responses are
  // dropped. If it is not set, every response is accepted. `reused` tells that
  // the connection carried earlier requests.
  std::function<bool(const HttpResponse&, bool reused)> accepts_response;
};

struct ExchangeResult {
  ClientFailure failure = ClientFailure::kNone;
  // How the connection ended, if that is why the exchange failed.
  StreamEnd end = StreamEnd::kNone;
  // False only if certainly no byte of the request left this process.
  bool request_written = false;
  // When the request was passed to the connection; kNever if it was not.
  MonotonicTime sent_at = kNever;
  // Whether a part of a response had arrived.
  bool response_started = false;
  // Whether the connection had carried earlier requests.
  bool reused = false;
  HttpResponse response;
};

class ExchangeClient {
 public:
  using Callback = std::function<void(ExchangeResult)>;

  ExchangeClient(EventLoop& loop, SocketAddress address,
                 HttpMessageLimits limits);
  // Closes the connection; a request in flight gets no callback.
  ~ExchangeClient();
  // Also limits the responses of this client by a budget that it shares. Beyond
  // the limit those responses fail that are larger than the mean, and beyond
  // twice the limit all large ones.
  void ShareBudget(std::shared_ptr<ByteBudget> budget);
  // What is unsent when this process ends does not reach the peer. To be called
  // before a connection is opened.
  void DiscardUnsentOnClose() { discards_unsent_ = true; }
  // See TcpStream. To be called before a connection is opened.
  void LimitDelivery(Duration limit) { delivery_limit_ = limit; }
  ExchangeClient(const ExchangeClient&) = delete;
  ExchangeClient& operator=(const ExchangeClient&) = delete;

  // Whether a connection is open that can carry the next request.
  bool reusable() const;
  bool busy() const { return static_cast<bool>(callback_); }
  bool connected() const { return stream_ != nullptr && connected_; }
  // Whether the connection was lost while it was idle, without the peer having
  // announced that it would close it. Reset when the next exchange starts.
  bool lost_while_idle() const { return lost_while_idle_; }
  // Whether any byte of the request in flight may have left this process.
  bool request_written() const { return RequestWritten(); }
  MonotonicTime idle_since() const { return idle_since_; }
  // How long the peer keeps an idle connection open, according to its latest
  // Keep-Alive header; zero if it sent none.
  Duration peer_idle_timeout() const { return peer_idle_timeout_; }
  // Sends a request, over a new connection if there is no reusable one. The
  // callback may destroy this object.
  void Start(ExchangeRequest request, Callback callback);
  // Opens a connection for a later request. No connection may be open and no
  // request in flight. `done` receives whether the connection was established;
  // it is called once, never from within this call.
  void Open(Duration timeout, std::function<void(bool connected)> done);
  // Closes the connection. The request in flight gets no callback.
  void Abort();

 private:
  void OnData(std::string_view bytes);
  void OnEnd(StreamEnd end);
  void OnTimeout();
  void OnConnectTimeout();
  void OnConnected();
  void FinishOpening(bool connected);
  bool Connect(Duration timeout);
  size_t ReceiveLimit() const;
  bool ExceedsBudget() const;
  void Complete(ParsedHttpResponse text);
  void Finish(ExchangeResult result);
  void CloseStream();
  void ResetStream();
  void SendRequest();
  void OnAccepted();
  bool RequestWritten() const;

  EventLoop& loop_;
  SocketAddress address_;
  HttpMessageLimits limits_;
  std::unique_ptr<TcpStream> stream_;
  std::unique_ptr<HttpResponseParser> parser_;
  std::string input_;
  ExchangeRequest request_;
  Callback callback_;
  uint64_t timeout_ = 0;
  uint64_t connect_timeout_ = 0;
  uint64_t acceptance_timer_ = 0;
  bool connected_ = false;
  bool reused_ = false;
  MonotonicTime connect_started_at_ = kNever;
  std::function<void(bool)> on_opened_;  // Set while Open is in progress.
  size_t bytes_received_ = 0;  // Bytes received since the request started.
  MonotonicTime last_data_at_ = kNever;    // Of these bytes.
  MonotonicTime extended_until_ = kNever;  // See max_extension.
  std::shared_ptr<ByteBudget> budget_;     // Null if there is none.
  std::unique_ptr<ByteHold> hold_;         // Of the response in progress.
  // Not passed to the connection yet; see ExchangeRequest::await_acceptance.
  std::string unsent_request_;      // Without a shared body.
  MonotonicTime sent_at_ = kNever;  // See ExchangeResult::sent_at.
  // The connection must not carry another request, because unexpected bytes
  // arrived, the last request was not sent completely, or the peer announced
  // that it closes the connection.
  bool must_not_reuse_ = false;
  bool lost_while_idle_ = false;
  bool discards_unsent_ = false;
  Duration delivery_limit_{};  // Zero: that of all connections.
  // Bytes of earlier requests on this connection.
  uint64_t bytes_sent_before_ = 0;
  MonotonicTime idle_since_ = kNever;
  Duration peer_idle_timeout_{};
};

}  // namespace mimosadeal
