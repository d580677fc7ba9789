// A small deployment for the cases about answers: a configuration with one
// route and one service without keys, and its only worker.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "net/event_loop.h"
#include "net/exchange_server.h"
#include "world.h"

namespace mimosadeal {
class DeploymentStore;
}

namespace mimosadeal::review {

struct OneWorkerOptions {
  std::string kind;                     // Of the route.
  std::chrono::milliseconds timeout{};  // Of the route.
  std::chrono::milliseconds work{};
  size_t answer_bytes = 0;
  std::string id = "i-7f3a91c2";
};

// Runs any number of requests at once. Registers itself, and writes the
// configuration.
class OneWorker {
 public:
  OneWorker(EventLoop& loop, DeploymentStore& store, Record& record,
            OneWorkerOptions options);

  int answered() const { return answered_; }
  // Whether it began to run the request.
  bool Began(const std::string& id) const { return begun_.contains(id); }
  const SocketAddress& address() const { return address_; }

 private:
  void OnRequest(ExchangeId id, const HttpRequest& request);

  EventLoop& loop_;
  Record& record_;
  OneWorkerOptions options_;
  SocketAddress address_;
  std::unique_ptr<ExchangeServer> server_;
  int answered_ = 0;
  std::set<std::string> begun_;
};

// Waits until the host says that it is ready, and for stabilityWindow after
// that. Returns false if it is not ready within 10 s.
bool AwaitInTouch(const SocketAddress& readiness);

}  // namespace mimosadeal::review
