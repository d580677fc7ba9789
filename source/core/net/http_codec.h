// Parses and serializes HTTP/1.1 messages, with the parsers of Boost.Beast.
//
// The data path uses them instead of the server and client of libwebsockets:
// libwebsockets 4.1 does not decode chunked request bodies, treats bytes after
// a response as the next response, and cannot tell a body that is delimited by
// the end of its connection from a truncated one.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_message.h"

namespace mimosadeal {

// Parsers leave an input buffer of at most this capacity to the next bytes, and
// give the memory of a larger one back.
inline constexpr size_t kMaxKeptInputBytes = size_t{4} * 1024;

enum class ParseState : uint8_t { kNeedMore, kDone, kMalformed, kTooLarge };

// A parsed message, and whether its connection can carry another one.
struct ParsedHttpRequest {
  HttpRequest request;
  bool keep_alive = false;
};

struct ParsedHttpResponse {
  HttpResponse response;
  bool keep_alive = false;
};

struct HttpMessageLimits {
  size_t max_header_bytes = 0;
  size_t max_body_bytes = 0;
};

class HttpRequestParser {
 public:
  explicit HttpRequestParser(HttpMessageLimits limits);
  ~HttpRequestParser();
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  // Parses bytes from the front of `input` and removes them from it. Stops at
  // the end of the request.
  ParseState Feed(std::string& input);
  bool header_done() const;
  // After header_done: the length that the header states for the body, or, if
  // it states none, what its buffer takes.
  size_t expected_body_bytes() const;
  // After header_done: what the header lines take while the request waits for
  // its response. A short line takes many times its length.
  size_t head_bytes() const { return head_bytes_; }
  // Whether the caller waits for "100 Continue" before it sends the body.
  bool expects_continue() const;
  // Returns the request. Call only once, after kDone.
  ParsedHttpRequest Take();
  // The status for refusing a request: 431 or 413 after kTooLarge, 400 after
  // kMalformed.
  int refusal_status() const { return refusal_status_; }

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
  size_t head_bytes_ = 0;
  int refusal_status_ = 400;
};

class HttpResponseParser {
 public:
  HttpResponseParser(HttpMessageLimits limits, bool head_request);
  ~HttpResponseParser();
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  ParseState Feed(std::string& input);
  // Call when the peer has closed the connection in order, which completes a
  // body without a length.
  ParseState FeedEnd();
  bool started() const { return started_; }
  // As HttpRequestParser::head_bytes; 0 before the header is complete.
  size_t head_bytes() const { return head_bytes_; }
  ParsedHttpResponse Take();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
  size_t head_bytes_ = 0;
  bool started_ = false;
};

// Return the bytes of a message up to its body. A content-length header is
// added where HTTP allows one.
std::string SerializeRequestHead(std::string_view method,
                                 std::string_view target,
                                 const HttpHeaders& headers, size_t body_bytes);
std::string SerializeResponseHead(const HttpResponse& response, bool close);
// Return the bytes of a message.
std::string SerializeRequest(std::string_view method, std::string_view target,
                             const HttpHeaders& headers, std::string_view body);
std::string SerializeResponse(const HttpResponse& response, bool head_request,
                              bool close);

// Whether a header must not be forwarded because it concerns one connection
// only (RFC 9110, section 7.6.1) or the framing of a body. `name` is in lower
// case.
bool IsHopByHopHeader(std::string_view name);

}  // namespace mimosadeal
