#include "one_worker.h"

#include <cstdlib>
#include <thread>

#include "deployment_store.h"

namespace mimosadeal::review {
namespace {

using std::chrono::milliseconds;

constexpr int kConnections = 560;
constexpr size_t kMaxBodyBytes = size_t{64} * 1024 * 1024;
constexpr milliseconds kIdleTimeout{10000};
constexpr milliseconds kStabilityWindow{3000};

nlohmann::json Configuration(const OneWorkerOptions& options) {
  const nlohmann::json route = {
      {"name", "r-deeds"},
      {"pathPrefix", "/deeds/"},
      {"kind", options.kind},
      {"timeout", std::to_string(options.timeout.count()) + "ms"},
      {"targetLatency", "1500ms"},
      {"priority", 1},
      {"maxAttempts", 2},
      {"service", "dossier"}};
  return {{"version", "r1"},
          {"services",
           {{{"name", "dossier"},
             {"healthPath", "/health"},
             {"maxConnections", kConnections},
             {"protocol", "h1"},
             {"tls", false}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", kMaxBodyBytes},
            {"headerTimeout", "3000ms"},
            {"idleTimeout", "15000ms"}}},
          {"virtualHosts", {{{"host", "deeds.example"}, {"paths", {route}}}}}};
}

}  // namespace

OneWorker::OneWorker(EventLoop& loop, DeploymentStore& store, Record& record,
                     OneWorkerOptions options)
    : loop_(loop),
      record_(record),
      options_(std::move(options)),
      address_(FreeAddress("127.0.3.1")) {
  HttpServerHandlers handlers;
  handlers.on_request = [this](ExchangeId id, HttpRequest&& request) {
    OnRequest(id, request);
  };
  handlers.on_abandoned = [this](ExchangeId) {
    record_.Add(options_.id + ": a request was abandoned");
  };
  handlers.make_refusal = [](int status, const std::string&) {
    HttpResponse response;
    response.status = status;
    return response;
  };
  auto server = ExchangeServer::Listen(
      loop, address_,
      {{16384, kMaxBodyBytes}, kIdleTimeout, kIdleTimeout, kConnections},
      std::move(handlers));
  if (!server.has_value()) std::exit(kCouldNotRun);
  server_ = std::move(server.value());
  store.Put("config", "main", Configuration(options_));
  store.Put("servers", options_.id,
            {{"service", "dossier"},
             {"address", address_.ToString()},
             {"zone", "muscat-a"},
             {"version", "v1"},
             {"slots", 32},
             {"state", "ready"},
             {"warmupLeft", "0ms"},
             {"seq", 1},
             {"born", 1'767'225'600'000}});
}

void OneWorker::OnRequest(ExchangeId id, const HttpRequest& request) {
  const std::string request_id(FindHeader(request.headers, "x-request-id"));
  record_.Add(options_.id + ": begins " + request_id);
  begun_.insert(request_id);
  loop_.timers().After(options_.work, [this, id, request_id] {
    HttpResponse response;
    response.status = 200;
    response.headers = {{"x-request-id", request_id},
                        {"x-response-signature", "s-" + request_id},
                        {"x-instance-id", options_.id}};
    response.body = std::string(options_.answer_bytes, 'a');
    server_->Respond(id, std::move(response));
    ++answered_;
    record_.Add(options_.id + ": answered " + request_id);
  });
}

bool AwaitInTouch(const SocketAddress& readiness) {
  for (int i = 0; i < 100; ++i) {
    Client probe;
    std::string answer;
    if (probe.Connect(readiness) &&
        probe.Send("GET /mimosadeal/ready HTTP/1.1\r\nHost: p\r\n\r\n")) {
      probe.Read(answer, 4096, milliseconds(500));
    }
    if (StatusOf(answer) == 200) {
      std::this_thread::sleep_for(kStabilityWindow + milliseconds(500));
      return true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

}  // namespace mimosadeal::review
