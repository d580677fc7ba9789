// Gives and asks for permits to send requests to upstreams that limit the
// requests per second of all hosts together, or that are cold.
//
// The holder of the lease on an upstream's availability zone gives the permits
// for it, so that at most one host does. While the store does not confirm its
// lease, it goes on with a part of the limit, which together with the limit of
// a successor stays within what upstreams tolerate. A successor begins without
// saved permits. A host that gets no permit sends nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "balance/permit_queue.h"
#include "common/boot_clock.h"
#include "common/ids.h"
#include "fleet/upstream_limit.h"
#include "inner/zone_messages.h"

namespace mimosadeal {

class DeploymentView;
class EventLog;
class EventLoop;
struct ListedUpstream;

// The host that gives permits for the upstreams of a zone.
struct PermitGiver {
  bool is_self = false;
  double share = 1;   // Part of the limit that this host may give.
  uint64_t term = 0;  // Of this host's lease on the zone.
  // Inner address of the giver, or of a host that knows it; empty if unknown.
  std::string address;
};

struct PermitDecision {
  bool granted = false;
  bool answered = false;  // Whether a giver decided.
  Duration retry_after{};
};

struct PermitBrokerHandlers {
  std::function<PermitGiver(const std::string& zone)> find_giver;
  // With `cold_ms` 0, the upstream is not known to be cold.
  std::function<void(const std::string& address, const ColdPermitRequest&)>
      send_request;
  std::function<void(const std::string& address, const PermitReply&)>
      send_reply;
  // Another host told what an upstream stated about its limit.
  std::function<void(const std::string& upstream, int64_t incarnation,
                     const UpstreamLimit& stated)>
      on_limit;
  // Another host takes an upstream for cold.
  std::function<void(const std::string& upstream, uint32_t cold_ms)> on_cold;
};

class PermitBroker {
 public:
  using Callback = std::function<void(const PermitDecision&)>;

  PermitBroker(EventLoop& loop, const DeploymentView& view, EventLog& log,
               std::string address, PermitBrokerHandlers handlers);
  ~PermitBroker();
  PermitBroker(const PermitBroker&) = delete;
  PermitBroker& operator=(const PermitBroker&) = delete;

  // Asks for a permit to send one request to the upstream. `wait`: how long the
  // request may wait for it. The callback runs once, later than this call.
  void Ask(const ListedUpstream& upstream, int rank, Duration wait,
           Callback callback);
  void OnRequest(const ColdPermitRequest& message);
  void OnReply(const PermitReply& reply);

 private:
  using UpstreamKey = std::pair<std::string, int64_t>;  // Id and incarnation.

  struct PendingAsk {
    PermitRequest request;
    UpstreamLimit limit;
    MonotonicTime give_up_at = kNever;
    uint64_t timer = 0;
    Callback callback;
  };
  // Who waits for a permit, by ticket.
  struct Asker {
    std::string address;
    uint64_t id = 0;
  };
  struct GiverState {
    std::string zone;
    uint64_t term = 0;
    PermitQueue queue;
    std::map<uint64_t, Asker> askers;
    uint64_t timer = 0;
  };

  void SendAsk(uint64_t id);
  void Complete(uint64_t id, const PermitDecision& decision);
  void Decide(const PermitRequest& request, const PermitGiver& giver);
  // Returns the state for the upstream, new if this host began to give permits
  // for it.
  GiverState& StateFor(const PermitRequest& request, const PermitGiver& giver,
                       double limit);
  void Serve(const UpstreamKey& upstream);
  // Refuses all that wait for a permit for the upstream, and forgets it.
  void StopGiving(const UpstreamKey& upstream);
  // Ends giving for the upstream, because it has no limit any more: all that
  // wait may send.
  void EndLimit(const UpstreamKey& upstream);
  // Forgets upstreams that have no limit any more.
  void RemoveUnlimited();
  void Reply(const UpstreamKey& upstream, const Asker& asker, bool granted,
             Duration retry_after);
  // Returns null if this host does not list that incarnation.
  const ListedUpstream* Find(const UpstreamKey& upstream) const;

  EventLoop& loop_;
  const DeploymentView& view_;
  EventLog& log_;
  std::string address_;  // This host's inner address.
  PermitBrokerHandlers handlers_;
  // Starts at random, so that replies to an earlier process of this host match
  // nothing.
  uint64_t next_id_;
  uint64_t next_ticket_ = 1;
  std::map<uint64_t, PendingAsk> asks_;
  std::map<UpstreamKey, GiverState> given_;
};

}  // namespace mimosadeal
