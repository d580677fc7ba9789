// One HTTP/1.1 client connection that is kept open and carries at most one
// request at a time.
//
// libwebsockets shares connections within a virtual host and queues requests
// behind one another on them. A virtual host for each of these objects gives
// one connection, one request in flight.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/boot_clock.h"
#include "net/http_message.h"
#include "net/socket_address.h"

namespace mimosadeal {

class EventLoop;

enum class ClientFailure : uint8_t {
  kNone,
  kNotConnected,  // No byte of the request was written.
  kClosed,        // The connection closed before the response was complete.
  kTimeout,
  kTooLarge,
  kMalformed,
  kAborted,  // Abort was called.
};

std::string_view ClientFailureName(ClientFailure failure);

struct ClientRequest {
  std::string method;
  std::string path;  // Encoded, with the query.
  HttpHeaders headers;
  std::string body;
  Duration timeout = std::chrono::seconds(10);
};

struct ClientResponse {
  ClientFailure failure = ClientFailure::kNone;
  // False only when it is certain that no byte of the request left this
  // process.
  bool request_written = false;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

struct HttpClientOptions {
  SocketAddress address;
  size_t max_response_bytes = 0;
  // Names of custom response headers (lower case) to read besides the standard
  // ones.
  std::vector<std::string> custom_headers;
};

class HttpClientConnection {
 public:
  using Callback = std::function<void(ClientResponse)>;

  HttpClientConnection(EventLoop& loop, HttpClientOptions options);
  // Closes the connection; a request in flight gets no callback.
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  bool busy() const;
  // Sends a request; the connection must not be busy. The callback runs later,
  // never from within this call, with the connection no longer busy.
  void Start(ClientRequest request, Callback callback);
  // Closes the connection under the request in flight, whose callback then gets
  // kAborted.
  void Abort();

  class Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace mimosadeal
