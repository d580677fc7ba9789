// A stand-in for an upstream: a number of slots, simulated work, and grants
// that it may check. It writes each execution to a record file, from which
// tests judge ownership and at-most-once.
//
// A request's query sets its behaviour: work_us=N (time to work), size=N (bytes
// of answer), truncate=1, crash=1, close=1 (closes in the middle of the
// answer's body).
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
  Duration
      work{};  // Mean time to work on a request, exponentially distributed.
  std::string record_path;  // Empty for no record.
  uint64_t seed = 1;
};

class UpstreamStandin {
 public:
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
  bool GrantHolds(const std::string& holder, uint32_t shard) const;
  void StartWaiting();
  void FinishExecution(ExchangeId exchange);
  void Answer(ExchangeId exchange, const Execution& execution);
  void RefuseUnrun(ExchangeId exchange, int status, const std::string& reason);
  void Record(const char* event, const Execution& execution, MonotonicTime at);

  EventLoop& loop_;
  UpstreamStandinOptions options_;
  std::unique_ptr<HttpServer> server_;
  Random random_;
  std::FILE* record_ = nullptr;
  GrantBody grant_;
  MonotonicTime grant_until_ = kNever;
  std::deque<ExchangeId> waiting_;
  std::map<ExchangeId, Execution> executions_;  // Waiting and running.
  int running_ = 0;
};

}  // namespace mimosadeal
