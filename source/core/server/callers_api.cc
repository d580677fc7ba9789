#include "server/callers_api.h"

#include <utility>

#include "net/event_loop.h"
#include "requests/outcome_names.h"
#include "requests/problem.h"
#include "server/configuration_manager.h"
#include "server/metrics.h"
#include "server/router.h"

namespace mimosadeal {
namespace {

constexpr int kRequestTimeoutSeconds = 10;
constexpr int kIdleTimeoutSeconds = 60;
constexpr int32_t kOverloadRetryAfterMs = 1000;

HttpResponse MakeSuccessResponse(DispatchReply reply) {
  HttpResponse response;
  response.status = reply.http_status;
  response.content_type.clear();
  for (WireHeader& header : reply.headers) {
    if (header.name == "content-type") {
      response.content_type = header.value;
    } else {
      response.headers.push_back(
          {std::move(header.name), std::move(header.value)});
    }
  }
  response.headers.push_back(
      {"mimosa-outcome", std::string(OutcomeName(RequestOutcome::kRan))});
  if (reply.replayed) response.headers.push_back({"mimosa-replayed", "true"});
  response.body = std::move(reply.body);
  return response;
}

int ProblemStatus(DispatchStatus status) {
  switch (status) {
    case DispatchStatus::kAnswered:
      return 200;
    case DispatchStatus::kRefused:
    case DispatchStatus::kNoOwner:
      return 503;
    case DispatchStatus::kUpstreamLost:
    case DispatchStatus::kUpstreamSilent:
      return 502;
    case DispatchStatus::kDeadline:
      return 504;
    case DispatchStatus::kConflict:
      return 422;
  }
  return 500;
}

const char* ProblemTitle(DispatchStatus status) {
  switch (status) {
    case DispatchStatus::kAnswered:
      return "Answered";
    case DispatchStatus::kRefused:
      return "Refused for lack of capacity";
    case DispatchStatus::kNoOwner:
      return "No server owns the key at present";
    case DispatchStatus::kUpstreamLost:
    case DispatchStatus::kUpstreamSilent:
      return "The server was lost";
    case DispatchStatus::kDeadline:
      return "The deadline passed";
    case DispatchStatus::kConflict:
      return "Idempotency-Key used before";
  }
  return "Internal error";
}

HttpResponse MakeErrorResponse(const DispatchReply& reply) {
  const auto status = static_cast<DispatchStatus>(reply.status);
  return MakeProblemResponse(Problem{
      ProblemStatus(status), ProblemTitle(status), reply.detail,
      static_cast<RequestOutcome>(reply.outcome), reply.retry_after_ms});
}

HttpResponse MakeRefusal(int status, const std::string& detail) {
  return MakeProblemResponse(
      Problem{status, "Request not taken", detail, RequestOutcome::kNotRun, 0});
}

}  // namespace

CallersApi::CallersApi(Environment environment) : environment_(environment) {}

Result<std::unique_ptr<CallersApi>> CallersApi::Listen(
    Environment environment) {
  std::unique_ptr<CallersApi> api(new CallersApi(environment));
  CallersApi* self = api.get();
  BOOST_OUTCOME_TRY(address,
                    ParseSocketAddress(environment.settings.callers_address));
  HttpServerOptions options;
  options.address = std::move(address);
  options.name = "callers";
  options.max_body_bytes =
      static_cast<size_t>(environment.settings.max_body_bytes);
  options.idle_timeout_seconds = kIdleTimeoutSeconds;
  options.request_timeout_seconds = kRequestTimeoutSeconds;
  options.custom_headers = CallerHeaders();
  HttpServerHandlers handlers;
  handlers.on_request = [self](ExchangeId exchange, HttpRequest&& request) {
    self->OnRequest(exchange, std::move(request));
  };
  handlers.on_abandoned = [self](ExchangeId exchange) {
    self->OnAbandoned(exchange);
  };
  handlers.make_refusal = MakeRefusal;
  BOOST_OUTCOME_TRY(made_server,
                    HttpServer::Listen(environment.loop, std::move(options),
                                       std::move(handlers)));
  api->server_ = std::move(made_server);
  return api;
}

void CallersApi::OnRequest(ExchangeId exchange, HttpRequest request) {
  const Settings& settings = environment_.settings;
  if (open_.size() >= static_cast<size_t>(settings.max_waiting_requests)) {
    server_->Respond(
        exchange, MakeProblemResponse(
                      Problem{503, "Too many requests wait here",
                              "this host holds as many requests as it may",
                              RequestOutcome::kNotRun, kOverloadRetryAfterMs}));
    return;
  }
  const ClassifierLimits limits{settings.default_deadline,
                                settings.longest_deadline};
  Classification classified = ClassifyRequest(
      environment_.configuration.configuration(), limits, std::move(request));
  if (!classified.accepted) {
    server_->Respond(exchange, MakeProblemResponse(classified.problem));
    return;
  }
  DispatchRequest& dispatch = classified.request.dispatch;
  dispatch.time_left_us = ToMicroseconds(classified.request.deadline);
  const MonotonicTime arrived = environment_.loop.timers().now();
  open_[exchange] = OpenRequest{};
  auto reply = [this, exchange, service = dispatch.service,
                rank = dispatch.rank, tenant = dispatch.tenant,
                arrived](DispatchReply dispatch_reply) {
    SendResponse(exchange, service, rank, tenant, arrived,
                 std::move(dispatch_reply));
  };
  const uint64_t handle =
      environment_.router.Route(std::move(dispatch), std::move(reply));
  const auto open = open_.find(exchange);
  if (open != open_.end()) open->second.handle = handle;
}

void CallersApi::SendResponse(ExchangeId exchange, const std::string& service,
                              const std::string& rank,
                              const std::string& tenant, MonotonicTime arrived,
                              DispatchReply reply) {
  open_.erase(exchange);
  const auto status = static_cast<DispatchStatus>(reply.status);
  environment_.metrics.ObserveRequest(
      service, rank, tenant, status, static_cast<RequestOutcome>(reply.outcome),
      BootClock::now() - arrived);
  const bool is_success = status == DispatchStatus::kAnswered &&
                          (!reply.replayed || reply.detail.empty());
  server_->Respond(exchange, is_success ? MakeSuccessResponse(std::move(reply))
                                        : MakeErrorResponse(reply));
}

void CallersApi::OnAbandoned(ExchangeId exchange) {
  const auto found = open_.find(exchange);
  if (found == open_.end()) return;
  const uint64_t handle = found->second.handle;
  open_.erase(found);
  environment_.router.Cancel(handle);
}

}  // namespace mimosadeal
