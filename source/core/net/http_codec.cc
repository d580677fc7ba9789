#include "net/http_codec.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cctype>
#include <iterator>

#include "net/growing_body.h"

namespace mimosadeal {
namespace {

namespace http = boost::beast::http;

constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "content-length",
    "expect",
    "proxy-authentication"};

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// The parser takes any three digits for a status.
constexpr unsigned kLowestStatus = 100;
constexpr unsigned kHighestStatus = 599;
// Only a request that asks for it may get it, and none does.
constexpr unsigned kSwitchingProtocols = 101;

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

// What a header line takes beside its text: two strings, or a node of the
// parser.
constexpr size_t kBytesPerHeaderLine = 96;
// Of the text: in the request, and serialized for an upstream.
constexpr size_t kCopiesOfHead = 2;

template <typename Fields>
size_t HeadBytes(const Fields& fields, size_t target_bytes) {
  size_t text = target_bytes;
  size_t lines = 0;
  for (const auto& field : fields) {
    text += field.name_string().size() + field.value().size();
    ++lines;
  }
  return lines * kBytesPerHeaderLine + text * kCopiesOfHead;
}

template <typename Fields>
HttpHeaders CopyHeaders(const Fields& fields) {
  HttpHeaders headers;
  headers.reserve(
      static_cast<size_t>(std::distance(fields.begin(), fields.end())));
  for (const auto& field : fields) {
    const auto name = field.name_string();
    const auto value = field.value();
    headers.push_back({Lower({name.data(), name.size()}),
                       std::string(value.data(), value.size())});
  }
  return headers;
}

template <typename Parser>
bool ExceedsBodyLimit(const Parser& parser, size_t max_body_bytes) {
  if (!parser.is_header_done()) return false;
  const auto length = parser.content_length();
  // A message that is done may state a length and have no body.
  const bool will_exceed =
      !parser.is_done() && length.has_value() && *length > max_body_bytes;
  return will_exceed || parser.get().body().size() > max_body_bytes;
}

// Removes the first bytes, and gives back the memory that a received body took.
void RemoveParsed(std::string& input, size_t parsed) {
  input.erase(0, parsed);
  if (input.capacity() > kMaxKeptInputBytes &&
      input.size() <= input.capacity() / 2)
    input.shrink_to_fit();
}

uint32_t HeaderLimit(const HttpMessageLimits& limits) {
  return static_cast<uint32_t>(
      std::min<size_t>(limits.max_header_bytes, UINT32_MAX));
}

// Feeds the parser until it needs more input or the message ends, and removes
// the parsed bytes from `input`. What it leaves there after the header is the
// begin of a chunk's header or of the trailers, which have the header's limit.
template <typename Parser>
ParseState FeedParser(Parser& parser, HttpMessageLimits limits,
                      std::string& input, boost::beast::error_code& error) {
  size_t parsed = 0;
  error = {};
  while (!parser.is_done() && parsed < input.size()) {
    const size_t used = parser.put(
        boost::asio::buffer(input.data() + parsed, input.size() - parsed),
        error);
    parsed += used;
    if (error == http::error::need_more) {
      error = {};
      if (used == 0) break;
      continue;
    }
    if (error || used == 0) break;
    if (ExceedsBodyLimit(parser, limits.max_body_bytes)) break;
    // An eager parser would go from the header on to the body even if the
    // stated length exceeds the limit.
    parser.eager(parser.is_header_done());
  }
  RemoveParsed(input, parsed);
  if (!error && !parser.is_done() && parser.is_header_done() &&
      input.size() > limits.max_header_bytes)
    error = http::error::header_limit;
  if (!error && ExceedsBodyLimit(parser, limits.max_body_bytes))
    error = http::error::body_limit;
  if (error == http::error::header_limit || error == http::error::body_limit)
    return ParseState::kTooLarge;
  if (error) return ParseState::kMalformed;
  return parser.is_done() ? ParseState::kDone : ParseState::kNeedMore;
}

// Whether the head is complete and not counted yet, or trailers, which are kept
// among the header lines, may have been added to it.
template <typename Parser>
bool MustCountHead(const Parser& parser, ParseState state, size_t counted) {
  return parser.is_header_done() &&
         (counted == 0 || state == ParseState::kDone);
}

void AppendHeaderLines(const HttpHeaders& headers, std::string& text) {
  for (const HttpHeader& header : headers) {
    text += header.name;
    text += ": ";
    text += header.value;
    text += "\r\n";
  }
}

}  // namespace

struct HttpRequestParser::Impl {
  http::request_parser<GrowingBody> parser;
  HttpMessageLimits limits;
};

HttpRequestParser::HttpRequestParser(HttpMessageLimits limits)
    : impl_(std::make_unique<Impl>()) {
  impl_->limits = limits;
  impl_->parser.header_limit(HeaderLimit(limits));
  impl_->parser.body_limit(limits.max_body_bytes);
}

HttpRequestParser::~HttpRequestParser() = default;

ParseState HttpRequestParser::Feed(std::string& input) {
  boost::beast::error_code error;
  const ParseState state =
      FeedParser(impl_->parser, impl_->limits, input, error);
  if (MustCountHead(impl_->parser, state, head_bytes_)) {
    const auto& message = impl_->parser.get();
    head_bytes_ = HeadBytes(message, message.target().size());
  }
  if (state == ParseState::kTooLarge) {
    refusal_status_ =
        error == http::error::header_limit ? kHeaderTooLarge : kContentTooLarge;
  } else if (state == ParseState::kMalformed) {
    refusal_status_ = kBadRequest;
  }
  return state;
}

bool HttpRequestParser::header_done() const {
  return impl_->parser.is_header_done();
}

size_t HttpRequestParser::expected_body_bytes() const {
  const auto length = impl_->parser.content_length();
  return length ? static_cast<size_t>(*length)
                : impl_->parser.get().body().capacity();
}

bool HttpRequestParser::expects_continue() const {
  const auto value = impl_->parser.get()[http::field::expect];
  return Lower({value.data(), value.size()}) == "100-continue";
}

ParsedHttpRequest HttpRequestParser::Take() {
  ParsedHttpRequest text;
  text.keep_alive = impl_->parser.keep_alive();
  auto message = impl_->parser.release();
  const auto method = message.method_string();
  const auto target = message.target();
  text.request.method.assign(method.data(), method.size());
  text.request.target.assign(target.data(), target.size());
  const size_t mark = text.request.target.find('?');
  text.request.path = text.request.target.substr(0, mark);
  if (mark != std::string::npos)
    text.request.query = text.request.target.substr(mark + 1);
  text.request.headers = CopyHeaders(message);
  text.request.body = message.body().TakeAll();
  return text;
}

struct HttpResponseParser::Impl {
  http::response_parser<GrowingBody> parser;
  HttpMessageLimits limits;

  // Whether the header, once it is complete, has a status that a response may
  // have.
  bool has_status() const {
    const unsigned status = parser.get().result_int();
    return status >= kLowestStatus && status <= kHighestStatus &&
           status != kSwitchingProtocols;
  }
};

HttpResponseParser::HttpResponseParser(HttpMessageLimits limits,
                                       bool head_request)
    : impl_(std::make_unique<Impl>()) {
  impl_->limits = limits;
  impl_->parser.header_limit(HeaderLimit(limits));
  impl_->parser.body_limit(limits.max_body_bytes);
  impl_->parser.skip(head_request);
}

HttpResponseParser::~HttpResponseParser() = default;

ParseState HttpResponseParser::Feed(std::string& input) {
  if (!input.empty()) started_ = true;
  boost::beast::error_code error;
  const ParseState state =
      FeedParser(impl_->parser, impl_->limits, input, error);
  if (MustCountHead(impl_->parser, state, head_bytes_))
    head_bytes_ = HeadBytes(impl_->parser.get(), 0);
  const bool is_none = impl_->parser.is_header_done() && !impl_->has_status();
  return is_none ? ParseState::kMalformed : state;
}

ParseState HttpResponseParser::FeedEnd() {
  if (!impl_->parser.is_header_done() || !impl_->has_status())
    return ParseState::kMalformed;
  boost::beast::error_code error;
  impl_->parser.put_eof(error);
  if (error || !impl_->parser.is_done()) return ParseState::kMalformed;
  return ParseState::kDone;
}

ParsedHttpResponse HttpResponseParser::Take() {
  ParsedHttpResponse text;
  text.keep_alive = impl_->parser.keep_alive();
  auto message = impl_->parser.release();
  text.response.status = static_cast<int>(message.result_int());
  text.response.content_type.clear();
  text.response.headers = CopyHeaders(message);
  text.response.body = message.body().TakeAll();
  return text;
}

std::string SerializeRequestHead(std::string_view method,
                                 std::string_view target,
                                 const HttpHeaders& headers,
                                 size_t body_bytes) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeaderLines(headers, text);
  if (body_bytes > 0 || method == "POST" || method == "PUT" ||
      method == "PATCH") {
    text += "content-length: " + std::to_string(body_bytes) + "\r\n";
  }
  text += "\r\n";
  return text;
}

std::string SerializeRequest(std::string_view method, std::string_view target,
                             const HttpHeaders& headers,
                             std::string_view body) {
  return SerializeRequestHead(method, target, headers, body.size())
      .append(body);
}

std::string SerializeResponseHead(const HttpResponse& response, bool close) {
  std::string text;
  const auto reason = http::obsolete_reason(
      http::int_to_status(static_cast<unsigned>(response.status)));
  text += "HTTP/1.1 " + std::to_string(response.status) + " ";
  text.append(reason.data(), reason.size()).append("\r\n");
  if (!response.content_type.empty())
    text += "content-type: " + response.content_type + "\r\n";
  AppendHeaderLines(response.headers, text);
  if (response.status != kNoContent && response.status != kNotModified)
    text += "content-length: " + std::to_string(response.body.size()) + "\r\n";
  if (close) text += "connection: close\r\n";
  text += "\r\n";
  return text;
}

std::string SerializeResponse(const HttpResponse& response, bool head_request,
                              bool close) {
  std::string text = SerializeResponseHead(response, close);
  if (!head_request) text += response.body;
  return text;
}

bool IsHopByHopHeader(std::string_view name) {
  return std::find(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), name) !=
         kHopByHopHeaders.end();
}

}  // namespace mimosadeal
