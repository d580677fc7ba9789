// Program of the fault proxy. Flags define the links; faults are set over HTTP:
//   POST /faults?link=NAME with a JSON object of the members of LinkFaults.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fault_links.h"
#include "net/http_server.h"

ABSL_FLAG(std::string, address, "127.0.0.1:9200",
          "Address to listen on for requests that set faults.");
ABSL_FLAG(std::vector<std::string>, links, {},
          "Comma-separated links, each NAME=LISTEN=TARGET.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the random faults.");

namespace mimosadeal {
namespace {

using Links = std::map<std::string, std::unique_ptr<FaultLink>>;

bool OpenLink(EventLoop& loop, const std::string& text, Links& links) {
  const size_t first = text.find('=');
  const size_t second = text.find('=', first + 1);
  if (first == std::string::npos || second == std::string::npos) return false;
  const auto listen =
      ParseSocketAddress(text.substr(first + 1, second - first - 1));
  const auto target = ParseSocketAddress(text.substr(second + 1));
  if (!listen.has_value() || !target.has_value()) return false;
  auto link = FaultLink::Open(loop, listen.value(), target.value(),
                              absl::GetFlag(FLAGS_seed));
  if (!link.has_value()) return false;
  links[text.substr(0, first)] = std::move(link.value());
  return true;
}

HttpResponse SetFaults(const HttpRequest& request, Links& links) {
  const size_t equals = request.query.find('=');
  const auto link = equals == std::string::npos
                        ? links.end()
                        : links.find(request.query.substr(equals + 1));
  const nlohmann::json json =
      nlohmann::json::parse(request.body, nullptr, false);
  if (link == links.end() || !json.is_object())
    return HttpResponse{404, "text/plain", {}, "no such link"};
  LinkFaults faults;
  faults.cut_forward = json.value("cut_forward", false);
  faults.cut_backward = json.value("cut_backward", false);
  faults.delay_ms = json.value("delay_ms", 0);
  faults.datagram_loss = json.value("datagram_loss", 0.0);
  faults.datagram_duplication = json.value("datagram_duplication", 0.0);
  faults.datagram_reorder_ms = json.value("datagram_reorder_ms", 0);
  link->second->SetFaults(faults);
  return HttpResponse{200, "text/plain", {}, "set"};
}

int Run() {
  const auto address = ParseSocketAddress(absl::GetFlag(FLAGS_address));
  if (!address.has_value()) return 2;
  EventLoop loop(EventLoopOptions{});
  Links links;
  for (const std::string& text : absl::GetFlag(FLAGS_links)) {
    if (OpenLink(loop, text, links)) continue;
    std::fprintf(stderr, "cannot open link %s\n", text.c_str());
    return 1;
  }
  HttpServer* server = nullptr;
  HttpServerOptions options;
  options.address = address.value();
  options.name = "faults";
  options.max_body_bytes = 4096;
  HttpServerHandlers handlers;
  handlers.on_request = [&](ExchangeId exchange, HttpRequest&& request) {
    server->Respond(exchange, SetFaults(request, links));
  };
  handlers.on_abandoned = [](ExchangeId) {};
  handlers.make_refusal = [](int status, const std::string& detail) {
    return HttpResponse{status, "text/plain", {}, detail};
  };
  auto listening =
      HttpServer::Listen(loop, std::move(options), std::move(handlers));
  if (!listening.has_value()) return 1;
  server = listening.value().get();
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace mimosadeal

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return mimosadeal::Run();
}
