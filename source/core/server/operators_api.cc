#include "server/operators_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/json_text.h"
#include "net/event_loop.h"
#include "requests/problem.h"
#include "server/configuration_manager.h"
#include "server/metrics.h"
#include "settings/settings.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxPatchBytes = 1024 * 1024;
constexpr char kPatchIdHeader[] = "mimosa-patch-id";
constexpr char kOwnerPrefix[] = "/owner/";

HttpResponse MakeJson(int status, const Json& body) {
  HttpResponse response;
  response.status = status;
  response.body =
      body.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
  return response;
}

HttpResponse MakeProblem(int status, const std::string& title,
                         const std::string& detail) {
  return MakeProblemResponse(
      Problem{status, title, detail, RequestOutcome::kNotRun, 0});
}

// Parses a version, with or without quotes: `"12"` or `12`.
bool ParseEntityTag(std::string_view text, uint64_t& version) {
  if (text.size() > 2 && text.front() == '"' && text.back() == '"')
    text = text.substr(1, text.size() - 2);
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), version);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

HttpResponse MakePatchResponse(const Result<PatchResult>& result) {
  if (!result.has_value()) {
    const bool unknown = result.error().code == ErrorCode::kUnknownOutcome;
    Problem problem{
        503, unknown ? "Outcome unknown" : "Store unavailable",
        result.error().message,
        unknown ? RequestOutcome::kUnknown : RequestOutcome::kNotRun, 1000};
    return MakeProblemResponse(problem);
  }
  const PatchResult& patch = result.value();
  switch (patch.status) {
    case PatchStatus::kApplied:
    case PatchStatus::kAlreadyApplied:
      return MakeJson(200, {{"version", patch.next.version},
                            {"already_applied",
                             patch.status == PatchStatus::kAlreadyApplied}});
    case PatchStatus::kStale:
      return MakeJson(
          412,
          {{"title", "Stale version"},
           {"status", 412},
           {"detail",
            "the patch was made against another version; nothing was changed"},
           {"version", patch.next.version},
           {"configuration", patch.next.document}});
    case PatchStatus::kInvalid:
      break;
  }
  Json faults = Json::array();
  for (const ConfigurationFault& fault : patch.faults) {
    faults.push_back({{"path", fault.path}, {"message", fault.message}});
  }
  return MakeJson(
      422,
      {{"title", "Invalid configuration"},
       {"status", 422},
       {"detail",
        "the patch would make the configuration invalid; nothing was changed"},
       {"faults", faults}});
}

}  // namespace

OperatorsApi::OperatorsApi(Environment environment)
    : environment_(environment) {}

Result<std::unique_ptr<OperatorsApi>> OperatorsApi::Listen(
    Environment environment) {
  EventLoop& loop = environment.loop;
  BOOST_OUTCOME_TRY(
      address,
      ParseSocketAddress(environment.sources.settings.operators_address));
  std::unique_ptr<OperatorsApi> api(new OperatorsApi(environment));
  OperatorsApi* self = api.get();
  HttpServerOptions options;
  options.address = std::move(address);
  options.name = "operators";
  options.max_body_bytes = kMaxPatchBytes;
  options.custom_headers = {kPatchIdHeader};
  HttpServerHandlers handlers;
  handlers.on_request = [self](ExchangeId exchange, HttpRequest&& request) {
    self->OnRequest(exchange, request);
  };
  handlers.on_abandoned = [](ExchangeId) {};
  handlers.make_refusal = [](int status, const std::string& detail) {
    return MakeProblem(status, "Request not taken", detail);
  };
  BOOST_OUTCOME_TRY(made_server, HttpServer::Listen(loop, std::move(options),
                                                    std::move(handlers)));
  api->server_ = std::move(made_server);
  return api;
}

void OperatorsApi::OnRequest(ExchangeId exchange, const HttpRequest& request) {
  if (request.method == "GET") {
    OnGet(exchange, request);
  } else if (request.method == "PATCH" && request.path == "/configuration") {
    OnPatch(exchange, request);
  } else {
    server_->Respond(exchange,
                     MakeProblem(405, "Method not allowed",
                                 request.method + " is not supported here"));
  }
}

void OperatorsApi::OnGet(ExchangeId exchange, const HttpRequest& request) {
  const StatusSources& sources = environment_.sources;
  if (request.path == "/healthz") {
    server_->Respond(exchange, MakeJson(200, {{"healthy", true}}));
  } else if (request.path == "/readyz") {
    const bool ready = IsReady(sources);
    server_->Respond(exchange, MakeJson(ready ? 200 : 503, {{"ready", ready}}));
  } else if (request.path == "/status") {
    server_->Respond(exchange, MakeJson(200, MakeStatus(sources)));
  } else if (request.path == "/configuration") {
    const StoredConfiguration& stored = environment_.configuration.stored();
    HttpResponse response = MakeJson(
        200, {{"version", stored.version}, {"configuration", stored.document}});
    response.headers.push_back(
        {"etag", "\"" + std::to_string(stored.version) + "\""});
    server_->Respond(exchange, std::move(response));
  } else if (request.path == "/metrics") {
    UpdateGauges(sources, environment_.metrics);
    HttpResponse response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = environment_.metrics.Serialize();
    server_->Respond(exchange, std::move(response));
  } else if (request.path.starts_with(kOwnerPrefix)) {
    OnOwner(exchange, request.path.substr(sizeof(kOwnerPrefix) - 1));
  } else {
    server_->Respond(exchange, MakeProblem(404, "Not found",
                                           "there is no page " + request.path));
  }
}

void OperatorsApi::OnOwner(ExchangeId exchange,
                           const std::string& service_and_key) {
  const size_t slash = service_and_key.find('/');
  if (slash == std::string::npos) {
    server_->Respond(
        exchange, MakeProblem(400, "Malformed", "expected /owner/SERVICE/KEY"));
    return;
  }
  const Json owner =
      ExplainOwner(environment_.sources, service_and_key.substr(0, slash),
                   service_and_key.substr(slash + 1));
  if (owner.is_null()) {
    server_->Respond(exchange,
                     MakeProblem(404, "Unknown service",
                                 "no service is called " +
                                     service_and_key.substr(0, slash)));
    return;
  }
  server_->Respond(exchange, MakeJson(200, owner));
}

void OperatorsApi::OnPatch(ExchangeId exchange, const HttpRequest& request) {
  uint64_t base_version = 0;
  if (!ParseEntityTag(FindHeader(request.headers, "if-match"), base_version)) {
    server_->Respond(exchange,
                     MakeProblem(428, "Version required",
                                 "give the version patched in If-Match"));
    return;
  }
  const std::string patch_id(FindHeader(request.headers, kPatchIdHeader));
  // It is stored as JSON.
  if (patch_id.empty() || !IsUtf8(patch_id)) {
    server_->Respond(
        exchange,
        MakeProblem(
            428, "Patch id required",
            "give a unique Mimosa-Patch-Id in UTF-8, by which a repetition "
            "is known"));
    return;
  }
  const Json patch = Json::parse(request.body, nullptr, false);
  if (!patch.is_object()) {
    server_->Respond(exchange,
                     MakeProblem(400, "Malformed patch",
                                 "the body must be a JSON merge patch object"));
    return;
  }
  environment_.configuration.Patch(
      base_version, patch_id, patch,
      [this, exchange](const Result<PatchResult>& result) {
        server_->Respond(exchange, MakePatchResponse(result));
      });
}

}  // namespace mimosadeal
