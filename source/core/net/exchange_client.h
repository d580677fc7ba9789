// One HTTP/1.1 connection of the data path to an upstream or to the platform's
// store, with at most one request in flight.
//
// Unlike HttpClientConnection it matches a response to its request, accepts a
// body that ends with its connection, and never reuses a connection on which
// bytes arrived that belong to no request.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/boot_clock.h"
#include "net/http_client_connection.h"
#include "net/http_codec.h"
#include "net/socket_address.h"
#include "net/tcp_stream.h"

namespace mimosadeal {

class EventLoop;

struct ExchangeRequest {
  std::string method;
  std::string target;  // Encoded, with the query.
  HttpHeaders headers;
  std::string body;
  Duration timeout = std::chrono::seconds(10);
  // For a new connection to be established; zero leaves it to `timeout`.
  Duration connect_timeout{};
  // Sends on a new connection only after it has stood for a round trip, so that
  // a peer that resets the connections above its limit gets no request that may
  // or may not have run.
  bool await_acceptance = false;
  // Not sent from then on, if the connection was awaited for so long: the
  // exchange fails with kTimeout, and nothing was written.
  MonotonicTime send_by = kForever;
  // Not on a connection that was used before: there, a late second copy of an
  // earlier answer to the same request would be taken for this one's.
  bool require_new_connection = false;
  // Whether a response belongs to this request; without it every one does. A
  // response that does not is dropped, and the wait goes on. `reused`: earlier
  // requests went over the same connection.
  std::function<bool(const HttpResponse&, bool reused)> accepts_response;
};

struct ExchangeResult {
  ClientFailure failure = ClientFailure::kNone;
  // How the connection ended, when that is what failed.
  StreamEnd end = StreamEnd::kNone;
  // False only when it is certain that no byte of the request left this
  // process.
  bool request_written = false;
  // When the request was handed to the connection; kNever if it was not.
  MonotonicTime sent_at = kNever;
  // A response had begun to arrive when the exchange failed.
  bool response_started = false;
  // Set when the request was sent on a connection that an earlier one had used.
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
  ExchangeClient(const ExchangeClient&) = delete;
  ExchangeClient& operator=(const ExchangeClient&) = delete;

  // Whether a request may be sent on the connection that is open.
  bool reusable() const;
  bool busy() const { return static_cast<bool>(callback_); }
  bool connected() const { return stream_ != nullptr && connected_; }
  // Whether a connection that had carried an exchange ended, without an
  // announcement by the peer, since the last exchange began.
  bool lost_while_idle() const { return lost_while_idle_; }
  // Whether any byte of the request in flight may have left this process.
  bool request_written() const { return RequestWritten(); }
  MonotonicTime idle_since() const { return idle_since_; }
  // How long the peer keeps an idle connection, as it said last; zero if it
  // never did.
  Duration peer_idle_timeout() const { return peer_idle_timeout_; }
  // Sends a request, over a new connection when none is open. The callback may
  // destroy this object.
  void Start(ExchangeRequest request, Callback callback);
  // Opens a connection for a request to come, none being open or in flight.
  // `done` tells whether it stands; it runs later, once.
  void Open(Duration timeout, std::function<void(bool connected)> done);
  // Closes the connection; the request in flight gets no callback.
  void Abort();

 private:
  void OnData(std::string_view bytes);
  void OnEnd(StreamEnd end);
  void OnTimeout();
  void OnConnectTimeout();
  void OnConnected();
  void FinishOpening(bool connected);
  bool Connect(Duration timeout);
  size_t MostBytes() const;
  void Complete(ParsedHttpResponse text);
  void Finish(ExchangeResult result);
  void CloseStream();
  void Discard();
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
  MonotonicTime connect_began_ = kNever;
  std::function<void(bool)> on_opened_;  // Set while Open is under way.
  size_t received_ = 0;                  // Bytes since the request was sent.
  // Not handed to the connection yet; see ExchangeRequest::await_acceptance.
  std::string unsent_;
  MonotonicTime sent_at_ = kNever;  // See ExchangeResult::sent_at.
  // Bytes arrived, or the peer announced an end, so that the connection must
  // not carry another request.
  bool spoiled_ = false;
  bool lost_while_idle_ = false;
  uint64_t sent_before_ = 0;  // By earlier requests on this connection.
  MonotonicTime idle_since_ = kNever;
  Duration peer_idle_timeout_{};
};

}  // namespace mimosadeal
