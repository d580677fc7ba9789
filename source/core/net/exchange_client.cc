#include "net/exchange_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "net/event_loop.h"

namespace mimosadeal {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr char kTimeoutParameter[] = "timeout=";
// A reset leaves the peer when the connection reaches it, half a round trip
// after it stands here.
constexpr int kAcceptanceRoundTrips = 1;
// For the peer to accept the connection; links between zones take 1 ms.
constexpr Duration kAcceptanceSlack = std::chrono::milliseconds(1);
// Of a slow link; a connection that took longer lost a packet.
constexpr Duration kLongestAcceptance = std::chrono::milliseconds(20);

// Returns the timeout of a Keep-Alive header, or zero when there is none.
Duration ParseKeepAlive(std::string_view value) {
  const size_t at = value.find(kTimeoutParameter);
  if (at == std::string_view::npos) return {};
  value.remove_prefix(at + sizeof(kTimeoutParameter) - 1);
  int64_t seconds = 0;
  std::from_chars(value.data(), value.data() + value.size(), seconds);
  return std::chrono::seconds(seconds);
}

}  // namespace

ExchangeClient::ExchangeClient(EventLoop& loop, SocketAddress address,
                               HttpTextLimits limits)
    : loop_(loop), address_(std::move(address)), limits_(limits) {}

ExchangeClient::~ExchangeClient() {
  loop_.timers().Cancel(timeout_);
  loop_.timers().Cancel(connect_timeout_);
  loop_.timers().Cancel(acceptance_timer_);
}

bool ExchangeClient::reusable() const {
  return stream_ != nullptr && !busy() && !spoiled_;
}

void ExchangeClient::Start(ExchangeRequest request, Callback callback) {
  if (!reusable()) CloseStream();
  lost_while_idle_ = false;
  request_ = std::move(request);
  callback_ = std::move(callback);
  parser_ =
      std::make_unique<HttpResponseParser>(limits_, request_.method == "HEAD");
  timeout_ = loop_.timers().After(request_.timeout, [this] { OnTimeout(); });
  unsent_ = WriteRequest(request_.method, request_.target, request_.headers,
                         request_.body);
  request_.body.clear();
  reused_ = stream_ != nullptr;
  if (!reused_ && !Connect()) {
    // The callback must not run from within this call.
    loop_.timers().Cancel(timeout_);
    timeout_ = loop_.timers().After(Duration::zero(), [this] {
      ExchangeResult result;
      result.failure = ClientFailure::kNotConnected;
      result.end = StreamEnd::kFailed;
      Finish(std::move(result));
    });
    return;
  }
  sent_before_ = stream_->bytes_sent();
  if (!reused_ && request_.await_acceptance) return;
  stream_->Write(std::exchange(unsent_, {}));
}

bool ExchangeClient::Connect() {
  auto stream = TcpStream::Connect(
      loop_, address_,
      TcpStreamHandlers{[this] { OnConnected(); },
                        [this](std::string_view bytes) { OnData(bytes); },
                        [this](StreamEnd end) { OnEnd(end); }});
  if (!stream.has_value()) return false;
  stream_ = std::move(stream.value());
  connected_ = false;
  connect_began_ = loop_.timers().now();
  if (request_.connect_timeout > Duration::zero()) {
    connect_timeout_ = loop_.timers().After(request_.connect_timeout,
                                            [this] { OnConnectTimeout(); });
  }
  return true;
}

void ExchangeClient::OnConnected() {
  connected_ = true;
  if (!request_.await_acceptance) return;
  const Duration took = loop_.timers().now() - connect_began_;
  const Duration wait = std::min(
      took * kAcceptanceRoundTrips + kAcceptanceSlack, kLongestAcceptance);
  acceptance_timer_ = loop_.timers().After(wait, [this] {
    acceptance_timer_ = 0;
    if (busy() && stream_ != nullptr)
      stream_->Write(std::exchange(unsent_, {}));
  });
}

void ExchangeClient::OnData(std::string_view bytes) {
  input_.append(bytes);
  if (!busy()) {
    spoiled_ = true;
    input_.clear();
    return;
  }
  while (busy()) {
    const ParseState state = parser_->Feed(input_);
    if (state == ParseState::kNeedMore) return;
    if (state != ParseState::kDone) {
      ExchangeResult result;
      result.failure = state == ParseState::kTooLarge
                           ? ClientFailure::kTooLarge
                           : ClientFailure::kMalformed;
      result.request_written = true;
      result.response_started = true;
      CloseStream();
      Finish(std::move(result));
      return;
    }
    HttpResponseText text = parser_->Take();
    parser_ = std::make_unique<HttpResponseParser>(limits_,
                                                   request_.method == "HEAD");
    const bool interim = text.response.status < kFirstFinalStatus;
    const bool foreign =
        request_.is_answer && !request_.is_answer(text.response);
    if (!interim && !foreign) {
      Complete(std::move(text));
      return;
    }
    if (foreign) spoiled_ = true;
  }
}

void ExchangeClient::Complete(HttpResponseText text) {
  ExchangeResult result;
  result.request_written = true;
  result.response_started = true;
  // A response to a request that is not wholly sent leaves the rest of the body
  // due on the connection.
  if (!text.keep_alive || !input_.empty() || !unsent_.empty() ||
      stream_->queued_bytes() > 0)
    spoiled_ = true;
  const Duration announced =
      ParseKeepAlive(FindHeader(text.response.headers, "keep-alive"));
  if (announced > Duration::zero()) peer_idle_timeout_ = announced;
  result.response = std::move(text.response);
  idle_since_ = loop_.timers().now();
  if (spoiled_) CloseStream();
  Finish(std::move(result));
}

void ExchangeClient::OnEnd(StreamEnd end) {
  if (!busy()) {
    CloseStream();
    lost_while_idle_ = true;
    return;
  }
  if (end == StreamEnd::kClosedByPeer &&
      parser_->FeedEnd() == ParseState::kDone) {
    HttpResponseText text = parser_->Take();
    text.keep_alive = false;
    if (!request_.is_answer || request_.is_answer(text.response)) {
      Complete(std::move(text));
      return;
    }
  }
  ExchangeResult result;
  result.end = end;
  result.request_written = RequestWritten();
  result.response_started = parser_->started();
  result.failure = result.request_written ? ClientFailure::kClosed
                                          : ClientFailure::kNotConnected;
  CloseStream();
  Finish(std::move(result));
}

void ExchangeClient::OnTimeout() {
  ExchangeResult result;
  result.failure = ClientFailure::kTimeout;
  result.request_written = RequestWritten();
  result.response_started = parser_->started();
  Discard();
  Finish(std::move(result));
}

void ExchangeClient::OnConnectTimeout() {
  if (!busy() || connected_) return;
  ExchangeResult result;
  result.failure = ClientFailure::kNotConnected;
  result.end = StreamEnd::kFailed;
  CloseStream();
  Finish(std::move(result));
}

void ExchangeClient::Finish(ExchangeResult result) {
  loop_.timers().Cancel(timeout_);
  loop_.timers().Cancel(connect_timeout_);
  result.reused = reused_;
  timeout_ = 0;
  Callback callback = std::exchange(callback_, nullptr);
  if (callback) callback(std::move(result));
}

void ExchangeClient::Abort() {
  loop_.timers().Cancel(timeout_);
  loop_.timers().Cancel(connect_timeout_);
  timeout_ = 0;
  const bool was_busy = busy();
  callback_ = nullptr;
  lost_while_idle_ = false;
  if (was_busy) {
    Discard();
  } else {
    CloseStream();
  }
}

// The request must not reach the upstream once it has been given up.
void ExchangeClient::Discard() {
  if (stream_ != nullptr) stream_->DiscardUnsent();
  CloseStream();
}

bool ExchangeClient::RequestWritten() const {
  return stream_ != nullptr && stream_->bytes_sent() > sent_before_;
}

void ExchangeClient::CloseStream() {
  loop_.timers().Cancel(acceptance_timer_);
  acceptance_timer_ = 0;
  unsent_.clear();
  stream_.reset();
  input_.clear();
  connected_ = false;
  spoiled_ = false;
}

}  // namespace mimosadeal
