// An HTTP/1.1 server based on libwebsockets. Its user receives complete
// requests and supplies complete responses.
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

// Identifies a request that waits for its response. Never reused within a
// process.
using ExchangeId = uint64_t;

struct HttpServerOptions {
  SocketAddress address;
  std::string
      name;  // Of the virtual host in libwebsockets; unique in the process.
  size_t max_body_bytes = 0;
  int idle_timeout_seconds = 60;
  // Maximum time for a caller to send a request.
  int request_timeout_seconds = 10;
  // Names (lower case) of the headers to read in addition to the standard ones.
  std::vector<std::string> custom_headers;
};

struct HttpServerHandlers {
  std::function<void(ExchangeId, HttpRequest&&)> on_request;
  // The caller's connection closed before its response was sent.
  std::function<void(ExchangeId)> on_abandoned;
  // Makes the response to a request that the server itself refuses because it
  // is malformed or too large.
  std::function<HttpResponse(int status, const std::string& detail)>
      make_refusal;
};

class HttpServer {
 public:
  // Errors: kIo if listening on the address fails.
  static Result<std::unique_ptr<HttpServer>> Listen(
      EventLoop& loop, HttpServerOptions options, HttpServerHandlers handlers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Sends the response of an exchange. Does nothing if its caller has
  // disconnected.
  void Respond(ExchangeId id, HttpResponse response);
  // From now on the server closes each connection after its next response, so
  // that callers connect to other hosts.
  void StopKeepAlive();
  // Number of requests that wait for a response or for it to be written.
  size_t open_exchanges() const;

  class Impl;

 private:
  explicit HttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace mimosadeal
