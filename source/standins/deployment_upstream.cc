#include "deployment_upstream.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "deployment_store.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

constexpr HttpMessageLimits kTextLimits = {16 * 1024, 2 * 1024 * 1024};
constexpr Duration kIdleTimeout = std::chrono::seconds(10);
// The platform's rule on limits: from kLimitApplies after the first response
// that stated it, no more than kLimitFactor times the limit and kLimitSlack
// requests arrive within kLimitWindow. Requests of hosts that have not returned
// such a response to a caller do not count, so those that arrive within
// kLimitUnknown are left out.
constexpr Duration kLimitApplies = std::chrono::seconds(3);
constexpr Duration kLimitUnknown = std::chrono::milliseconds(500);
constexpr Duration kLimitWindow = std::chrono::seconds(4);
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;
// The platform's rule on cold upstreams counts the requests of any second.
constexpr Duration kColdWindow = std::chrono::seconds(1);
// Time between two reports of an upstream.
constexpr Duration kReportInterval = std::chrono::milliseconds(870);

std::vector<DeploymentUpstream*>& Peers() {
  static std::vector<DeploymentUpstream*> peers;
  return peers;
}

// Returns -1 for an empty text.
int64_t ToNumber(std::string_view text) {
  return text.empty() ? -1 : std::stoll(std::string(text));
}

}  // namespace

void DeploymentUpstream::SetPeers(std::vector<DeploymentUpstream*> peers) {
  Peers() = std::move(peers);
}

DeploymentUpstream::DeploymentUpstream(EventLoop& loop, DeploymentStore& store,
                                       DeploymentRecord& record,
                                       DeploymentUpstreamOptions options)
    : loop_(loop),
      store_(store),
      record_(record),
      options_(std::move(options)) {
  // An incarnation is a start time in milliseconds since 1970. Counting up from
  // a fixed time keeps them distinct within a test.
  static int64_t last_incarnation = 1'767'225'600'000;
  incarnation_ = ++last_incarnation;
}

Result<std::unique_ptr<DeploymentUpstream>> DeploymentUpstream::Start(
    EventLoop& loop, DeploymentStore& store, DeploymentRecord& record,
    DeploymentUpstreamOptions options) {
  std::unique_ptr<DeploymentUpstream> upstream(
      new DeploymentUpstream(loop, store, record, std::move(options)));
  DeploymentUpstream* self = upstream.get();
  HttpServerHandlers handlers;
  handlers.on_request = [self](ExchangeId id, HttpRequest&& request) {
    self->OnRequest(id, std::move(request));
  };
  handlers.on_abandoned = [self](ExchangeId id) { self->OnAbandoned(id); };
  handlers.make_refusal = [](int status, const std::string&) {
    HttpResponse response;
    response.status = status;
    return response;
  };
  BOOST_OUTCOME_TRY(server, ExchangeServer::Listen(
                                loop, self->options_.address,
                                {kTextLimits, kIdleTimeout, kIdleTimeout, 200},
                                std::move(handlers)));
  upstream->server_ = std::move(server);
  if (self->options_.cold_time > Duration::zero()) {
    self->BecomeCold(self->options_.cold_time);
  } else {
    self->Report("ready");
  }
  return upstream;
}

DeploymentUpstream::~DeploymentUpstream() {
  auto& peers = Peers();
  peers.erase(std::remove(peers.begin(), peers.end(), this), peers.end());
}

void DeploymentUpstream::Report(const std::string& state) {
  state_ = state;
  const Duration left =
      std::max(Duration::zero(), cold_until_ - loop_.timers().now());
  const nlohmann::json content = {
      {"service", options_.service},
      {"address", options_.address.ToString()},
      {"zone", options_.zone},
      {"version", "v1"},
      {"slots", options_.slots},
      {"state", state},
      {"warmupLeft", std::to_string(ToMilliseconds(left)) + "ms"},
      {"seq", ++reports_},
      {"born", incarnation_}};
  if (options_.report_delay == Duration::zero()) {
    store_.Put("servers", options_.id, content);
    return;
  }
  loop_.timers().After(options_.report_delay,
                       [this, content, alive = std::weak_ptr<char>(alive_)] {
                         if (!alive.expired())
                           store_.Put("servers", options_.id, content);
                       });
}

void DeploymentUpstream::BecomeCold(Duration time) {
  const MonotonicTime now = loop_.timers().now();
  const bool was_cold = now < cold_until_;
  cold_until_ = now + time;
  Report(state_);
  if (!was_cold) RepeatReport();
}

void DeploymentUpstream::RepeatReport() {
  loop_.timers().After(kReportInterval,
                       [this, alive = std::weak_ptr<char>(alive_)] {
                         if (alive.expired()) return;
                         const bool cold = loop_.timers().now() < cold_until_;
                         Report(state_);
                         if (cold) RepeatReport();
                       });
}

void DeploymentUpstream::CheckCold() {
  const MonotonicTime now = loop_.timers().now();
  if (now >= cold_until_) {
    cold_arrivals_.clear();
    return;
  }
  cold_arrivals_.push_back(now);
  while (now - cold_arrivals_.front() > kColdWindow) cold_arrivals_.pop_front();
  most_while_cold_ = std::max(most_while_cold_, cold_arrivals_.size());
  if (options_.cold_allowed <= 0 ||
      static_cast<double>(cold_arrivals_.size()) <= options_.cold_allowed) {
    return;
  }
  record_.violations.push_back(options_.id + " is cold and got " +
                               std::to_string(cold_arrivals_.size()) +
                               " requests within a second");
}

void DeploymentUpstream::StateLimit(const std::string& per_second) {
  limit_ = per_second;
  limit_stated_at_ = kNever;
  arrivals_.clear();
}

void DeploymentUpstream::CheckLimit() {
  const MonotonicTime now = loop_.timers().now();
  if (limit_stated_at_ == kNever || now - limit_stated_at_ < kLimitUnknown)
    return;
  arrivals_.push_back(now);
  while (now - arrivals_.front() > kLimitWindow) arrivals_.pop_front();
  const double allowed =
      kLimitFactor * std::stod(limit_) * ToSeconds(kLimitWindow) + kLimitSlack;
  if (now - limit_stated_at_ < kLimitApplies ||
      static_cast<double>(arrivals_.size()) <= allowed) {
    return;
  }
  record_.violations.push_back(
      options_.id + " with a limit of " + limit_ + " per second got " +
      std::to_string(arrivals_.size()) + " requests within 4 s");
}

bool DeploymentUpstream::Holds(int key) const {
  const auto after = holds_.upper_bound(key);
  if (server_ == nullptr || after == holds_.begin()) return false;
  const Hold& hold = std::prev(after)->second;
  return key <= hold.last && loop_.timers().now() < hold.until;
}

void DeploymentUpstream::Respond(ExchangeId id, int status, HttpHeaders headers,
                                 std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers = std::move(headers);
  response.headers.push_back({"x-instance-id", options_.id});
  response.headers.push_back(
      {"x-server-load", std::to_string(running_) + "," +
                            std::to_string(queue_.size()) + "," +
                            std::to_string(options_.slots)});
  if (!limit_.empty()) {
    response.headers.push_back({"server-limit", limit_});
    if (limit_stated_at_ == kNever) limit_stated_at_ = loop_.timers().now();
  }
  if (faults_.announce_leaving)
    response.headers.push_back({"server-leaving", "1"});
  response.body = std::move(body);
  server_->Respond(id, response);
}

void DeploymentUpstream::OnRequest(ExchangeId id, HttpRequest&& request) {
  const std::string_view target =
      FindHeader(request.headers, "x-target-instance");
  if (!target.empty() && target != options_.id) {
    Respond(id, 421, {{"x-not-executed", "1"}});
  } else if (request.path == "/mimosadeal/grant" && options_.keyed) {
    OnGrant(id, request.body);
  } else if (request.path == "/mimosadeal/release" && options_.keyed) {
    OnRelease(id, request.body);
  } else {
    OnCallerRequest(id, std::move(request));
  }
}

void DeploymentUpstream::OnGrant(ExchangeId id, const std::string& body) {
  ++grants_;
  if (faults_.ignore_grants) return;
  const MonotonicTime now = loop_.timers().now();
  if (faults_.grant_delay <= Duration::zero()) {
    ApplyGrant(id, body, now);
    return;
  }
  loop_.timers().After(
      faults_.grant_delay,
      [this, id, body, now, alive = std::weak_ptr<char>(alive_)] {
        if (!alive.expired()) ApplyGrant(id, body, now);
      });
}

void DeploymentUpstream::ApplyGrant(ExchangeId id, const std::string& body,
                                    MonotonicTime arrived_at) {
  const auto command = nlohmann::json::parse(body, nullptr, false);
  const int first = command["from"].get<int>();
  const int last = command["target"].get<int>();
  const auto generation = command["fence"].get<uint64_t>();
  const std::string hold = command["hold_time"].get<std::string>();
  for (int key = first; key <= last; ++key) {
    const auto seen = highest_generations_.find(key);
    if (seen != highest_generations_.end() && seen->second > generation) {
      Respond(id, 409, {});
      return;
    }
  }
  const std::string incarnation_id =
      options_.id + "/" + std::to_string(incarnation_);
  for (int key = first; key <= last; ++key) {
    auto& holder = record_.last_holder[key];
    if (holder.first != incarnation_id && !holder.first.empty() &&
        generation <= holder.second) {
      record_.violations.push_back("key " + std::to_string(key) +
                                   " was granted to " + incarnation_id +
                                   " with a generation that is not "
                                   "above that of its last holder");
    }
    holder = {incarnation_id, std::max(holder.second, generation)};
    highest_generations_[key] = generation;
  }
  // A grant replaces earlier holds within its range.
  for (auto it = holds_.begin(); it != holds_.end();) {
    const bool inside = it->first >= first && it->second.last <= last;
    it = inside ? holds_.erase(it) : std::next(it);
  }
  const auto hold_time = std::chrono::duration_cast<Duration>(
      std::chrono::milliseconds(std::stoll(hold)) * faults_.clock_factor);
  holds_[first] = {last, generation, arrived_at + hold_time};
  Respond(id, 200, {});
}

bool DeploymentUpstream::IsRunningKeyIn(int first, int last) const {
  return std::any_of(running_requests_.begin(), running_requests_.end(),
                     [&](const auto& entry) {
                       const int key = record_.runs[entry.second].key;
                       return key >= first && key <= last;
                     });
}

void DeploymentUpstream::OnRelease(ExchangeId id, const std::string& body) {
  releases_.push_back(loop_.timers().now());
  if (faults_.ignore_releases) return;
  const auto command = nlohmann::json::parse(body, nullptr, false);
  const int first = command["from"].get<int>();
  const int last = command["target"].get<int>();
  for (int key = first; key <= last; ++key)
    highest_generations_[key] =
        std::max(highest_generations_[key], command["fence"].get<uint64_t>());
  std::map<int, Hold> left;
  for (const auto& [start, hold] : holds_) {
    if (hold.last < first || start > last) {
      left[start] = hold;
      continue;
    }
    if (start < first) left[start] = {first - 1, hold.generation, hold.until};
    if (hold.last > last) left[last + 1] = hold;
  }
  holds_ = std::move(left);
  pending_releases_.push_back({id, first, last});
  CompleteReleases();
}

void DeploymentUpstream::CompleteReleases() {
  std::erase_if(pending_releases_, [this](const PendingRelease& release) {
    if (IsRunningKeyIn(release.first, release.last)) return false;
    const std::string handover =
        faults_.handover.empty() ? "h-" + options_.id : faults_.handover;
    Respond(release.exchange, 200, {{"x-handover", handover}});
    return true;
  });
}

void DeploymentUpstream::OnCallerRequest(ExchangeId id, HttpRequest&& request) {
  const std::string request_id(FindHeader(request.headers, "x-request-id"));
  const int key =
      static_cast<int>(ToNumber(FindHeader(request.headers, "x-shard-key")));
  CheckLimit();
  if (faults_.requests_to_ignore > 0) {
    --faults_.requests_to_ignore;
    return;
  }
  if (!faults_.rest_seconds.empty()) {
    ++refused_requests_;
    Respond(id, 503,
            {{"x-not-executed", "1"},
             {"retry-after", faults_.rest_seconds},
             {"x-request-id", request_id}});
    return;
  }
  if (options_.keyed && !Holds(key)) {
    misdirected_.push_back(loop_.timers().now());
    Respond(id, 421, {{"x-not-executed", "1"}, {"x-request-id", request_id}});
    return;
  }
  CheckCold();
  if (running_ >= options_.slots && queue_.size() >= options_.max_queued) {
    ++overruns_;
    if (faults_.reset_when_full) {
      server_->Drop(id);
      return;
    }
    Respond(id, 503, {{"x-not-executed", "1"}, {"x-request-id", request_id}});
    return;
  }
  UpstreamRun run;
  run.request_id = request_id;
  run.upstream = options_.id;
  run.key = key;
  run.method = request.method;
  run.target = request.target;
  run.body = request.body;
  run.time_left_ms =
      ToNumber(FindHeader(request.headers, "x-request-deadline-ms"));
  record_.runs.push_back(std::move(run));
  queue_.push_back({id, record_.runs.size() - 1});
  most_held_ =
      std::max(most_held_, queue_.size() + static_cast<size_t>(running_));
  StartNext();
}

void DeploymentUpstream::StartNext() {
  while (running_ < options_.slots && !queue_.empty()) {
    const QueuedRequest next = queue_.front();
    queue_.pop_front();
    UpstreamRun& run = record_.runs[next.run];
    if (options_.keyed && !Holds(run.key)) {
      // The key was released or its hold expired while the request waited.
      Respond(next.exchange, 421,
              {{"x-not-executed", "1"}, {"x-request-id", run.request_id}});
      continue;
    }
    run.began_at = loop_.timers().now();
    if (faults_.crash_on_poison &&
        run.target.find("poison") != std::string::npos) {
      loop_.Post([this, alive = std::weak_ptr<char>(alive_)] {
        if (!alive.expired()) server_.reset();
      });
      return;
    }
    for (const DeploymentUpstream* peer : Peers()) {
      if (options_.keyed && peer != this && peer->options_.keyed &&
          peer->Holds(run.key)) {
        record_.violations.push_back(
            "key " + std::to_string(run.key) + " is held by " + options_.id +
            " and " + peer->options_.id + " at " +
            std::to_string(
                ToMilliseconds(loop_.timers().now().time_since_epoch())));
      }
    }
    ++running_;
    running_requests_[next.exchange] = next.run;
    loop_.timers().After(options_.work,
                         [this, next, alive = std::weak_ptr<char>(alive_)] {
                           if (!alive.expired())
                             Finish(next.exchange, next.run);
                         });
  }
}

void DeploymentUpstream::Finish(ExchangeId exchange, size_t run) {
  if (server_ == nullptr || running_requests_.erase(exchange) == 0) return;
  --running_;
  record_.runs[run].ended_at = loop_.timers().now();
  const std::string id = record_.runs[run].request_id;
  if (faults_.lose_responses) {
    server_->Drop(exchange);
  } else {
    Respond(exchange, 200,
            {{"x-request-id", id}, {"x-response-signature", "s-" + id}},
            "response of " + options_.id);
  }
  CompleteReleases();
  StartNext();
}

void DeploymentUpstream::OnAbandoned(ExchangeId id) {
  std::erase_if(queue_, [id](const QueuedRequest& queued) {
    return queued.exchange == id;
  });
  if (running_requests_.erase(id) == 0) return;
  --running_;
  CompleteReleases();
  StartNext();
}

}  // namespace mimosadeal
