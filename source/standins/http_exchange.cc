#include "http_exchange.h"

#include <cstdlib>
#include <utility>

namespace mimosadeal {
namespace {

constexpr size_t kMaxResponseBytes = 64 * 1024 * 1024;
// Longest time between two checks of a condition.
constexpr Duration kConditionInterval = std::chrono::milliseconds(5);

EventLoopOptions Options() {
  EventLoopOptions options;
  options.max_descriptors = 8192;
  return options;
}

}  // namespace

HttpExchange::HttpExchange() : loop_(Options()) {}

HttpExchange::PooledConnection& HttpExchange::IdleConnection(
    const std::string& address) {
  std::deque<PooledConnection>& pool = pools_[address];
  for (PooledConnection& pooled : pool) {
    if (!pooled.busy) return pooled;
  }
  const auto parsed = ParseSocketAddress(address);
  if (!parsed.has_value()) std::abort();
  HttpClientOptions options{
      parsed.value(), kMaxResponseBytes, {"mimosa-outcome", "mimosa-replayed"}};
  pool.push_back(
      {std::make_unique<HttpClientConnection>(loop_, std::move(options)),
       false});
  return pool.back();
}

void HttpExchange::Start(const std::string& address, ClientRequest request,
                         Callback callback) {
  PooledConnection& pooled = IdleConnection(address);
  pooled.busy = true;
  ++in_flight_;
  pooled.connection->Start(std::move(request),
                           [this, &pooled, callback = std::move(callback)](
                               const ClientResponse& response) {
                             pooled.busy = false;
                             --in_flight_;
                             callback(response);
                           });
}

ClientResponse HttpExchange::Call(const std::string& address,
                                  ClientRequest request) {
  ClientResponse result;
  bool done = false;
  Start(address, std::move(request), [&](const ClientResponse& response) {
    result = response;
    done = true;
  });
  while (!done) loop_.RunOnce();
  return result;
}

void HttpExchange::RunFor(Duration duration) {
  RunUntil([] { return false; }, duration);
}

bool HttpExchange::RunUntil(const std::function<bool()>& condition,
                            Duration limit) {
  const MonotonicTime until = BootClock::now() + limit;
  const TimerId wake = loop_.timers().Every(kConditionInterval, [] {});
  bool satisfied = condition();
  while (!satisfied && BootClock::now() < until) {
    loop_.RunOnce();
    satisfied = condition();
  }
  loop_.timers().Cancel(wake);
  return satisfied;
}

}  // namespace mimosadeal
