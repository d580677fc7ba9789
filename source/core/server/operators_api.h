// The operators' HTTP interface: configuration, status, owners of keys, metrics
// and health.
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
    ConfigurationManager& configuration;
    Metrics& metrics;
  };

  // Errors: kIo if the address cannot be listened on.
  static Result<std::unique_ptr<OperatorsApi>> Listen(Environment environment);

 private:
  explicit OperatorsApi(Environment environment);

  void OnRequest(ExchangeId exchange, const HttpRequest& request);
  void OnGet(ExchangeId exchange, const HttpRequest& request);
  // Responds to /owner/`service_and_key`.
  void OnOwner(ExchangeId exchange, const std::string& service_and_key);
  void OnPatch(ExchangeId exchange, const HttpRequest& request);

  Environment environment_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace mimosadeal
