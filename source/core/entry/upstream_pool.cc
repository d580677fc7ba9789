#include "entry/upstream_pool.h"

#include <utility>

#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// Idle connections kept to one upstream.
constexpr size_t kMostIdle = 6;
constexpr Duration kIdleSweep = std::chrono::seconds(1);
// A reset that comes later than a round trip to any zone has other causes than
// a connection that the upstream had forgotten.
constexpr Duration kLatestIdleReset = std::chrono::milliseconds(50);

}  // namespace

struct UpstreamPool::Upstream {
  UpstreamRecord record;
  UpstreamLoad load;
  std::list<std::unique_ptr<ExchangeClient>> idle;  // Latest used last.
};

struct UpstreamPool::Call {
  std::string upstream;
  int64_t incarnation = 0;
  std::unique_ptr<ExchangeClient> client;
  Callback callback;
  MonotonicTime began = kNever;
  Duration rested{};  // Of the connection before this call.
};

UpstreamPool::UpstreamPool(EventLoop& loop, UpstreamPoolLimits limits)
    : loop_(loop), limits_(limits) {
  idle_timer_ = loop_.timers().Every(kIdleSweep, [this] { CloseIdle(); });
}

UpstreamPool::~UpstreamPool() { loop_.timers().Cancel(idle_timer_); }

UpstreamPool::Upstream& UpstreamPool::Find(const UpstreamRecord& record) {
  std::unique_ptr<Upstream>& upstream = upstreams_[record.id];
  const bool other_life = upstream != nullptr &&
                          (upstream->record.incarnation != record.incarnation ||
                           !(upstream->record.address == record.address));
  if (upstream == nullptr || other_life) {
    upstream = std::make_unique<Upstream>();
    upstream->load.slots = record.slots;
  }
  upstream->record = record;
  return *upstream;
}

UpstreamLoad& UpstreamPool::Load(const UpstreamRecord& upstream) {
  return Find(upstream).load;
}

UpstreamLoad* UpstreamPool::FindLoad(const UpstreamRecord& upstream) {
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
    const Duration kept = client->peer_idle_timeout() > Duration::zero()
                              ? client->peer_idle_timeout()
                              : limits_.assumed_idle_timeout;
    const auto usable = Duration(static_cast<int64_t>(
        static_cast<double>(kept.count()) * limits_.idle_share));
    if (client->reusable() &&
        now - client->idle_since() < TrustedRest(idle_trust_, usable, now))
      return client;
  }
  ++connections_opened_;
  return std::make_unique<ExchangeClient>(loop_, upstream.record.address,
                                          limits_.text);
}

PoolCallId UpstreamPool::Send(const UpstreamRecord& record,
                              ExchangeRequest request, Callback callback) {
  Upstream& upstream = Find(record);
  const PoolCallId id = next_id_++;
  auto call = std::make_unique<Call>();
  call->upstream = record.id;
  call->incarnation = record.incarnation;
  call->client = TakeConnection(upstream, request.require_new_connection);
  call->began = loop_.timers().now();
  if (call->client->reusable())
    call->rested = call->began - call->client->idle_since();
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
  NoteIdleLoss(*call, result);
  const auto upstream = upstreams_.find(call->upstream);
  if (upstream != upstreams_.end() &&
      upstream->second->record.incarnation == call->incarnation) {
    --upstream->second->load.in_flight;
    if (call->client->reusable() && upstream->second->idle.size() < kMostIdle)
      upstream->second->idle.push_back(std::move(call->client));
  }
  call->callback(std::move(result));
}

void UpstreamPool::NoteIdleLoss(const Call& call,
                                const ExchangeResult& result) {
  const MonotonicTime now = loop_.timers().now();
  const bool forgotten = result.reused && result.end == StreamEnd::kReset &&
                         !result.response_started &&
                         now - call.began < kLatestIdleReset;
  if (forgotten) OnIdleLoss(idle_trust_, call.rested, now);
}

bool UpstreamPool::Cancel(PoolCallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return false;
  const auto upstream = upstreams_.find(found->second->upstream);
  if (upstream != upstreams_.end() &&
      upstream->second->record.incarnation == found->second->incarnation) {
    --upstream->second->load.in_flight;
  }
  // Destroyed in the next round: the caller may be the client's own callback.
  const std::shared_ptr<Call> cancelled = std::move(found->second);
  calls_.erase(found);
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
      const Duration kept = client->peer_idle_timeout() > Duration::zero()
                                ? client->peer_idle_timeout()
                                : limits_.assumed_idle_timeout;
      return !client->reusable() || now - client->idle_since() >= kept;
    });
  }
}

}  // namespace mimosadeal
