// The callers' HTTP interface: takes requests in, answers them, and forgets
// those whose callers go.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "net/http_server.h"
#include "requests/request_classifier.h"
#include "settings/settings.h"

namespace mimosadeal {

class ConfigurationKeeper;
class EventLoop;
class Metrics;
class Router;

class CallersApi {
 public:
  struct Environment {
    EventLoop& loop;
    const Settings& settings;
    const ConfigurationKeeper& configuration;
    Router& router;
    Metrics& metrics;
  };

  // Errors: kIo when the address cannot be listened on.
  static Result<std::unique_ptr<CallersApi>> Listen(Environment environment);

  // From now on each answer closes its connection, so that callers move to
  // other hosts.
  void StopKeepAlive() { server_->StopKeepAlive(); }
  size_t open_requests() const { return server_->open_exchanges(); }

 private:
  struct OpenRequest {
    uint64_t handle = 0;  // The router's; zero until it is known.
  };

  explicit CallersApi(Environment environment);

  void OnRequest(ExchangeId exchange, HttpRequest request);
  void OnAbandoned(ExchangeId exchange);
  void Answer(ExchangeId exchange, const std::string& service,
              const std::string& rank, const std::string& tenant,
              MonotonicTime arrived, DispatchReply reply);

  Environment environment_;
  std::unique_ptr<HttpServer> server_;
  // Invariant: holds the exchanges whose answer is awaited from the router.
  std::unordered_map<ExchangeId, OpenRequest> open_;
};

}  // namespace mimosadeal
