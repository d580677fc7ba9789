// A worker of a service that is divided by key. It registers itself, holds keys
// by grants, and runs requests in slots, as the platform's pages say. Its clock
// may run slow. It notes when another worker holds the same keys.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/exchange_server.h"
#include "world.h"

namespace mimosadeal {
class DeploymentStore;
}

namespace mimosadeal::review {

struct KeyedWorkerOptions {
  std::string id;
  std::string service;
  std::string zone;
  SocketAddress address;
  int slots = 2;
  size_t queue = 8;
  std::chrono::milliseconds work{};
  // Time that passes while this worker's clock counts one second.
  double clock_factor = 1;
};

class KeyedWorker {
 public:
  KeyedWorker(EventLoop& loop, DeploymentStore& store, Record& record,
              KeyedWorkerOptions options);

  const KeyedWorkerOptions& options() const { return options_; }
  bool Holds(int key) const;
  // Whether both hold a key.
  bool Shares(const KeyedWorker& other) const;
  int grants() const { return grants_; }
  int begun() const { return begun_; }
  // Runs when a request begins.
  void SetBeginHandler(
      std::function<void(const KeyedWorker&, int key)> handler);

 private:
  struct Hold {
    int last = 0;
    MonotonicTime until = kNever;
  };
  struct Request {
    ExchangeId exchange = 0;
    std::string id;
    int key = 0;
  };
  struct Release {
    ExchangeId exchange = 0;
    int first = 0;
    int last = 0;
  };

  void OnRequest(ExchangeId id, const HttpRequest& request);
  void OnGrant(ExchangeId id, const std::string& body);
  void OnRelease(ExchangeId id, const std::string& body);
  void OnClientRequest(ExchangeId id, const HttpRequest& request);
  // Takes the keys out of what is held.
  void Drop(int first, int last);
  void BeginNext();
  void End(ExchangeId exchange);
  void AnswerReleases();
  void Answer(ExchangeId id, int status, HttpHeaders headers,
              const std::string& body = "");

  EventLoop& loop_;
  Record& record_;
  KeyedWorkerOptions options_;
  std::unique_ptr<ExchangeServer> server_;
  std::function<void(const KeyedWorker&, int)> on_begin_;
  std::map<int, Hold> holds_;            // By first key.
  std::map<int, uint64_t> generations_;  // Highest seen, by key.
  std::deque<Request> waiting_;
  std::map<ExchangeId, Request> running_;
  std::vector<Release> releases_;
  int grants_ = 0;
  int begun_ = 0;
};

}  // namespace mimosadeal::review
