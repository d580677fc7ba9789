// The callers' HTTP interface. It classifies and routes their requests, sends
// the responses, and cancels requests whose callers disconnect.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "net/http_server.h"
#include "requests/request_classifier.h"
#include "settings/settings.h"

namespace mimosadeal {

class ConfigurationManager;
class EventLoop;
class Metrics;
class Router;

class CallersApi {
 public:
  struct Environment {
    EventLoop& loop;
    const Settings& settings;
    const ConfigurationManager& configuration;
    Router& router;
    Metrics& metrics;
  };

  // Errors: kIo if the address cannot be listened on.
  static Result<std::unique_ptr<CallersApi>> Listen(Environment environment);

  // From now on each response closes its connection, so that callers move to
  // other hosts.
  void StopKeepAlive() { server_->StopKeepAlive(); }
  size_t open_requests() const { return server_->open_exchanges(); }

 private:
  struct OpenRequest {
    uint64_t handle = 0;  // From Router::Route; zero until Route has returned.
  };

  explicit CallersApi(Environment environment);

  void OnRequest(ExchangeId exchange, HttpRequest request);
  void OnAbandoned(ExchangeId exchange);
  void SendResponse(ExchangeId exchange, const std::string& service,
                    const std::string& rank, const std::string& tenant,
                    MonotonicTime arrived, DispatchReply reply);

  Environment environment_;
  std::unique_ptr<HttpServer> server_;
  // Invariant: holds the exchanges that await a reply of the router.
  std::unordered_map<ExchangeId, OpenRequest> open_;
};

}  // namespace mimosadeal
