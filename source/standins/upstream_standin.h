// Stand-in for an upstream: slots, simulated work, and optional checks of
// grants. It writes each execution to a record file, on which tests check
// exclusive ownership and at-most-once execution.
// The query of a request sets its behaviour: work_us=N (time to run), size=N
// (bytes of the response body), truncate=1 (closes the connection in the middle
// of the response body), crash=1.
#pragma once

#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "net/http_server.h"
#include "upstream/upstream_protocol.h"

namespace mimosadeal {

class EventLoop;

struct UpstreamStandinOptions {
  SocketAddress address;
  std::string id;
  int slots = 2;
  bool checks_grants = true;
  // Mean time to run a request; the times are exponentially distributed.
  Duration work{};
  std::string record_path;  // Empty for no record.
  uint64_t seed = 1;
};

class UpstreamStandin {
 public:
  // Errors: those of HttpServer::Listen.
  static Result<std::unique_ptr<UpstreamStandin>> Listen(
      EventLoop& loop, UpstreamStandinOptions options);
  ~UpstreamStandin();

 private:
  struct Execution {
    HttpRequest request;
    std::string request_id;
    std::string key;  // The idempotency key.
    std::string holder;
    uint32_t shard = 0;
    MonotonicTime started;
  };

  UpstreamStandin(EventLoop& loop, UpstreamStandinOptions options);

  void OnRequest(ExchangeId exchange, HttpRequest request);
  void OnGrant(ExchangeId exchange, const HttpRequest& request);
  // Returns whether the current grant gives this shard to this holder. True if
  // grants are not checked.
  bool IsGranted(const std::string& holder, uint32_t shard) const;
  void StartQueued();
  void FinishExecution(ExchangeId exchange);
  void SendResponse(ExchangeId exchange, const Execution& execution);
  // Responds with the outcome "not run" and forgets the request.
  void Refuse(ExchangeId exchange, int status, const std::string& reason);
  void Record(const char* event, const Execution& execution, MonotonicTime at);

  EventLoop& loop_;
  UpstreamStandinOptions options_;
  std::unique_ptr<HttpServer> server_;
  Random random_;
  std::FILE* record_ = nullptr;
  GrantBody grant_;
  MonotonicTime grant_until_ = kNever;
  std::deque<ExchangeId> queue_;
  std::map<ExchangeId, Execution> executions_;  // Queued and running.
  int running_ = 0;
};

}  // namespace mimosadeal
