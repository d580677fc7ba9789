// This host's connections to upstreams, and what it knows of each one's load.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "balance/idle_trust.h"
#include "balance/upstream_load.h"
#include "fleet/upstream_record.h"
#include "net/exchange_client.h"

namespace mimosadeal {

class EventLoop;

struct UpstreamPoolLimits {
  HttpMessageLimits text;
  Duration connect_timeout{};
  // An idle connection is not used after this share of the time that the
  // upstream keeps it, so that a request never crosses its close.
  double idle_share = 0;
  // Where the upstream does not say how long it keeps an idle connection.
  Duration assumed_idle_timeout{};
};

using PoolCallId = uint64_t;

class UpstreamPool {
 public:
  using Callback = std::function<void(ExchangeResult)>;

  UpstreamPool(EventLoop& loop, UpstreamPoolLimits limits);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  // Sends a request to the upstream. The callback runs later, never from within
  // this call.
  PoolCallId Send(const UpstreamRecord& upstream, ExchangeRequest request,
                  Callback callback);
  // Closes the connection under a call, which then gets no callback. Returns
  // whether the upstream may have received the request.
  bool Cancel(PoolCallId id);

  // For an upstream that is about to be used. A record of another life than the
  // one that is held starts anew.
  UpstreamLoad& Load(const UpstreamRecord& upstream);
  // Returns null when that life of the upstream is no longer held.
  UpstreamLoad* FindLoad(const UpstreamRecord& upstream);
  // Forgets the connections to upstreams for which `keep` is false.
  void Retain(const std::function<bool(const std::string& id,
                                       int64_t incarnation)>& keep);

  // Calls in flight, each on a connection of its own.
  size_t calls() const { return calls_.size(); }
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  struct Upstream;
  struct Call;

  Upstream& Find(const UpstreamRecord& record);
  std::unique_ptr<ExchangeClient> TakeConnection(Upstream& upstream,
                                                 bool unused);
  void NoteIdleLoss(const Call& call, const ExchangeResult& result);
  void OnResult(PoolCallId id, ExchangeResult result);
  void CloseIdle();

  EventLoop& loop_;
  UpstreamPoolLimits limits_;
  uint64_t next_id_ = 1;
  uint64_t connections_opened_ = 0;
  uint64_t idle_timer_ = 0;
  IdleTrust idle_trust_;  // Of all upstreams: each is used too rarely to learn.
  std::map<std::string, std::unique_ptr<Upstream>> upstreams_;
  std::map<PoolCallId, std::unique_ptr<Call>> calls_;
};

}  // namespace mimosadeal
