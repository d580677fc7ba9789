// Minimal relay: it forwards requests to one upstream without any decisions,
// using the HTTP server and client of the router. It is the baseline for the
// router's overhead.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client_connection.h"
#include "net/http_server.h"

ABSL_FLAG(std::string, address, "127.0.0.1:8080", "Address to listen on.");
ABSL_FLAG(std::string, target, "127.0.0.1:9100",
          "Address to send requests to.");
ABSL_FLAG(
    int, connections, 16,
    "Number of connections to the target, with one request at a time on each.");

namespace mimosadeal {
namespace {

constexpr size_t kMaxBodyBytes = 1024 * 1024;

class Relay {
 public:
  Relay(EventLoop& loop, const SocketAddress& target, int connections) {
    for (int i = 0; i < connections; ++i) {
      connections_.push_back(std::make_unique<HttpClientConnection>(
          loop, HttpClientOptions{target, kMaxBodyBytes, {}}));
    }
  }

  void set_server(HttpServer* server) { server_ = server; }

  void OnRequest(ExchangeId exchange, HttpRequest request) {
    queue_.emplace_back(exchange, std::move(request));
    SendQueued();
  }

 private:
  void SendQueued() {
    for (auto& connection : connections_) {
      if (queue_.empty()) return;
      if (connection->busy()) continue;
      auto [exchange, request] = std::move(queue_.front());
      queue_.pop_front();
      ClientRequest outgoing{request.method,
                             EncodePath(request.path),
                             {},
                             std::move(request.body),
                             std::chrono::seconds(5)};
      if (!request.query.empty()) outgoing.path += "?" + request.query;
      connection->Start(std::move(outgoing), [this, exchange = exchange](
                                                 ClientResponse response) {
        server_->Respond(
            exchange,
            HttpResponse{
                response.status, "text/plain", {}, std::move(response.body)});
        SendQueued();
      });
    }
  }

  HttpServer* server_ = nullptr;
  std::vector<std::unique_ptr<HttpClientConnection>> connections_;
  std::deque<std::pair<ExchangeId, HttpRequest>> queue_;
};

int Run() {
  const auto address = ParseSocketAddress(absl::GetFlag(FLAGS_address));
  const auto target = ParseSocketAddress(absl::GetFlag(FLAGS_target));
  if (!address.has_value() || !target.has_value()) return 2;
  EventLoop loop(EventLoopOptions{});
  Relay relay(loop, target.value(), absl::GetFlag(FLAGS_connections));
  HttpServerOptions options;
  options.address = address.value();
  options.name = "relay";
  options.max_body_bytes = kMaxBodyBytes;
  HttpServerHandlers handlers;
  handlers.on_request = [&](ExchangeId exchange, HttpRequest&& request) {
    relay.OnRequest(exchange, std::move(request));
  };
  handlers.on_abandoned = [](ExchangeId) {};
  handlers.make_refusal = [](int status, const std::string& detail) {
    return HttpResponse{status, "text/plain", {}, detail};
  };
  auto server =
      HttpServer::Listen(loop, std::move(options), std::move(handlers));
  if (!server.has_value()) return 1;
  relay.set_server(server.value().get());
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace mimosadeal

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return mimosadeal::Run();
}
