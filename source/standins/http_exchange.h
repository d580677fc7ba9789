// HTTP client for tests, benchmarks and the demo. Requests run one at a time or
// concurrently.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client_connection.h"

namespace mimosadeal {

class HttpExchange {
 public:
  using Callback = std::function<void(const ClientResponse&)>;

  HttpExchange();

  EventLoop& loop() { return loop_; }

  // Sends a request and waits for its response.
  ClientResponse Call(const std::string& address, ClientRequest request);
  // Sends a request on an idle connection, or on a new one if there is none.
  // Calls `callback` with the response.
  void Start(const std::string& address, ClientRequest request,
             Callback callback);

  // Runs the loop for `duration`.
  void RunFor(Duration duration);
  // Runs the loop until `condition` returns true. Returns false if `limit`
  // passes before.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

  size_t in_flight() const { return in_flight_; }

 private:
  struct PooledConnection {
    std::unique_ptr<HttpClientConnection> connection;
    bool busy = false;
  };

  PooledConnection& IdleConnection(const std::string& address);

  EventLoop loop_;
  std::map<std::string, std::deque<PooledConnection>> pools_;
  size_t in_flight_ = 0;
};

}  // namespace mimosadeal
