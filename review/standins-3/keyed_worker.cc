#include "keyed_worker.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "deployment_store.h"

namespace mimosadeal::review {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kIdleTimeout{10000};
constexpr int kConnections = 295;
constexpr size_t kMaxBodyBytes = size_t{1} << 20;
constexpr int64_t kBorn = 1'767'225'600'000;

std::string Header(const HttpRequest& request, const char* name) {
  return std::string(FindHeader(request.headers, name));
}

}  // namespace

KeyedWorker::KeyedWorker(EventLoop& loop, DeploymentStore& store,
                         Record& record, KeyedWorkerOptions options)
    : loop_(loop), record_(record), options_(std::move(options)) {
  HttpServerHandlers handlers;
  handlers.on_request = [this](ExchangeId id, HttpRequest&& request) {
    OnRequest(id, request);
  };
  handlers.on_abandoned = [this](ExchangeId id) {
    std::erase_if(waiting_,
                  [id](const Request& one) { return one.exchange == id; });
    std::erase_if(releases_,
                  [id](const Release& one) { return one.exchange == id; });
    if (running_.erase(id) > 0) End(id);
  };
  handlers.make_refusal = [](int status, const std::string&) {
    HttpResponse response;
    response.status = status;
    return response;
  };
  auto server = ExchangeServer::Listen(
      loop, options_.address,
      {{16384, kMaxBodyBytes}, kIdleTimeout, kIdleTimeout, kConnections},
      std::move(handlers));
  if (!server.has_value()) std::exit(kCouldNotRun);
  server_ = std::move(server.value());
  store.Put("servers", options_.id,
            {{"service", options_.service},
             {"address", options_.address.ToString()},
             {"zone", options_.zone},
             {"version", "v1"},
             {"slots", options_.slots},
             {"state", "ready"},
             {"warmupLeft", "0ms"},
             {"seq", 1},
             {"born", kBorn}});
}

void KeyedWorker::SetBeginHandler(
    std::function<void(const KeyedWorker&, int)> handler) {
  on_begin_ = std::move(handler);
}

bool KeyedWorker::Holds(int key) const {
  const auto after = holds_.upper_bound(key);
  if (after == holds_.begin()) return false;
  const Hold& hold = std::prev(after)->second;
  return key <= hold.last && loop_.timers().now() < hold.until;
}

bool KeyedWorker::Shares(const KeyedWorker& other) const {
  const MonotonicTime now = loop_.timers().now();
  for (const auto& [first, hold] : holds_) {
    if (now >= hold.until) continue;
    for (const auto& [other_first, other_hold] : other.holds_) {
      if (now < other_hold.until && first <= other_hold.last &&
          other_first <= hold.last) {
        return true;
      }
    }
  }
  return false;
}

void KeyedWorker::Answer(ExchangeId id, int status, HttpHeaders headers,
                         const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.headers = std::move(headers);
  response.headers.push_back({"x-instance-id", options_.id});
  response.headers.push_back(
      {"x-server-load", std::to_string(running_.size()) + "," +
                            std::to_string(waiting_.size()) + "," +
                            std::to_string(options_.slots)});
  response.body = body;
  server_->Respond(id, std::move(response));
}

void KeyedWorker::OnRequest(ExchangeId id, const HttpRequest& request) {
  const std::string target = Header(request, "x-target-instance");
  if (!target.empty() && target != options_.id) {
    Answer(id, 421, {{"x-not-executed", "1"}});
  } else if (request.path == "/mimosadeal/grant") {
    OnGrant(id, request.body);
  } else if (request.path == "/mimosadeal/release") {
    OnRelease(id, request.body);
  } else {
    OnClientRequest(id, request);
  }
}

void KeyedWorker::Drop(int first, int last) {
  std::map<int, Hold> left;
  for (const auto& [start, hold] : holds_) {
    if (hold.last < first || start > last) {
      left[start] = hold;
      continue;
    }
    if (start < first) left[start] = {first - 1, hold.until};
    if (hold.last > last) left[last + 1] = hold;
  }
  holds_ = std::move(left);
}

void KeyedWorker::OnGrant(ExchangeId id, const std::string& body) {
  const auto command = nlohmann::json::parse(body);
  const int first = command["from"].get<int>();
  const int last = command["target"].get<int>();
  const auto generation = command["fence"].get<uint64_t>();
  const int hold_ms =
      std::atoi(command["hold_time"].get<std::string>().c_str());
  ++grants_;
  for (int key = first; key <= last; ++key) {
    if (generations_[key] > generation) {
      Answer(id, 409, {});
      return;
    }
  }
  for (int key = first; key <= last; ++key) generations_[key] = generation;
  const bool renewed = Holds(first) && Holds(last);
  Drop(first, last);
  holds_[first] = {
      last, loop_.timers().now() +
                std::chrono::duration_cast<Duration>(milliseconds(hold_ms) *
                                                     options_.clock_factor)};
  if (!renewed) {
    record_.Add(options_.id + ": takes " + std::to_string(first) + " to " +
                std::to_string(last) + ", fence " + std::to_string(generation));
  }
  Answer(id, 200, {});
}

void KeyedWorker::OnRelease(ExchangeId id, const std::string& body) {
  const auto command = nlohmann::json::parse(body);
  const int first = command["from"].get<int>();
  const int last = command["target"].get<int>();
  const auto generation = command["fence"].get<uint64_t>();
  for (int key = first; key <= last; ++key)
    generations_[key] = std::max(generations_[key], generation);
  Drop(first, last);
  record_.Add(options_.id + ": releases " + std::to_string(first) + " to " +
              std::to_string(last) + ", fence " + std::to_string(generation));
  releases_.push_back({id, first, last});
  AnswerReleases();
}

void KeyedWorker::AnswerReleases() {
  std::erase_if(releases_, [this](const Release& release) {
    for (const auto& [id, request] : running_) {
      if (request.key >= release.first && request.key <= release.last)
        return false;
    }
    Answer(release.exchange, 200, {{"x-handover", "h-" + options_.id}});
    return true;
  });
}

void KeyedWorker::OnClientRequest(ExchangeId id, const HttpRequest& request) {
  const Request one{id, Header(request, "x-request-id"),
                    std::atoi(Header(request, "x-shard-key").c_str())};
  if (!Holds(one.key)) {
    Answer(id, 421, {{"x-not-executed", "1"}, {"x-request-id", one.id}});
  } else if (waiting_.size() >= options_.queue) {
    Answer(id, 503, {{"x-not-executed", "1"}, {"x-request-id", one.id}});
  } else {
    waiting_.push_back(one);
    BeginNext();
  }
}

void KeyedWorker::BeginNext() {
  while (!waiting_.empty() &&
         running_.size() < static_cast<size_t>(options_.slots)) {
    const Request next = waiting_.front();
    waiting_.pop_front();
    if (!Holds(next.key)) {
      Answer(next.exchange, 421,
             {{"x-not-executed", "1"}, {"x-request-id", next.id}});
      continue;
    }
    ++begun_;
    record_.Add(options_.id + ": begins " + next.id + ", key " +
                std::to_string(next.key));
    running_[next.exchange] = next;
    if (on_begin_) on_begin_(*this, next.key);
    loop_.timers().After(options_.work, [this, next] {
      if (running_.erase(next.exchange) == 0) return;
      Answer(
          next.exchange, 200,
          {{"x-request-id", next.id}, {"x-response-signature", "s-" + next.id}},
          "answer of " + options_.id);
      End(next.exchange);
    });
  }
}

void KeyedWorker::End(ExchangeId /*exchange*/) {
  AnswerReleases();
  // Later, as this may run within a call of the server.
  loop_.Post([this] { BeginNext(); });
}

}  // namespace mimosadeal::review
