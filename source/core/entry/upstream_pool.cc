#include "entry/upstream_pool.h"

#include <algorithm>
#include <utility>

#include "entry/path_monitor.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// Idle connections per upstream.
constexpr size_t kMaxIdleConnections = 6;
// Of all connections, those that calls of one service may use.
constexpr double kServiceShare = 0.75;
constexpr Duration kIdleCheckInterval = std::chrono::seconds(1);
// An upstream that has dropped an idle connection resets it within a round
// trip, which is shorter than this to any zone. A later reset has another
// cause.
constexpr Duration kMaxIdleResetDelay = std::chrono::milliseconds(50);

}  // namespace

struct UpstreamPool::Upstream {
  UpstreamRecord record;
  UpstreamLoad load;
  std::list<std::unique_ptr<ExchangeClient>> idle;  // Most recently used last.
};

struct UpstreamPool::Call {
  std::string upstream;
  std::string service;
  int64_t incarnation = 0;
  std::unique_ptr<ExchangeClient> client;
  Callback callback;
  MonotonicTime started_at = kNever;
  Duration idle_time{};  // Of the connection, before this call.
  uint64_t slow_connect_timer = 0;
};

UpstreamPool::UpstreamPool(EventLoop& loop, PathMonitor& paths,
                           UpstreamPoolLimits limits)
    : loop_(loop), paths_(paths), limits_(std::move(limits)) {
  idle_timer_ =
      loop_.timers().Every(kIdleCheckInterval, [this] { CloseIdle(); });
}

UpstreamPool::~UpstreamPool() { loop_.timers().Cancel(idle_timer_); }

UpstreamPool::Upstream& UpstreamPool::FindOrAdd(const UpstreamRecord& record) {
  std::unique_ptr<Upstream>& upstream = upstreams_[record.id];
  const bool other_incarnation =
      upstream != nullptr &&
      (upstream->record.incarnation != record.incarnation ||
       !(upstream->record.address == record.address));
  if (upstream == nullptr || other_incarnation) {
    upstream = std::make_unique<Upstream>();
    upstream->load.slots = record.slots;
  }
  upstream->record = record;
  return *upstream;
}

UpstreamLoad& UpstreamPool::LoadOf(const UpstreamRecord& upstream) {
  return FindOrAdd(upstream).load;
}

UpstreamLoad* UpstreamPool::FindLoad(const UpstreamRecord& upstream) {
  return const_cast<UpstreamLoad*>(std::as_const(*this).FindLoad(upstream));
}

const UpstreamLoad* UpstreamPool::FindLoad(
    const UpstreamRecord& upstream) const {
  const auto found = upstreams_.find(upstream.id);
  if (found == upstreams_.end() ||
      found->second->record.incarnation != upstream.incarnation) {
    return nullptr;
  }
  return &found->second->load;
}

std::unique_ptr<ExchangeClient> UpstreamPool::TakeConnection(Upstream& upstream,
                                                             bool unused) {
  const MonotonicTime now = loop_.timers().now();
  while (!unused && !upstream.idle.empty()) {
    auto client = std::move(upstream.idle.back());
    upstream.idle.pop_back();
    const Duration idle_timeout = client->peer_idle_timeout() > Duration::zero()
                                      ? client->peer_idle_timeout()
                                      : limits_.assumed_idle_timeout;
    const auto max_idle_time = Duration(static_cast<int64_t>(
        static_cast<double>(idle_timeout.count()) * limits_.usable_idle_share));
    if (client->reusable() &&
        now - client->idle_since() <
            ReusableIdleTime(idle_timeout_estimate_, max_idle_time, now))
      return client;
  }
  MakeRoomForCall();
  ++connections_opened_;
  auto client = std::make_unique<ExchangeClient>(loop_, upstream.record.address,
                                                 limits_.text);
  client->ShareBudget(limits_.budget);
  return client;
}

bool UpstreamPool::MayCall(const std::string& service) const {
  const auto found = calls_by_service_.find(service);
  const size_t used = found == calls_by_service_.end() ? 0 : found->second;
  const auto share = static_cast<size_t>(
      static_cast<double>(limits_.max_connections) * kServiceShare);
  return calls_.size() < limits_.max_connections &&
         used < std::max<size_t>(1, share);
}

void UpstreamPool::NoteCallEnded(const std::string& service) {
  const auto found = calls_by_service_.find(service);
  if (--found->second == 0) calls_by_service_.erase(found);
}

void UpstreamPool::MakeRoomForCall() {
  const size_t most = calls_.size() + kMaxIdleConnections * upstreams_.size();
  if (most < limits_.max_connections) return;
  size_t idle = 0;
  Upstream* longest = nullptr;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream->idle.empty()) continue;
    idle += upstream->idle.size();
    if (longest == nullptr || upstream->idle.front()->idle_since() <
                                  longest->idle.front()->idle_since())
      longest = upstream.get();
  }
  if (longest != nullptr && calls_.size() + idle >= limits_.max_connections)
    longest->idle.pop_front();
}

PoolCallId UpstreamPool::Send(const UpstreamRecord& record,
                              ExchangeRequest request, Callback callback) {
  Upstream& upstream = FindOrAdd(record);
  const PoolCallId id = next_id_++;
  auto call = std::make_unique<Call>();
  call->upstream = record.id;
  call->service = record.service;
  call->incarnation = record.incarnation;
  ++calls_by_service_[record.service];
  call->client = TakeConnection(upstream, request.require_new_connection);
  call->started_at = loop_.timers().now();
  if (call->client->reusable())
    call->idle_time = call->started_at - call->client->idle_since();
  if (!call->client->reusable()) {
    call->slow_connect_timer = loop_.timers().After(
        limits_.slow_connect, [this, id] { NoteSlowConnect(id); });
  }
  call->callback = std::move(callback);
  ++upstream.load.in_flight;
  request.connect_timeout = limits_.connect_timeout;
  ExchangeClient* client = call->client.get();
  calls_.emplace(id, std::move(call));
  client->Start(std::move(request), [this, id](ExchangeResult result) {
    OnResult(id, std::move(result));
  });
  return id;
}

void UpstreamPool::OnResult(PoolCallId id, ExchangeResult result) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const std::unique_ptr<Call> call = std::move(found->second);
  calls_.erase(found);
  NoteCallEnded(call->service);
  loop_.timers().Cancel(call->slow_connect_timer);
  NoteIdleReset(*call, result);
  const auto upstream = upstreams_.find(call->upstream);
  if (upstream != upstreams_.end() &&
      upstream->second->record.incarnation == call->incarnation) {
    --upstream->second->load.in_flight;
    NoteConnection(*upstream->second, result);
    if (call->client->reusable() &&
        upstream->second->idle.size() < kMaxIdleConnections)
      upstream->second->idle.push_back(std::move(call->client));
  }
  call->callback(std::move(result));
}

void UpstreamPool::NoteConnection(Upstream& upstream,
                                  const ExchangeResult& result) {
  const bool failed =
      result.failure == ClientFailure::kNotConnected && !result.reused;
  if (result.failure == ClientFailure::kNone) OnConnected(upstream.load);
  if (failed) OnConnectFailure(upstream.load, loop_.timers().now());
  if (result.reused) return;
  if (result.request_written) {
    paths_.OnConnected(upstream.record);
  } else if (failed && result.end != StreamEnd::kReset) {
    // An upstream above its limit of connections resets them.
    paths_.OnConnectFailed(upstream.record, result.end == StreamEnd::kRefused);
  }
}

bool UpstreamPool::IsConnecting(PoolCallId id) const {
  const auto found = calls_.find(id);
  return found != calls_.end() && !found->second->client->connected();
}

void UpstreamPool::NoteSlowConnect(PoolCallId id) {
  if (!IsConnecting(id)) return;
  const Call& call = *calls_.at(id);
  const auto upstream = upstreams_.find(call.upstream);
  if (upstream != upstreams_.end() &&
      upstream->second->record.incarnation == call.incarnation) {
    paths_.OnConnectFailed(upstream->second->record, false);
  }
}

void UpstreamPool::NoteIdleReset(const Call& call,
                                 const ExchangeResult& result) {
  const MonotonicTime now = loop_.timers().now();
  const bool dropped_while_idle =
      result.reused && result.end == StreamEnd::kReset &&
      !result.response_started && now - call.started_at < kMaxIdleResetDelay;
  if (dropped_while_idle)
    OnIdleConnectionReset(idle_timeout_estimate_, call.idle_time, now);
}

bool UpstreamPool::Cancel(PoolCallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return false;
  const auto upstream = upstreams_.find(found->second->upstream);
  if (upstream != upstreams_.end() &&
      upstream->second->record.incarnation == found->second->incarnation) {
    --upstream->second->load.in_flight;
  }
  // Destroyed in the next iteration of the event loop, because this may run
  // within a callback of the client.
  const std::shared_ptr<Call> cancelled = std::move(found->second);
  calls_.erase(found);
  NoteCallEnded(cancelled->service);
  loop_.timers().Cancel(cancelled->slow_connect_timer);
  const bool received = cancelled->client->request_written();
  cancelled->client->Abort();
  loop_.Post([cancelled] {});
  return received;
}

void UpstreamPool::Retain(
    const std::function<bool(const std::string&, int64_t)>& keep) {
  std::erase_if(upstreams_, [&keep](const auto& entry) {
    return !keep(entry.first, entry.second->record.incarnation);
  });
}

void UpstreamPool::CloseIdle() {
  const MonotonicTime now = loop_.timers().now();
  for (auto& [id, upstream] : upstreams_) {
    std::erase_if(upstream->idle, [this, now](const auto& client) {
      const Duration idle_timeout =
          client->peer_idle_timeout() > Duration::zero()
              ? client->peer_idle_timeout()
              : limits_.assumed_idle_timeout;
      return !client->reusable() || now - client->idle_since() >= idle_timeout;
    });
  }
}

}  // namespace mimosadeal
