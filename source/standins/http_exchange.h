// An HTTP client for tests, benches and the demo: whole exchanges, one after
// another or many at once.
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

  // Sends a request and waits for its answer.
  ClientResponse Call(const std::string& address, ClientRequest request);
  // Sends a request on a connection of its own or an idle one; `callback` runs
  // with the answer.
  void Start(const std::string& address, ClientRequest request,
             Callback callback);

  void RunFor(Duration duration);
  // Runs until `condition` holds. Returns false when `limit` passed before.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

  size_t in_flight() const { return in_flight_; }

 private:
  struct Pooled {
    std::unique_ptr<HttpClientConnection> connection;
    bool busy = false;
  };

  Pooled& FreeConnection(const std::string& address);

  EventLoop loop_;
  std::map<std::string, std::deque<Pooled>> pools_;
  size_t in_flight_ = 0;
};

}  // namespace mimosadeal
