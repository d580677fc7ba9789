// Pool of this host's connections to upstreams, with the load of each upstream
// as known to this host.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "balance/idle_timeout_estimate.h"
#include "balance/upstream_load.h"
#include "fleet/upstream_record.h"
#include "net/exchange_client.h"

namespace mimosadeal {

class EventLoop;
class PathMonitor;

struct UpstreamPoolLimits {
  HttpMessageLimits text;
  // For the responses that are not complete.
  std::shared_ptr<ByteBudget> budget;
  // To all upstreams, idle ones too. Idle ones are closed in favour of calls.
  size_t max_connections = SIZE_MAX;
  Duration connect_timeout{};
  // A connection that takes longer to open shows that the path may be lost.
  Duration slow_connect{};
  // Fraction of the upstream's idle timeout for which an idle connection is
  // reused. Later, the upstream could close it while a request is on its way.
  double usable_idle_share = 0;
  // Used if the upstream does not state its idle timeout.
  Duration assumed_idle_timeout{};
};

using PoolCallId = uint64_t;

class UpstreamPool {
 public:
  using Callback = std::function<void(ExchangeResult)>;

  // `paths` learns whether connections could be opened.
  UpstreamPool(EventLoop& loop, PathMonitor& paths, UpstreamPoolLimits limits);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  // Sends a request to the upstream. The callback runs later, never within this
  // call.
  PoolCallId Send(const UpstreamRecord& upstream, ExchangeRequest request,
                  Callback callback);
  // Aborts a call by closing its connection; its callback does not run. Returns
  // whether the upstream may have received the request.
  bool Cancel(PoolCallId id);
  // Whether the call's connection is still being opened, so that nothing was
  // sent.
  bool IsConnecting(PoolCallId id) const;

  // Returns the load of an upstream. Adds the upstream if it is new. A record
  // with another incarnation or address replaces the upstream's state.
  UpstreamLoad& LoadOf(const UpstreamRecord& upstream);
  // Returns null when that incarnation of the upstream is not in the pool.
  UpstreamLoad* FindLoad(const UpstreamRecord& upstream);
  const UpstreamLoad* FindLoad(const UpstreamRecord& upstream) const;
  // Removes the upstreams for which `keep` is false, with their idle
  // connections.
  void Retain(const std::function<bool(const std::string& id,
                                       int64_t incarnation)>& keep);

  // Number of calls in flight. Each uses one connection.
  size_t calls() const { return calls_.size(); }
  size_t max_connections() const { return limits_.max_connections; }
  // Whether the service may have another call. A part of the connections is for
  // other services, in case its upstreams do not respond.
  bool MayCall(const std::string& service) const;
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  struct Upstream;
  struct Call;

  // Adds or replaces the upstream if needed; see LoadOf.
  Upstream& FindOrAdd(const UpstreamRecord& record);
  // Returns an idle connection that may be reused, else a new one. `unused`:
  // only a new one.
  std::unique_ptr<ExchangeClient> TakeConnection(Upstream& upstream,
                                                 bool unused);
  void NoteCallEnded(const std::string& service);
  // Closes the connection that has been idle longest if there is no room for
  // another call.
  void MakeRoomForCall();
  // Records whether a connection to the upstream could be opened.
  void NoteConnection(Upstream& upstream, const ExchangeResult& result);
  // Records that the call's connection takes long to open.
  void NoteSlowConnect(PoolCallId id);
  // Records that the upstream reset a connection that had been idle.
  void NoteIdleReset(const Call& call, const ExchangeResult& result);
  void OnResult(PoolCallId id, ExchangeResult result);
  void CloseIdle();

  EventLoop& loop_;
  PathMonitor& paths_;
  UpstreamPoolLimits limits_;
  uint64_t next_id_ = 1;
  uint64_t connections_opened_ = 0;
  uint64_t idle_timer_ = 0;
  // Common to all upstreams, because a single one is used too rarely to learn
  // from its connections.
  IdleTimeoutEstimate idle_timeout_estimate_;
  std::map<std::string, std::unique_ptr<Upstream>> upstreams_;
  std::map<PoolCallId, std::unique_ptr<Call>> calls_;
  std::map<std::string, size_t> calls_by_service_;  // Without those of none.
};

}  // namespace mimosadeal
