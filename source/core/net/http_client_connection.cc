#include "net/http_client_connection.h"

#include <libwebsockets.h>

#include <array>
#include <atomic>
#include <utility>

#include "common/enum_names.h"
#include "net/event_loop.h"
#include "net/lws_headers.h"

namespace mimosadeal {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr EnumNames<ClientFailure, 7> kClientFailureNames = {{
    {ClientFailure::kNone, "none"},
    {ClientFailure::kNotConnected, "not connected"},
    {ClientFailure::kClosed, "closed"},
    {ClientFailure::kTimeout, "timeout"},
    {ClientFailure::kTooLarge, "too large"},
    {ClientFailure::kMalformed, "malformed"},
    {ClientFailure::kAborted, "aborted"},
}};

constexpr char kProtocolName[] = "http-client";
constexpr size_t kReadBytes = 16 * 1024;

constexpr std::array<HeaderToken, 6> kResponseTokens = {{
    {WSI_TOKEN_HTTP_CONTENT_TYPE, "content-type"},
    {WSI_TOKEN_HTTP_CONTENT_LENGTH, "content-length"},
    {WSI_TOKEN_HTTP_TRANSFER_ENCODING, "transfer-encoding"},
    {WSI_TOKEN_HTTP_ETAG, "etag"},
    {WSI_TOKEN_HTTP_RETRY_AFTER, "retry-after"},
    {WSI_TOKEN_HTTP_LOCATION, "location"},
}};

std::string NextVhostName() {
  static uint64_t count = 0;
  return "client-" + std::to_string(++count);
}

}  // namespace

std::string_view ClientFailureName(ClientFailure failure) {
  return NameOf(kClientFailureNames, failure);
}

class HttpClientConnection::Impl
    : public std::enable_shared_from_this<HttpClientConnection::Impl> {
 public:
  Impl(EventLoop& loop, HttpClientOptions options)
      : loop_(loop),
        options_(std::move(options)),
        vhost_name_(NextVhostName()) {}

  void CreateVhost();
  void Destroy();
  bool busy() const { return static_cast<bool>(callback_); }
  void Start(ClientRequest request, Callback callback);
  void AbortWith(ClientFailure failure);

  static int LwsCallback(lws* wsi, lws_callback_reasons reason, void* user,
                         void* in, size_t length);

 private:
  void Connect();
  int OnLwsEvent(lws* wsi, lws_callback_reasons reason, void* in,
                 size_t length);
  int AppendHeaders(lws* wsi, void* in, size_t length);
  int WriteBody(lws* wsi);
  int OnResponseHeaders(lws* wsi);
  int ReadBody(lws* wsi);
  // Ends the request in flight. The callback runs in the next iteration of the
  // loop, because libwebsockets does not treat the connection as idle until the
  // current one is over.
  void Finish(ClientFailure failure);
  void DetachWsi();

  EventLoop& loop_;
  HttpClientOptions options_;
  std::string vhost_name_;
  lws_vhost* vhost_ = nullptr;
  // The transaction in flight. Null between requests, although libwebsockets
  // keeps the connection open.
  lws* wsi_ = nullptr;
  ClientRequest request_;
  ClientResponse response_;
  Callback callback_;
  TimerId timeout_ = kNoTimer;
  bool finishing_ = false;
  bool destroyed_ = false;
};

namespace {

const std::array<lws_protocols, 2> kClientProtocols = {{
    {kProtocolName, HttpClientConnection::Impl::LwsCallback, 0, 0, 0, nullptr,
     0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

}  // namespace

void HttpClientConnection::Impl::CreateVhost() {
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = kClientProtocols.data();
  info.vhost_name = vhost_name_.c_str();
  info.keepalive_timeout = 60;
  vhost_ = lws_create_vhost(loop_.context(), &info);
}

void HttpClientConnection::Impl::Destroy() {
  destroyed_ = true;
  callback_ = nullptr;
  loop_.timers().Cancel(timeout_);
  DetachWsi();
  if (vhost_ != nullptr) lws_vhost_destroy(vhost_);
  vhost_ = nullptr;
}

void HttpClientConnection::Impl::DetachWsi() {
  if (wsi_ == nullptr) return;
  lws_set_opaque_user_data(wsi_, nullptr);
  lws_set_timeout(wsi_, PENDING_TIMEOUT_KILLED_BY_PARENT, LWS_TO_KILL_ASYNC);
  wsi_ = nullptr;
}

void HttpClientConnection::Impl::Start(ClientRequest request,
                                       Callback callback) {
  request_ = std::move(request);
  response_ = ClientResponse{};
  callback_ = std::move(callback);
  finishing_ = false;
  timeout_ =
      loop_.timers().After(request_.timeout, [self = shared_from_this()] {
        self->timeout_ = kNoTimer;
        self->AbortWith(ClientFailure::kTimeout);
      });
  Connect();
}

void HttpClientConnection::Impl::Connect() {
  lws_client_connect_info info{};
  info.context = loop_.context();
  info.vhost = vhost_;
  info.address = options_.address.ip.c_str();
  info.port = options_.address.port;
  // libwebsockets reuses a connection only if host and address are the same
  // string.
  info.host = info.address;
  info.path = request_.path.c_str();
  info.method = request_.method.c_str();
  info.protocol = kProtocolName;
  info.local_protocol_name = kProtocolName;
  info.ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  info.opaque_user_data = this;
  info.pwsi = &wsi_;
  if (lws_client_connect_via_info(&info) == nullptr) {
    wsi_ = nullptr;
    Finish(ClientFailure::kNotConnected);
  }
}

void HttpClientConnection::Impl::AbortWith(ClientFailure failure) {
  if (!callback_ || finishing_) return;
  DetachWsi();
  Finish(failure);
}

void HttpClientConnection::Impl::Finish(ClientFailure failure) {
  if (!callback_ || finishing_) return;
  finishing_ = true;
  response_.failure = failure;
  loop_.timers().Cancel(timeout_);
  timeout_ = kNoTimer;
  loop_.Post([self = shared_from_this()] {
    if (self->destroyed_) return;
    Callback callback = std::move(self->callback_);
    self->callback_ = nullptr;
    callback(std::move(self->response_));
  });
}

int HttpClientConnection::Impl::LwsCallback(lws* wsi,
                                            lws_callback_reasons reason,
                                            void* /*user*/, void* in,
                                            size_t length) {
  if (wsi == nullptr) return 0;
  auto* self = static_cast<Impl*>(lws_get_opaque_user_data(wsi));
  if (self == nullptr || self->destroyed_) return 0;
  return self->OnLwsEvent(wsi, reason, in, length);
}

int HttpClientConnection::Impl::OnLwsEvent(lws* wsi,
                                           lws_callback_reasons reason,
                                           void* in, size_t length) {
  switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return AppendHeaders(wsi, in, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return WriteBody(wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      return OnResponseHeaders(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return ReadBody(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      if (response_.body.size() + length > options_.max_response_bytes) {
        lws_set_opaque_user_data(wsi, nullptr);
        wsi_ = nullptr;
        Finish(ClientFailure::kTooLarge);
        return -1;
      }
      response_.body.append(static_cast<const char*>(in), length);
      return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      lws_set_opaque_user_data(wsi, nullptr);
      wsi_ = nullptr;
      Finish(ClientFailure::kNone);
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      lws_set_opaque_user_data(wsi, nullptr);
      wsi_ = nullptr;
      Finish(ClientFailure::kClosed);
      return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      lws_set_opaque_user_data(wsi, nullptr);
      wsi_ = nullptr;
      Finish(response_.request_written ? ClientFailure::kClosed
                                       : ClientFailure::kNotConnected);
      return 0;
    default:
      return 0;
  }
}

int HttpClientConnection::Impl::AppendHeaders(lws* wsi, void* in,
                                              size_t length) {
  // libwebsockets writes the headers right after this call, so from here on
  // bytes may have left.
  response_.request_written = true;
  auto** at = static_cast<unsigned char**>(in);
  unsigned char* end = *at + length;
  HttpHeaders headers = request_.headers;
  if (!request_.body.empty())
    headers.push_back({"content-length", std::to_string(request_.body.size())});
  for (const HttpHeader& header : headers) {
    if (!AppendHeader(wsi, header, at, end)) {
      response_.request_written = false;
      return -1;
    }
  }
  if (!request_.body.empty()) {
    lws_client_http_body_pending(wsi, 1);
    lws_callback_on_writable(wsi);
  }
  return 0;
}

int HttpClientConnection::Impl::WriteBody(lws* wsi) {
  if (request_.body.empty()) return 0;
  std::string buffer(LWS_PRE, '\0');
  buffer += request_.body;
  auto* start = reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE;
  const int written =
      lws_write(wsi, start, request_.body.size(), LWS_WRITE_HTTP_FINAL);
  lws_client_http_body_pending(wsi, 0);
  request_.body.clear();
  return written < 0 ? -1 : 0;
}

int HttpClientConnection::Impl::OnResponseHeaders(lws* wsi) {
  loop_.SkipNextWait();
  response_.status = static_cast<int>(lws_http_client_http_response(wsi));
  for (const HeaderToken& entry : kResponseTokens) {
    std::string value = CopyHeader(wsi, entry.token);
    if (!value.empty())
      response_.headers.push_back({entry.name, std::move(value)});
  }
  for (const std::string& name : options_.custom_headers) {
    std::string value = CopyCustomHeader(wsi, name);
    if (!value.empty()) response_.headers.push_back({name, std::move(value)});
  }
  // If only the end of the connection delimits a response, a truncated one
  // cannot be recognised.
  const bool delimited =
      !FindHeader(response_.headers, "content-length").empty() ||
      !FindHeader(response_.headers, "transfer-encoding").empty() ||
      response_.status == 204 || response_.status == 304;
  const bool is_answer =
      response_.status >= kFirstFinalStatus && response_.status <= kLastStatus;
  if (delimited && is_answer) return 0;
  lws_set_opaque_user_data(wsi, nullptr);
  wsi_ = nullptr;
  Finish(ClientFailure::kMalformed);
  return -1;
}

int HttpClientConnection::Impl::ReadBody(lws* wsi) {
  std::array<char, LWS_PRE + kReadBytes> buffer;
  char* at = buffer.data() + LWS_PRE;
  int length = static_cast<int>(kReadBytes);
  return lws_http_client_read(wsi, &at, &length) < 0 ? -1 : 0;
}

HttpClientConnection::HttpClientConnection(EventLoop& loop,
                                           HttpClientOptions options)
    : impl_(std::make_shared<Impl>(loop, std::move(options))) {
  impl_->CreateVhost();
}

HttpClientConnection::~HttpClientConnection() { impl_->Destroy(); }

bool HttpClientConnection::busy() const { return impl_->busy(); }

void HttpClientConnection::Start(ClientRequest request, Callback callback) {
  impl_->Start(std::move(request), std::move(callback));
}

void HttpClientConnection::Abort() {
  impl_->AbortWith(ClientFailure::kAborted);
}

}  // namespace mimosadeal
