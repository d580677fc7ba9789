// A stand-in for the platform: versioned objects with conditional updates and
// watches, a host list that lags, and faults that a test turns on. It keeps
// everything in memory.
//
//   GET /v1/objects/NAME, PUT with If-Match or If-None-Match: *; the version is
//   the ETag GET /v1/watch/NAME?after=VERSION   answers when the version
//   differs, or 304 after a while GET /v1/hosts POST /admin/hosts (the new
//   list), /admin/faults, /admin/objects/NAME (sets a value unconditionally)
//   GET /admin/counts
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
  // The host list shows changes after this time.
  Duration host_list_lag{};
};

struct PlatformFaults {
  bool refuse = false;  // Answers 503 to everything.
  bool silent = false;  // Takes requests, does nothing and never answers.
  bool lose_replies =
      false;  // Does what is asked, but closes instead of answering writes.
  int delay_ms = 0;
};

class PlatformStandin {
 public:
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
    uint64_t known = 0;
  };

  PlatformStandin(EventLoop& loop, PlatformStandinOptions options);

  void OnRequest(ExchangeId exchange, const HttpRequest& request);
  void Serve(ExchangeId exchange, const HttpRequest& request);
  void OnAdmin(ExchangeId exchange, const HttpRequest& request);
  void GetObject(ExchangeId exchange, const std::string& name);
  void PutObject(ExchangeId exchange, const HttpRequest& request,
                 const std::string& name);
  void Watch(ExchangeId exchange, const HttpRequest& request,
             const std::string& name);
  void NotifyWatchers(const std::string& name);
  void Answer(ExchangeId exchange, int status, std::string body,
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
