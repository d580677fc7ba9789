// A dispatcher's link to one upstream: its connections, one for each slot, and
// a further one for grants and probes.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "inner/request_messages.h"
#include "net/http_client_connection.h"
#include "ownership/grant_tracker.h"
#include "ownership/ownership_table.h"

namespace mimosadeal {

class EventLoop;

struct UpstreamLinkOptions {
  std::string process;  // This dispatcher.
  std::string upstream;
  std::string service;
  SocketAddress address;
  bool checks_grants = true;
  bool divided_by_key = true;
  int slots = 1;
  size_t max_response_bytes = 0;
  LeaseTiming timing;
};

// What came of one request, as far as the connection tells.
struct UpstreamRequestResult {
  RequestOutcome outcome = RequestOutcome::kUnknown;
  // True when the upstream's whole answer is in `response`.
  bool complete = false;
  // The connection broke under the request, as when the upstream dies.
  bool connection_broke = false;
  // This host gave the request up because the upstream had ceased to answer
  // anything.
  bool silent = false;
  ClientResponse response;
};

class UpstreamLink {
 public:
  using ResultCallback = std::function<void(UpstreamRequestResult)>;

  UpstreamLink(EventLoop& loop, UpstreamLinkOptions options);
  ~UpstreamLink();
  UpstreamLink(const UpstreamLink&) = delete;
  UpstreamLink& operator=(const UpstreamLink&) = delete;

  // Takes over what the newest table assigns to this upstream; nothing when
  // `dispatching` is false.
  void SetAssignment(const TableVersion& version, ShardSet shards,
                     bool dispatching);

  // To be called at short intervals. Sends a grant, or a probe, when it is time
  // or something changed, unless one is on its way. `lease_left` is zero
  // without a lease.
  void Renew(Duration lease_left);

  // True when a request of `shard` may be sent at `now`. The caller checks its
  // own lease besides.
  bool MayRun(uint32_t shard, MonotonicTime now) const;

  bool HasFreeConnection() const;
  // Opens further connections, up to one for each of `slots`.
  void EnsureConnections(int slots);
  // Sends one request. A connection must be free.
  void Send(uint32_t shard, const std::string& request_id,
            ClientRequest request, ResultCallback callback);
  // Closes the connection under a request in flight, which the upstream takes
  // as a cancellation.
  void Abort(const std::string& request_id);

  UpstreamReport Report(MonotonicTime now);
  UpstreamHealth health(MonotonicTime now) const;
  size_t in_flight() const;
  const std::string& upstream() const { return options_.upstream; }
  const UpstreamLinkOptions& options() const { return options_; }

  // Runs when a report would differ from the one before.
  void set_on_change(std::function<void()> on_change) {
    on_change_ = std::move(on_change);
  }

 private:
  struct Slot {
    std::unique_ptr<HttpClientConnection> connection;
    std::string request_id;  // Empty when free.
    uint32_t shard = 0;
  };

  // Gives up what runs at an upstream that does not answer, rather than wait
  // for its deadline.
  void AbandonSilent();
  void SendGrant(Duration lease_left);
  void SendProbe();
  void OnControlAnswer(const GrantToSend& grant,
                       const ClientResponse& response);
  void OnAnswer(Slot& slot, const std::string& request_id,
                ClientResponse response, const ResultCallback& callback);
  void UpdateApplied(MonotonicTime now);
  ShardSet GrantContent() const;

  EventLoop& loop_;
  UpstreamLinkOptions options_;
  std::deque<Slot> slots_;  // Slots do not move: callbacks refer to them.
  std::unique_ptr<HttpClientConnection> control_;
  GrantTracker tracker_;
  TableVersion version_;
  ShardSet assigned_;
  bool dispatching_ = false;
  // What the latest revision of the grant holds: the assigned shards, and those
  // that were revoked while work on them runs, which must be let finish.
  ShardSet content_;
  uint64_t revision_ = 0;
  TableVersion applied_;
  MonotonicTime last_answer_ = kNever;
  MonotonicTime first_probe_ = kNever;
  int refused_connections_ = 0;
  MonotonicTime next_renewal_ = kNever;
  // A change came: the next grant is sent without waiting for its time.
  bool renew_at_once_ = false;
  Duration lease_left_{};
  UpstreamHealth reported_health_ = UpstreamHealth::kUnknown;
  std::function<void()> on_change_;
};

}  // namespace mimosadeal
