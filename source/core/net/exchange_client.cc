#include "net/exchange_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "net/byte_budget.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

constexpr int kFirstFinalStatus = 200;
// A body up to this size is copied, so that one call sends it with its head.
constexpr size_t kMaxCopiedBody = 16 * 1024;
// Limit on the received bytes, as a multiple of the largest response: a whole
// response, and as many bytes of interim and rejected responses before it.
constexpr size_t kReceiveLimitFactor = 2;
// Of their part of the budget, what unfinished responses may take before all
// large ones fail: as much as a lone one and the small ones may.
constexpr size_t kMaxPartExcess = 2;
// Limits the announced timeout, so that times do not overflow.
constexpr int64_t kMaxKeepAliveSeconds = 3600;
constexpr char kTimeoutParameter[] = "timeout=";
// The connection is complete at the peer half a round trip after it is
// established here. A reset by the peer takes another half to arrive.
constexpr int kAcceptanceRoundTrips = 1;
// Time for the peer to accept the connection. Links between zones take 1 ms.
constexpr Duration kAcceptanceMargin = std::chrono::milliseconds(1);
// Round trip of a slow link. A connection that took longer to establish lost a
// packet.
constexpr Duration kMaxAcceptanceWait = std::chrono::milliseconds(20);

// Returns the timeout in a Keep-Alive header, or zero if it has none.
Duration ParseKeepAlive(std::string_view value) {
  const size_t at = value.find(kTimeoutParameter);
  if (at == std::string_view::npos) return {};
  value.remove_prefix(at + sizeof(kTimeoutParameter) - 1);
  int64_t seconds = 0;
  std::from_chars(value.data(), value.data() + value.size(), seconds);
  return std::chrono::seconds(
      std::clamp<int64_t>(seconds, 0, kMaxKeepAliveSeconds));
}

}  // namespace

ExchangeClient::ExchangeClient(EventLoop& loop, SocketAddress address,
                               HttpMessageLimits limits)
    : loop_(loop), address_(std::move(address)), limits_(limits) {}

ExchangeClient::~ExchangeClient() {
  loop_.timers().Cancel(timeout_);
  loop_.timers().Cancel(connect_timeout_);
  loop_.timers().Cancel(acceptance_timer_);
}

void ExchangeClient::ShareBudget(std::shared_ptr<ByteBudget> budget) {
  budget_ = std::move(budget);
  hold_ = std::make_unique<ByteHold>(budget_, ByteUse::kUpstreamResponses);
}

bool ExchangeClient::reusable() const {
  return stream_ != nullptr && !busy() && !must_not_reuse_;
}

void ExchangeClient::Open(Duration timeout, std::function<void(bool)> done) {
  CloseStream();
  lost_while_idle_ = false;
  request_ = {};
  on_opened_ = std::move(done);
  if (Connect(timeout)) return;
  loop_.timers().Cancel(connect_timeout_);
  connect_timeout_ =
      loop_.timers().After(Duration::zero(), [this] { FinishOpening(false); });
}

void ExchangeClient::FinishOpening(bool connected) {
  loop_.timers().Cancel(connect_timeout_);
  connect_timeout_ = 0;
  if (!connected) CloseStream();
  idle_since_ = loop_.timers().now();
  const auto done = std::exchange(on_opened_, nullptr);
  if (done) done(connected);
}

void ExchangeClient::Start(ExchangeRequest request, Callback callback) {
  if (!reusable() || request.require_new_connection) CloseStream();
  bytes_received_ = 0;
  last_data_at_ = kNever;
  sent_at_ = kNever;
  lost_while_idle_ = false;
  request_ = std::move(request);
  callback_ = std::move(callback);
  parser_ =
      std::make_unique<HttpResponseParser>(limits_, request_.method == "HEAD");
  timeout_ = loop_.timers().After(request_.timeout, [this] { OnTimeout(); });
  extended_until_ =
      loop_.timers().now() + request_.timeout + request_.max_extension;
  if (request_.shared_body.empty()) {
    unsent_request_ = SerializeRequest(request_.method, request_.target,
                                       request_.headers, request_.body);
  } else {
    unsent_request_ =
        SerializeRequestHead(request_.method, request_.target, request_.headers,
                             std::string_view(request_.shared_body).size());
  }
  request_.headers = {};
  request_.body = {};
  reused_ = stream_ != nullptr;
  if (!reused_ && !Connect(request_.connect_timeout)) {
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
  bytes_sent_before_ = stream_->bytes_sent();
  if (!reused_ && request_.await_acceptance) return;
  SendRequest();
}

void ExchangeClient::SendRequest() {
  sent_at_ = loop_.timers().now();
  std::string head = std::exchange(unsent_request_, {});
  const SharedBody body = std::exchange(request_.shared_body, {});
  if (std::string_view(body).size() <= kMaxCopiedBody) {
    stream_->Write(head.append(body));
    return;
  }
  stream_->Write(head);
  stream_->WriteShared(body.pointer());
}

bool ExchangeClient::Connect(Duration timeout) {
  auto stream = TcpStream::Connect(
      loop_, address_,
      TcpStreamHandlers{[this] { OnConnected(); },
                        [this](std::string_view bytes) { OnData(bytes); },
                        [this](StreamEnd end) { OnEnd(end); }});
  if (!stream.has_value()) return false;
  stream_ = std::move(stream.value());
  if (discards_unsent_) stream_->DiscardUnsentOnClose();
  if (delivery_limit_ > Duration::zero())
    stream_->LimitDelivery(delivery_limit_);
  connected_ = false;
  connect_started_at_ = loop_.timers().now();
  if (timeout > Duration::zero()) {
    connect_timeout_ =
        loop_.timers().After(timeout, [this] { OnConnectTimeout(); });
  }
  return true;
}

void ExchangeClient::OnConnected() {
  connected_ = true;
  if (on_opened_) {
    FinishOpening(true);
    return;
  }
  if (!request_.await_acceptance) return;
  const Duration took = loop_.timers().now() - connect_started_at_;
  const Duration wait = std::min(
      took * kAcceptanceRoundTrips + kAcceptanceMargin, kMaxAcceptanceWait);
  acceptance_timer_ = loop_.timers().After(wait, [this] {
    acceptance_timer_ = 0;
    if (busy() && stream_ != nullptr) OnAccepted();
  });
}

void ExchangeClient::OnAccepted() {
  if (loop_.timers().now() < request_.send_by) {
    SendRequest();
    return;
  }
  ExchangeResult result;
  result.failure = ClientFailure::kTimeout;
  CloseStream();
  Finish(std::move(result));
}

void ExchangeClient::OnData(std::string_view bytes) {
  if (!busy()) {
    // No response is expected, and the amount of data may be unlimited.
    CloseStream();
    lost_while_idle_ = true;
    return;
  }
  input_.append(bytes);
  bytes_received_ += bytes.size();
  last_data_at_ = loop_.timers().now();
  while (busy()) {
    ParseState state = parser_->Feed(input_);
    if (hold_ != nullptr) hold_->Set(bytes_received_ + parser_->head_bytes());
    if (state == ParseState::kNeedMore &&
        (bytes_received_ > ReceiveLimit() || ExceedsBudget()))
      state = ParseState::kTooLarge;
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
    ParsedHttpResponse text = parser_->Take();
    parser_ = std::make_unique<HttpResponseParser>(limits_,
                                                   request_.method == "HEAD");
    const bool interim = text.response.status < kFirstFinalStatus;
    const bool rejected = request_.accepts_response &&
                          !request_.accepts_response(text.response, reused_);
    if (!interim && !rejected) {
      Complete(std::move(text));
      return;
    }
    if (rejected) must_not_reuse_ = true;
  }
}

size_t ExchangeClient::ReceiveLimit() const {
  return kReceiveLimitFactor *
         (limits_.max_header_bytes + limits_.max_body_bytes);
}

bool ExchangeClient::ExceedsBudget() const {
  if (hold_ == nullptr) return false;
  const BytePart& part = PartOf(*budget_, ByteUse::kUpstreamResponses);
  if (part.used <= part.small_reserve) return false;
  const bool above_total = ExceedsTotal(*budget_);
  if (part.holders == 1 && hold_->bytes() <= part.single_limit)
    return above_total;
  if (hold_->bytes() > kSmallHolderBytes &&
      part.used / kMaxPartExcess > part.limit)
    return true;
  return (above_total || part.used > part.limit) &&
         hold_->bytes() * part.holders >= part.used;
}

void ExchangeClient::Complete(ParsedHttpResponse text) {
  ExchangeResult result;
  result.request_written = true;
  result.response_started = true;
  // If the response arrives before the request is sent completely, the peer
  // still expects the rest of the body on this connection.
  if (!text.keep_alive || !input_.empty() || !unsent_request_.empty() ||
      stream_->queued_bytes() > 0)
    must_not_reuse_ = true;
  const Duration announced =
      ParseKeepAlive(FindHeader(text.response.headers, "keep-alive"));
  if (announced > Duration::zero()) peer_idle_timeout_ = announced;
  result.response = std::move(text.response);
  idle_since_ = loop_.timers().now();
  if (must_not_reuse_) CloseStream();
  Finish(std::move(result));
}

void ExchangeClient::OnEnd(StreamEnd end) {
  if (on_opened_) {
    FinishOpening(false);
    return;
  }
  if (!busy()) {
    CloseStream();
    lost_while_idle_ = true;
    return;
  }
  if (end == StreamEnd::kClosedByPeer &&
      parser_->FeedEnd() == ParseState::kDone) {
    ParsedHttpResponse text = parser_->Take();
    text.keep_alive = false;
    if (!request_.accepts_response ||
        request_.accepts_response(text.response, reused_)) {
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
  const Duration left =
      std::min(last_data_at_ + request_.stall_timeout, extended_until_) -
      loop_.timers().now();
  if (parser_->started() && left > Duration::zero()) {
    timeout_ = loop_.timers().After(left, [this] { OnTimeout(); });
    return;
  }
  ExchangeResult result;
  result.failure = ClientFailure::kTimeout;
  result.request_written = RequestWritten();
  result.response_started = parser_->started();
  ResetStream();
  Finish(std::move(result));
}

void ExchangeClient::OnConnectTimeout() {
  if (on_opened_) {
    FinishOpening(false);
    return;
  }
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
  result.sent_at = sent_at_;
  timeout_ = 0;
  if (hold_ != nullptr) hold_->Set(0);
  Callback callback = std::exchange(callback_, nullptr);
  if (callback) callback(std::move(result));
}

void ExchangeClient::Abort() {
  loop_.timers().Cancel(timeout_);
  loop_.timers().Cancel(connect_timeout_);
  timeout_ = 0;
  const bool was_busy = busy();
  if (hold_ != nullptr) hold_->Set(0);
  callback_ = nullptr;
  on_opened_ = nullptr;
  lost_while_idle_ = false;
  if (was_busy) {
    ResetStream();
  } else {
    CloseStream();
  }
}

// Resets the connection, so that an abandoned request does not reach the
// upstream later.
void ExchangeClient::ResetStream() {
  if (stream_ != nullptr) stream_->DiscardUnsent();
  CloseStream();
}

bool ExchangeClient::RequestWritten() const {
  return stream_ != nullptr && stream_->bytes_sent() > bytes_sent_before_;
}

void ExchangeClient::CloseStream() {
  loop_.timers().Cancel(acceptance_timer_);
  acceptance_timer_ = 0;
  unsent_request_.clear();
  request_.shared_body = {};
  stream_.reset();
  input_.clear();
  connected_ = false;
  must_not_reuse_ = false;
}

}  // namespace mimosadeal
