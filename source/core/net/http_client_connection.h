// A persistent HTTP/1.1 client connection with at most one request in flight.
//
// libwebsockets shares connections within a virtual host and pipelines requests
// on them. Each object has a virtual host of its own, and thus one connection.
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
  kAborted,  // By a call of Abort.
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
  // False only if certainly no byte of the request left this process.
  bool request_written = false;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

struct HttpClientOptions {
  SocketAddress address;
  size_t max_response_bytes = 0;
  // Names (lower case) of the response headers to read in addition to the
  // standard ones.
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
  // Sends a request; the connection must not be busy. The callback never runs
  // from within this call, and the connection is no longer busy when it runs.
  void Start(ClientRequest request, Callback callback);
  // Closes the connection. The request in flight fails with kAborted.
  void Abort();

  class Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace mimosadeal
