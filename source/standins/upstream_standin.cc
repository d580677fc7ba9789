#include "upstream_standin.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <tuple>
#include <utility>

#include "net/event_loop.h"

namespace mimosadeal {
namespace {

constexpr size_t kMaxBodyBytes = 64 * 1024 * 1024;

// Returns the whole number that the query gives to `name`, or `fallback`.
int64_t QueryNumber(const std::string& query, const std::string& name,
                    int64_t fallback) {
  size_t at = 0;
  while (at < query.size()) {
    const size_t end = std::min(query.find('&', at), query.size());
    const std::string_view part = std::string_view(query).substr(at, end - at);
    at = end + 1;
    if (!part.starts_with(name + "=")) continue;
    int64_t number = fallback;
    const std::string_view digits = part.substr(name.size() + 1);
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
  }
  return fallback;
}

// Returns the key by which grants are ordered.
auto GrantOrder(const GrantBody& grant) {
  return std::tuple(grant.version.term, grant.version.sequence, grant.revision);
}

}  // namespace

UpstreamStandin::UpstreamStandin(EventLoop& loop,
                                 UpstreamStandinOptions options)
    : loop_(loop), options_(std::move(options)), random_(options_.seed) {
  if (!options_.record_path.empty())
    record_ = std::fopen(options_.record_path.c_str(), "a");
}

UpstreamStandin::~UpstreamStandin() {
  if (record_ != nullptr) std::fclose(record_);
}

Result<std::unique_ptr<UpstreamStandin>> UpstreamStandin::Listen(
    EventLoop& loop, UpstreamStandinOptions options) {
  std::unique_ptr<UpstreamStandin> standin(
      new UpstreamStandin(loop, std::move(options)));
  UpstreamStandin* self = standin.get();
  HttpServerOptions server_options;
  server_options.address = self->options_.address;
  server_options.name = "upstream";
  server_options.max_body_bytes = kMaxBodyBytes;
  server_options.custom_headers = {kRequestIdHeader, kShardHeader,
                                   kHolderHeader, kTimeLeftHeader,
                                   kIdempotencyKeyHeader};
  HttpServerHandlers handlers;
  handlers.on_request = [self](ExchangeId exchange, HttpRequest&& request) {
    self->OnRequest(exchange, std::move(request));
  };
  handlers.on_abandoned = [self](ExchangeId exchange) {
    const auto found = self->executions_.find(exchange);
    if (found == self->executions_.end()) return;
    // Closing the connection cancels the request.
    const bool queued = std::erase(self->queue_, exchange) > 0;
    if (!queued) {
      self->Record("cancelled", found->second, BootClock::now());
      --self->running_;
    }
    self->executions_.erase(found);
    self->StartQueued();
  };
  handlers.make_refusal = [](int status, const std::string& detail) {
    return HttpResponse{
        status, "text/plain", {{kOutcomeHeader, "not run"}}, detail};
  };
  BOOST_OUTCOME_TRY(server, HttpServer::Listen(loop, std::move(server_options),
                                               std::move(handlers)));
  standin->server_ = std::move(server);
  return standin;
}

void UpstreamStandin::OnRequest(ExchangeId exchange, HttpRequest request) {
  if (request.path == kGrantPath) {
    OnGrant(exchange, request);
    return;
  }
  if (request.path == kHealthPath) {
    server_->Respond(exchange, HttpResponse{200, "text/plain", {}, "ok"});
    return;
  }
  Execution execution;
  execution.request_id = FindHeader(request.headers, kRequestIdHeader);
  execution.key = FindHeader(request.headers, kIdempotencyKeyHeader);
  execution.holder = FindHeader(request.headers, kHolderHeader);
  const std::string_view shard = FindHeader(request.headers, kShardHeader);
  std::from_chars(shard.data(), shard.data() + shard.size(), execution.shard);
  execution.request = std::move(request);
  if (!IsGranted(execution.holder, execution.shard)) {
    executions_[exchange] = std::move(execution);
    Refuse(exchange, 409, "no grant for this shard");
    return;
  }
  executions_[exchange] = std::move(execution);
  queue_.push_back(exchange);
  StartQueued();
}

bool UpstreamStandin::IsGranted(const std::string& holder,
                                uint32_t shard) const {
  if (!options_.checks_grants) return true;
  return BootClock::now() < grant_until_ && grant_.holder == holder &&
         grant_.shards.Contains(shard);
}

void UpstreamStandin::OnGrant(ExchangeId exchange, const HttpRequest& request) {
  const MonotonicTime now = BootClock::now();
  GrantResponse answer;
  // The token is the time of this process's clock. The TTL of a grant counts
  // from the token that it quotes, not from its arrival.
  answer.token = std::to_string(now.time_since_epoch().count());
  const auto grant = DecodeGrant(request.body);
  if (grant.has_value() && !grant.value().token.empty() &&
      GrantOrder(grant.value()) >= GrantOrder(grant_)) {
    const int64_t issued_ns =
        std::strtoll(grant.value().token.c_str(), nullptr, 10);
    const MonotonicTime until =
        MonotonicTime(Duration(issued_ns)) + grant.value().ttl;
    if (until > now) {
      grant_ = grant.value();
      grant_until_ = until;
      answer.accepted = true;
    }
  }
  server_->Respond(exchange, HttpResponse{answer.accepted ? 200 : 409,
                                          "application/json",
                                          {},
                                          EncodeGrantResponse(answer)});
}

void UpstreamStandin::StartQueued() {
  while (running_ < options_.slots && !queue_.empty()) {
    const ExchangeId exchange = queue_.front();
    queue_.pop_front();
    Execution& execution = executions_.at(exchange);
    if (!IsGranted(execution.holder, execution.shard)) {
      Refuse(exchange, 409, "the grant expired before the request started");
      continue;
    }
    ++running_;
    execution.started = BootClock::now();
    Record("start", execution, execution.started);
    if (QueryNumber(execution.request.query, "crash", 0) != 0) std::abort();
    const double mean_us = static_cast<double>(ToMicroseconds(options_.work));
    const auto random_us =
        static_cast<int64_t>(-mean_us * std::log(1.0 - random_.Unit()));
    const int64_t work_us =
        QueryNumber(execution.request.query, "work_us", random_us);
    loop_.timers().After(std::chrono::microseconds(work_us),
                         [this, exchange] { FinishExecution(exchange); });
  }
}

void UpstreamStandin::FinishExecution(ExchangeId exchange) {
  const auto found = executions_.find(exchange);
  if (found == executions_.end()) return;
  const Execution& execution = found->second;
  --running_;
  // The request takes effect here, in the same step as the check of the grant.
  if (!IsGranted(execution.holder, execution.shard)) {
    Record("aborted", execution, BootClock::now());
    Refuse(exchange, 409, "the grant expired before the request completed");
  } else {
    Record("end", execution, BootClock::now());
    SendResponse(exchange, execution);
    executions_.erase(found);
  }
  StartQueued();
}

void UpstreamStandin::SendResponse(ExchangeId exchange,
                                   const Execution& execution) {
  const std::string& query = execution.request.query;
  HttpResponse response;
  response.content_type = "text/plain";
  response.headers.push_back({kRequestIdHeader, execution.request_id});
  // The response body is the request body, so that a test can match the two, or
  // `size` bytes.
  response.body = execution.request.body;
  const int64_t size = QueryNumber(query, "size", -1);
  if (size >= 0) response.body.resize(static_cast<size_t>(size), 'x');
  response.headers.push_back({"mimosa-upstream", options_.id});
  response.truncate_body = QueryNumber(query, "truncate", 0) != 0;
  server_->Respond(exchange, std::move(response));
}

void UpstreamStandin::Refuse(ExchangeId exchange, int status,
                             const std::string& reason) {
  const auto found = executions_.find(exchange);
  HttpResponse response{
      status, "text/plain", {{kOutcomeHeader, "not run"}}, reason};
  if (found != executions_.end()) {
    response.headers.push_back({kRequestIdHeader, found->second.request_id});
    executions_.erase(found);
  }
  server_->Respond(exchange, std::move(response));
}

void UpstreamStandin::Record(const char* event, const Execution& execution,
                             MonotonicTime at) {
  if (record_ == nullptr) return;
  std::fprintf(record_, "%s %s %u %s %s %s %lld\n", event, options_.id.c_str(),
               execution.shard, execution.request_id.c_str(),
               execution.key.empty() ? "-" : execution.key.c_str(),
               execution.holder.c_str(),
               static_cast<long long>(at.time_since_epoch().count()));
  std::fflush(record_);
}

}  // namespace mimosadeal
