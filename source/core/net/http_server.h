// An HTTP/1.1 server on libwebsockets that hands over whole requests and takes
// whole responses.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/error.h"
#include "net/http_message.h"
#include "net/socket_address.h"

struct lws_vhost;

namespace mimosadeal {

class EventLoop;

// Identifies one request that waits for its response. Never reused within a
// process.
using ExchangeId = uint64_t;

struct HttpServerOptions {
  SocketAddress address;
  std::string
      name;  // For libwebsockets' own records; must be unique in the process.
  size_t max_body_bytes = 0;
  int idle_timeout_seconds = 60;
  // Bounds the time that a caller may take to send a request.
  int request_timeout_seconds = 10;
  // Names of custom headers (lower case) to read besides the standard ones.
  std::vector<std::string> custom_headers;
};

struct HttpServerHandlers {
  std::function<void(ExchangeId, HttpRequest&&)> on_request;
  // The caller closed its connection before the response was given.
  std::function<void(ExchangeId)> on_abandoned;
  // Answers a request that the server itself refuses (too large, malformed)
  // with a problem body.
  std::function<HttpResponse(int status, const std::string& detail)>
      make_refusal;
};

class HttpServer {
 public:
  // Errors: kIo when the address cannot be listened on.
  static Result<std::unique_ptr<HttpServer>> Listen(
      EventLoop& loop, HttpServerOptions options, HttpServerHandlers handlers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Answers an exchange. Does nothing when its caller has gone.
  void Respond(ExchangeId id, HttpResponse response);
  // From now on each response closes its connection, so that callers move to
  // other hosts.
  void StopKeepAlive();
  // Requests that wait for a response or whose response is not fully written.
  size_t open_exchanges() const;

  class Impl;

 private:
  explicit HttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace mimosadeal
