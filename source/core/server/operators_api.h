// The administration interface over HTTP: configuration, status, owners,
// metrics and health.
#pragma once

#include <memory>
#include <string>

#include "net/http_server.h"
#include "server/status_report.h"

namespace mimosadeal {

class EventLoop;

class OperatorsApi {
 public:
  struct Environment {
    EventLoop& loop;
    StatusSources sources;
    ConfigurationKeeper& configuration;
    Metrics& metrics;
  };

  // Errors: kIo when the address cannot be listened on.
  static Result<std::unique_ptr<OperatorsApi>> Listen(Environment environment);

 private:
  explicit OperatorsApi(Environment environment);

  void OnRequest(ExchangeId exchange, const HttpRequest& request);
  void OnGet(ExchangeId exchange, const HttpRequest& request);
  void OnOwner(ExchangeId exchange, const std::string& rest);
  void OnPatch(ExchangeId exchange, const HttpRequest& request);

  Environment environment_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace mimosadeal
