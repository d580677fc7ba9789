// A bare relay: HTTP server and client of the same library, connections to one
// upstream, no decisions. The floor that the router's own cost is held against.

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

ABSL_FLAG(std::string, address, "127.0.0.1:8080", "Where to listen.");
ABSL_FLAG(std::string, target, "127.0.0.1:9100", "Where to send requests.");
ABSL_FLAG(int, connections, 16,
          "Connections to the target, one request on each.");

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
    waiting_.emplace_back(exchange, std::move(request));
    SendWaiting();
  }

 private:
  void SendWaiting() {
    for (auto& connection : connections_) {
      if (waiting_.empty()) return;
      if (connection->busy()) continue;
      auto [exchange, request] = std::move(waiting_.front());
      waiting_.pop_front();
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
        SendWaiting();
      });
    }
  }

  HttpServer* server_ = nullptr;
  std::vector<std::unique_ptr<HttpClientConnection>> connections_;
  std::deque<std::pair<ExchangeId, HttpRequest>> waiting_;
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
