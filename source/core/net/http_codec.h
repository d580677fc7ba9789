// Reads and writes HTTP/1.1 messages as bytes, on Boost.Beast's parsers.
//
// The data path uses these instead of libwebsockets' own server and client:
// libwebsockets 4.1 does not decode chunked request bodies, takes bytes after a
// response as the next one, and cannot tell a body that ended with its
// connection from one that was cut off.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_message.h"

namespace mimosadeal {

enum class ParseState : uint8_t { kNeedMore, kDone, kMalformed, kTooLarge };

// What a parser knows of the connection after a message.
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

  // Takes bytes from the front of `input` and drops what was taken.
  ParseState Feed(std::string& input);
  bool header_done() const;
  // Whether the client waits for "100 Continue" before it sends the body.
  bool expects_continue() const;
  // Only after kDone.
  ParsedHttpRequest Take();
  // The status that refuses a request after kTooLarge: 431 or 413.
  int refusal_status() const { return refusal_status_; }

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
  int refusal_status_ = 400;
};

class HttpResponseParser {
 public:
  HttpResponseParser(HttpMessageLimits limits, bool head_request);
  ~HttpResponseParser();
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  ParseState Feed(std::string& input);
  // The peer ended the connection in order: a body without a length is whole.
  ParseState FeedEnd();
  bool started() const { return started_; }
  ParsedHttpResponse Take();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
  bool started_ = false;
};

// Returns the bytes of a request or response with a content-length.
std::string SerializeRequest(std::string_view method, std::string_view target,
                             const HttpHeaders& headers, std::string_view body);
std::string SerializeResponse(const HttpResponse& response, bool head_request,
                              bool close);

// Whether a header concerns one connection only (RFC 9110, section 7.6.1) or
// the framing of a body; it is not forwarded. `name` is in lower case.
bool IsHopByHopHeader(std::string_view name);

}  // namespace mimosadeal
