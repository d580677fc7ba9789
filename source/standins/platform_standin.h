// Stand-in for the platform: versioned objects with conditional updates and
// watches, a host list that shows changes late, and faults that tests inject.
// Everything is kept in memory.
//
// - GET /v1/objects/NAME: the version is the ETag.
// - PUT /v1/objects/NAME, with If-Match or If-None-Match: *.
// - GET /v1/watch/NAME?after=VERSION: responds once the version differs, or 304
//   after a timeout.
// - GET /v1/hosts: the list of hosts.
// - POST /admin/hosts: sets the list of hosts.
// - POST /admin/faults: sets the faults, a JSON object of the members of
//   PlatformFaults.
// - GET /admin/objects/NAME; POST sets the value unconditionally.
// - GET /admin/counts: the numbers of reads, writes and watches.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "net/http_server.h"

namespace mimosadeal {

class EventLoop;

struct PlatformStandinOptions {
  SocketAddress address;
  // Delay until the host list shows a change.
  Duration host_list_lag{};
};

// Don't affect /admin requests.
struct PlatformFaults {
  // Responds 503 to all requests.
  bool refuse = false;
  // Accepts requests, does nothing and never responds.
  bool silent = false;
  // Applies writes, but sends no response to them.
  bool lose_replies = false;
  // Delays all requests.
  int delay_ms = 0;
};

class PlatformStandin {
 public:
  // Errors: those of HttpServer::Listen.
  static Result<std::unique_ptr<PlatformStandin>> Listen(
      EventLoop& loop, PlatformStandinOptions options);

 private:
  struct Object {
    uint64_t version = 0;
    std::string value;
  };

  struct Watcher {
    ExchangeId exchange = 0;
    std::string name;
    uint64_t known = 0;  // Version that the watcher has.
  };

  PlatformStandin(EventLoop& loop, PlatformStandinOptions options);

  void OnRequest(ExchangeId exchange, const HttpRequest& request);
  void HandleRequest(ExchangeId exchange, const HttpRequest& request);
  void OnAdmin(ExchangeId exchange, const HttpRequest& request);
  void GetObject(ExchangeId exchange, const std::string& name);
  void PutObject(ExchangeId exchange, const HttpRequest& request,
                 const std::string& name);
  void Watch(ExchangeId exchange, const HttpRequest& request,
             const std::string& name);
  void NotifyWatchers(const std::string& name);
  void SendResponse(ExchangeId exchange, int status, std::string body,
                    uint64_t version = 0);

  EventLoop& loop_;
  PlatformStandinOptions options_;
  std::unique_ptr<HttpServer> server_;
  PlatformFaults faults_;
  std::map<std::string, Object> objects_;
  std::vector<Watcher> watchers_;
  std::string hosts_ = "[]";
  uint64_t next_version_ = 1;
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
  uint64_t watches_ = 0;
};

}  // namespace mimosadeal
