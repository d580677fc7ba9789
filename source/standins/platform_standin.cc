#include "platform_standin.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/event_loop.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

constexpr char kObjectsPath[] = "/v1/objects/";
constexpr char kWatchPath[] = "/v1/watch/";
constexpr char kAdminObjectsPath[] = "/admin/objects/";
constexpr size_t kMaxObjectBytes = 1024 * 1024;
constexpr Duration kWatchTimeout = std::chrono::seconds(15);

uint64_t ParseNumber(std::string_view text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Sets `rest` to what follows the prefix. Returns false if there is no such
// prefix.
bool StripPrefix(std::string_view path, std::string_view prefix,
                 std::string& rest) {
  if (!path.starts_with(prefix)) return false;
  rest = path.substr(prefix.size());
  return true;
}

}  // namespace

PlatformStandin::PlatformStandin(EventLoop& loop,
                                 PlatformStandinOptions options)
    : loop_(loop), options_(std::move(options)) {}

Result<std::unique_ptr<PlatformStandin>> PlatformStandin::Listen(
    EventLoop& loop, PlatformStandinOptions options) {
  std::unique_ptr<PlatformStandin> standin(
      new PlatformStandin(loop, std::move(options)));
  PlatformStandin* self = standin.get();
  HttpServerOptions server_options;
  server_options.address = self->options_.address;
  server_options.name = "platform";
  server_options.max_body_bytes = kMaxObjectBytes;
  HttpServerHandlers handlers;
  handlers.on_request = [self](ExchangeId exchange, HttpRequest&& request) {
    self->OnRequest(exchange, request);
  };
  handlers.on_abandoned = [self](ExchangeId exchange) {
    std::erase_if(self->watchers_, [exchange](const Watcher& watcher) {
      return watcher.exchange == exchange;
    });
  };
  handlers.make_refusal = [](int status, const std::string& detail) {
    return HttpResponse{status, "text/plain", {}, detail};
  };
  BOOST_OUTCOME_TRY(server, HttpServer::Listen(loop, std::move(server_options),
                                               std::move(handlers)));
  standin->server_ = std::move(server);
  return standin;
}

void PlatformStandin::OnRequest(ExchangeId exchange,
                                const HttpRequest& request) {
  if (request.path.starts_with("/admin/")) {
    OnAdmin(exchange, request);
    return;
  }
  if (faults_.silent) return;
  if (faults_.refuse) {
    SendResponse(exchange, 503, "");
    return;
  }
  if (faults_.delay_ms > 0) {
    loop_.timers().After(
        std::chrono::milliseconds(faults_.delay_ms),
        [this, exchange, request] { HandleRequest(exchange, request); });
    return;
  }
  HandleRequest(exchange, request);
}

void PlatformStandin::HandleRequest(ExchangeId exchange,
                                    const HttpRequest& request) {
  std::string name;
  if (request.method == "GET" && request.path == "/v1/hosts") {
    ++reads_;
    SendResponse(exchange, 200, hosts_);
  } else if (request.method == "GET" &&
             StripPrefix(request.path, kObjectsPath, name)) {
    GetObject(exchange, name);
  } else if (request.method == "PUT" &&
             StripPrefix(request.path, kObjectsPath, name)) {
    PutObject(exchange, request, name);
  } else if (request.method == "GET" &&
             StripPrefix(request.path, kWatchPath, name)) {
    Watch(exchange, request, name);
  } else {
    SendResponse(exchange, 404, "");
  }
}

void PlatformStandin::GetObject(ExchangeId exchange, const std::string& name) {
  ++reads_;
  const auto found = objects_.find(name);
  if (found == objects_.end()) {
    SendResponse(exchange, 404, "");
    return;
  }
  SendResponse(exchange, 200, found->second.value, found->second.version);
}

void PlatformStandin::PutObject(ExchangeId exchange, const HttpRequest& request,
                                const std::string& name) {
  ++writes_;
  const auto found = objects_.find(name);
  const bool must_not_exist =
      FindHeader(request.headers, "if-none-match") == "*";
  const uint64_t expected =
      ParseNumber(FindHeader(request.headers, "if-match"));
  const uint64_t current_version =
      found == objects_.end() ? 0 : found->second.version;
  if (must_not_exist ? current_version != 0 : current_version != expected) {
    SendResponse(exchange, 412, "", current_version);
    return;
  }
  objects_[name] = Object{next_version_++, request.body};
  NotifyWatchers(name);
  if (faults_.lose_replies)
    return;  // The client gets no response, although the write took effect.
  SendResponse(exchange, 200, "", objects_[name].version);
}

void PlatformStandin::Watch(ExchangeId exchange, const HttpRequest& request,
                            const std::string& name) {
  ++watches_;
  const size_t equals = request.query.find('=');
  const uint64_t known =
      equals == std::string::npos
          ? 0
          : ParseNumber(std::string_view(request.query).substr(equals + 1));
  watchers_.push_back({exchange, name, known});
  NotifyWatchers(name);
  loop_.timers().After(kWatchTimeout, [this, exchange] {
    const auto erased =
        std::erase_if(watchers_, [exchange](const Watcher& watcher) {
          return watcher.exchange == exchange;
        });
    if (erased > 0) SendResponse(exchange, 304, "");
  });
}

void PlatformStandin::NotifyWatchers(const std::string& name) {
  const auto found = objects_.find(name);
  if (found == objects_.end() || faults_.silent || faults_.refuse) return;
  std::vector<Watcher> waiting;
  for (const Watcher& watcher : watchers_) {
    if (watcher.name != name || watcher.known == found->second.version) {
      waiting.push_back(watcher);
      continue;
    }
    SendResponse(watcher.exchange, 200, found->second.value,
                 found->second.version);
  }
  watchers_ = std::move(waiting);
}

void PlatformStandin::OnAdmin(ExchangeId exchange, const HttpRequest& request) {
  std::string name;
  if (request.path == "/admin/hosts") {
    loop_.timers().After(options_.host_list_lag,
                         [this, body = request.body] { hosts_ = body; });
  } else if (request.path == "/admin/faults") {
    const Json faults = Json::parse(request.body, nullptr, false);
    faults_ = PlatformFaults{};
    if (faults.is_object()) {
      faults_.refuse = faults.value("refuse", false);
      faults_.silent = faults.value("silent", false);
      faults_.lose_replies = faults.value("lose_replies", false);
      faults_.delay_ms = faults.value("delay_ms", 0);
    }
  } else if (StripPrefix(request.path, kAdminObjectsPath, name)) {
    if (request.method == "GET") {
      SendResponse(exchange, objects_.count(name) != 0 ? 200 : 404,
                   objects_[name].value, objects_[name].version);
      return;
    }
    objects_[name] = Object{next_version_++, request.body};
    NotifyWatchers(name);
  } else if (request.path == "/admin/counts") {
    SendResponse(
        exchange, 200,
        Json{{"reads", reads_}, {"writes", writes_}, {"watches", watches_}}
            .dump());
    return;
  } else {
    SendResponse(exchange, 404, "");
    return;
  }
  SendResponse(exchange, 200, "{}");
}

void PlatformStandin::SendResponse(ExchangeId exchange, int status,
                                   std::string body, uint64_t version) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  if (version != 0)
    response.headers.push_back({"etag", "\"" + std::to_string(version) + "\""});
  server_->Respond(exchange, std::move(response));
}

}  // namespace mimosadeal
