#include "net/http_server.h"

#include <libwebsockets.h>

#include <array>
#include <charconv>
#include <cstring>
#include <optional>
#include <unordered_map>
#include <utility>

#include "net/event_loop.h"
#include "net/lws_headers.h"

namespace mimosadeal {
namespace {

constexpr size_t kResponseHeaderBytes = 4096;
constexpr char kProtocolName[] = "http";

struct MethodToken {
  lws_token_indexes token;
  const char* method;
};

constexpr std::array<MethodToken, 7> kMethodTokens = {{
    {WSI_TOKEN_GET_URI, "GET"},
    {WSI_TOKEN_POST_URI, "POST"},
    {WSI_TOKEN_PUT_URI, "PUT"},
    {WSI_TOKEN_PATCH_URI, "PATCH"},
    {WSI_TOKEN_DELETE_URI, "DELETE"},
    {WSI_TOKEN_HEAD_URI, "HEAD"},
    {WSI_TOKEN_OPTIONS_URI, "OPTIONS"},
}};

// The standard headers that a request is read with, beside the custom ones.
constexpr std::array<HeaderToken, 13> kHeaderTokens = {{
    {WSI_TOKEN_HTTP_CONTENT_TYPE, "content-type"},
    {WSI_TOKEN_HTTP_ACCEPT, "accept"},
    {WSI_TOKEN_HTTP_ACCEPT_LANGUAGE, "accept-language"},
    {WSI_TOKEN_HTTP_AUTHORIZATION, "authorization"},
    {WSI_TOKEN_HTTP_COOKIE, "cookie"},
    {WSI_TOKEN_HTTP_IF_MATCH, "if-match"},
    {WSI_TOKEN_HTTP_IF_NONE_MATCH, "if-none-match"},
    {WSI_TOKEN_HTTP_USER_AGENT, "user-agent"},
    {WSI_TOKEN_HTTP_CONTENT_LENGTH, "content-length"},
    {WSI_TOKEN_HTTP_TRANSFER_ENCODING, "transfer-encoding"},
    {WSI_TOKEN_HTTP_EXPECT, "expect"},
    {WSI_TOKEN_HTTP_REFERER, "referer"},
    {WSI_TOKEN_HOST, "host"},
}};

// libwebsockets splits the query at ampersands and stores the parts.
std::string CopyQuery(lws* wsi) {
  std::string query;
  std::array<char, kMaxHeaderValueBytes + 1> buffer{};
  for (int part = 0;; ++part) {
    const int copied = lws_hdr_copy_fragment(wsi, buffer.data(),
                                             static_cast<int>(buffer.size()),
                                             WSI_TOKEN_HTTP_URI_ARGS, part);
    if (copied < 0) break;
    if (part > 0) query += '&';
    query.append(buffer.data(), static_cast<size_t>(copied));
  }
  return query;
}

// A request and its response, from the request's headers until the response is
// written.
struct Exchange {
  ExchangeId id = 0;
  lws* wsi = nullptr;
  HttpRequest request;
  size_t expected_body_bytes = 0;
  std::optional<HttpResponse> response;
  bool close_after_response = false;
};

struct SessionData {
  Exchange* exchange;
};

}  // namespace

class HttpServer::Impl {
 public:
  Impl(EventLoop& loop, HttpServerOptions options, HttpServerHandlers handlers)
      : loop_(loop),
        options_(std::move(options)),
        handlers_(std::move(handlers)) {}

  bool Listen();
  void Close();
  void Respond(ExchangeId id, HttpResponse response);
  void StopKeepAlive() { keep_alive_ = false; }
  size_t open_exchanges() const { return exchanges_.size(); }

  static int Callback(lws* wsi, lws_callback_reasons reason, void* user,
                      void* in, size_t length);

 private:
  int OnHeaders(lws* wsi, SessionData* session);
  int OnBody(SessionData* session, const char* data, size_t length);
  int OnWritable(lws* wsi, SessionData* session);
  void OnClosed(SessionData* session);
  void Deliver(Exchange& exchange);
  void Refuse(Exchange& exchange, int status, const std::string& detail);
  HttpRequest ReadRequest(lws* wsi) const;
  bool WriteResponse(lws* wsi, const Exchange& exchange) const;

  EventLoop& loop_;
  HttpServerOptions options_;
  HttpServerHandlers handlers_;
  lws_vhost* vhost_ = nullptr;
  bool keep_alive_ = true;
  ExchangeId next_id_ = 1;
  std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
};

namespace {

const std::array<lws_protocols, 2> kHttpProtocols = {{
    {kProtocolName, HttpServer::Impl::Callback, sizeof(SessionData), 0, 0,
     nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

}  // namespace

bool HttpServer::Impl::Listen() {
  lws_context_creation_info info{};
  info.port = options_.address.port;
  info.iface = options_.address.ip.c_str();
  info.protocols = kHttpProtocols.data();
  info.vhost_name = options_.name.c_str();
  info.user = this;
  info.keepalive_timeout = options_.idle_timeout_seconds;
  info.timeout_secs = static_cast<unsigned>(options_.request_timeout_seconds);
  // With IPv6 enabled, libwebsockets would listen on all addresses instead of
  // the given IPv4 address.
  const bool is_ipv4 = options_.address.ip.find(':') == std::string::npos;
  if (is_ipv4) info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
  vhost_ = lws_create_vhost(loop_.context(), &info);
  return vhost_ != nullptr &&
         lws_get_vhost_listen_port(vhost_) == options_.address.port;
}

void HttpServer::Impl::Close() {
  if (vhost_ != nullptr) lws_vhost_destroy(vhost_);
  vhost_ = nullptr;
}

int HttpServer::Impl::Callback(lws* wsi, lws_callback_reasons reason,
                               void* user, void* in, size_t length) {
  auto* session = static_cast<SessionData*>(user);
  lws_vhost* vhost = wsi != nullptr ? lws_get_vhost(wsi) : nullptr;
  auto* self = vhost != nullptr ? static_cast<Impl*>(lws_get_vhost_user(vhost))
                                : nullptr;
  if (self == nullptr) return 0;
  switch (reason) {
    case LWS_CALLBACK_HTTP:
      return self->OnHeaders(wsi, session);
    case LWS_CALLBACK_HTTP_BODY:
      return self->OnBody(session, static_cast<const char*>(in), length);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      if (session != nullptr && session->exchange != nullptr)
        self->Deliver(*session->exchange);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return self->OnWritable(wsi, session);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
      self->OnClosed(session);
      return 0;
    default:
      return lws_callback_http_dummy(wsi, reason, user, in, length);
  }
}

int HttpServer::Impl::OnHeaders(lws* wsi, SessionData* session) {
  auto exchange = std::make_unique<Exchange>();
  exchange->id = next_id_++;
  exchange->wsi = wsi;
  exchange->request = ReadRequest(wsi);
  Exchange& added = *exchange;
  session->exchange = exchange.get();
  exchanges_.emplace(added.id, std::move(exchange));

  const HttpHeaders& headers = added.request.headers;
  if (added.request.method.empty()) {
    Refuse(added, 501, "this method is not supported");
    return 0;
  }
  if (!FindHeader(headers, "transfer-encoding").empty()) {
    Refuse(added, 411,
           "a request body needs a content-length; transfer codings are not "
           "supported");
    return 0;
  }
  const std::string_view length_text = FindHeader(headers, "content-length");
  if (!length_text.empty()) {
    const auto parsed = std::from_chars(length_text.data(),
                                        length_text.data() + length_text.size(),
                                        added.expected_body_bytes);
    if (parsed.ec != std::errc() ||
        parsed.ptr != length_text.data() + length_text.size()) {
      Refuse(added, 400, "content-length is not a number");
      return 0;
    }
  }
  if (added.expected_body_bytes > options_.max_body_bytes) {
    Refuse(added, 413,
           "the body is larger than " +
               std::to_string(options_.max_body_bytes) + " bytes");
    return 0;
  }
  if (added.expected_body_bytes == 0) Deliver(added);
  return 0;
}

int HttpServer::Impl::OnBody(SessionData* session, const char* data,
                             size_t length) {
  if (session == nullptr || session->exchange == nullptr) return -1;
  Exchange& exchange = *session->exchange;
  if (exchange.response.has_value())
    return 0;  // Already refused; the rest of the body is ignored.
  if (exchange.request.body.size() + length > options_.max_body_bytes)
    return -1;
  exchange.request.body.append(data, length);
  return 0;
}

void HttpServer::Impl::Deliver(Exchange& exchange) {
  if (exchange.response.has_value()) return;
  lws_set_timeout(exchange.wsi, NO_PENDING_TIMEOUT, 0);
  handlers_.on_request(exchange.id, std::move(exchange.request));
}

void HttpServer::Impl::Refuse(Exchange& exchange, int status,
                              const std::string& detail) {
  exchange.close_after_response = true;
  Respond(exchange.id, handlers_.make_refusal(status, detail));
}

void HttpServer::Impl::Respond(ExchangeId id, HttpResponse response) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  Exchange& exchange = *found->second;
  if (exchange.response.has_value()) return;
  exchange.response = std::move(response);
  lws_callback_on_writable(exchange.wsi);
}

int HttpServer::Impl::OnWritable(lws* wsi, SessionData* session) {
  if (session == nullptr || session->exchange == nullptr) return 0;
  Exchange& exchange = *session->exchange;
  if (!exchange.response.has_value()) return 0;
  const bool written = WriteResponse(wsi, exchange);
  const bool close = exchange.close_after_response || !keep_alive_;
  const bool truncated = exchange.response->truncate_body;
  session->exchange = nullptr;
  exchanges_.erase(exchange.id);
  if (!written || truncated) return -1;
  if (close) {
    // Closes the connection after a second, so that libwebsockets can send what
    // it still buffers.
    if (lws_http_transaction_completed(wsi) != 0) return -1;
    lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_KEEPALIVE_IDLE, 1);
    return 0;
  }
  return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

void HttpServer::Impl::OnClosed(SessionData* session) {
  if (session == nullptr || session->exchange == nullptr) return;
  const ExchangeId id = session->exchange->id;
  session->exchange = nullptr;
  exchanges_.erase(id);
  handlers_.on_abandoned(id);
}

HttpRequest HttpServer::Impl::ReadRequest(lws* wsi) const {
  HttpRequest request;
  for (const MethodToken& entry : kMethodTokens) {
    if (lws_hdr_total_length(wsi, entry.token) <= 0) continue;
    request.method = entry.method;
    request.path = CopyHeader(wsi, entry.token);
    break;
  }
  request.query = CopyQuery(wsi);
  for (const HeaderToken& entry : kHeaderTokens) {
    std::string value = CopyHeader(wsi, entry.token);
    if (!value.empty())
      request.headers.push_back({entry.name, std::move(value)});
  }
  for (const std::string& name : options_.custom_headers) {
    std::string value = CopyCustomHeader(wsi, name);
    if (!value.empty()) request.headers.push_back({name, std::move(value)});
  }
  return request;
}

bool HttpServer::Impl::WriteResponse(lws* wsi, const Exchange& exchange) const {
  const HttpResponse& response = *exchange.response;
  const bool has_body =
      exchange.request.method != "HEAD" && !response.body.empty();
  // Headers and body share one buffer, so that one system call sends both.
  std::string buffer(LWS_PRE + kResponseHeaderBytes + response.body.size(),
                     '\0');
  auto* start = reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE;
  unsigned char* at = start;
  unsigned char* end = start + kResponseHeaderBytes;
  if (lws_add_http_header_status(wsi, static_cast<unsigned>(response.status),
                                 &at, end) != 0)
    return false;
  if (lws_add_http_header_content_length(wsi, response.body.size(), &at, end) !=
      0)
    return false;
  if (!response.content_type.empty() &&
      !AppendHeader(wsi, {"content-type", response.content_type}, &at, end)) {
    return false;
  }
  for (const HttpHeader& header : response.headers) {
    if (!AppendHeader(wsi, header, &at, end)) return false;
  }
  const bool close = exchange.close_after_response || !keep_alive_;
  if (close && !AppendHeader(wsi, {"connection", "close"}, &at, end))
    return false;
  if (lws_finalize_http_header(wsi, &at, end) != 0) return false;
  if (has_body) {
    const size_t length = response.truncate_body ? response.body.size() / 2
                                                 : response.body.size();
    std::memcpy(at, response.body.data(), length);
    at += length;
  }
  const size_t length = static_cast<size_t>(at - start);
  return lws_write(wsi, start, length, LWS_WRITE_HTTP_HEADERS) ==
         static_cast<int>(length);
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() { impl_->Close(); }

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    EventLoop& loop, HttpServerOptions options, HttpServerHandlers handlers) {
  const std::string address = options.address.ToString();
  auto impl =
      std::make_unique<Impl>(loop, std::move(options), std::move(handlers));
  if (!impl->Listen())
    return MakeError(ErrorCode::kIo,
                     "listening for HTTP on " + address + " failed");
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

void HttpServer::Respond(ExchangeId id, HttpResponse response) {
  impl_->Respond(id, std::move(response));
}

void HttpServer::StopKeepAlive() { impl_->StopKeepAlive(); }

size_t HttpServer::open_exchanges() const { return impl_->open_exchanges(); }

}  // namespace mimosadeal
