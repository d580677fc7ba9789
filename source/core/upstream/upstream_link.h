// A dispatcher's link to one upstream: one connection per slot for requests,
// and a control connection for grants and health probes.
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
  std::string process;  // Id of this dispatcher's process.
  std::string upstream;
  std::string service;
  SocketAddress address;
  bool checks_grants = true;
  bool divided_by_key = true;
  int slots = 1;
  size_t max_response_bytes = 0;
  LeaseTiming timing;
};

// The result of one request, as far as it is known from the connection.
struct UpstreamRequestResult {
  RequestOutcome outcome = RequestOutcome::kUnknown;
  // Whether `response` contains the complete response of the upstream.
  bool complete = false;
  // Whether the connection was closed during the request, for example because
  // the upstream crashed.
  bool connection_broke = false;
  // Whether this host aborted the request because the upstream was silent: it
  // no longer responded to anything.
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

  // Applies the assignment of the newest ownership table. `dispatching` is
  // false if this host does not dispatch to the upstream.
  void SetAssignment(const TableVersion& version, ShardSet shards,
                     bool dispatching);

  // To be called at short intervals. Sends a grant or a probe if it is due or
  // the assignment changed, unless one is in flight. `lease_left` is zero
  // without a lease.
  void Renew(Duration lease_left);

  // Returns whether a request of `shard` may be sent at `now`. Does not check
  // the lease of this host, which the dispatcher has to check in addition.
  bool MayRun(uint32_t shard, MonotonicTime now) const;

  bool HasFreeConnection() const;
  // Adds connections until there is one for each of `slots`.
  void EnsureConnections(int slots);
  // Sends one request. Requires a free connection.
  void Send(uint32_t shard, const std::string& request_id,
            ClientRequest request, ResultCallback callback);
  // Aborts a request in flight by closing its connection, which the upstream
  // treats as a cancellation.
  void Abort(const std::string& request_id);

  UpstreamReport Report(MonotonicTime now);
  UpstreamHealth health(MonotonicTime now) const;
  size_t in_flight() const;
  const std::string& upstream() const { return options_.upstream; }
  const UpstreamLinkOptions& options() const { return options_; }

  // Sets a callback for changes of the report's content.
  void set_on_change(std::function<void()> on_change) {
    on_change_ = std::move(on_change);
  }

 private:
  struct Slot {
    std::unique_ptr<HttpClientConnection> connection;
    std::string request_id;  // Empty if the slot is free.
    uint32_t shard = 0;
  };

  // Aborts the requests in flight at a silent upstream, instead of
  // waiting for their deadlines.
  void AbortRequestsInFlight();
  void SendGrant(Duration lease_left);
  void SendProbe();
  void OnControlResponse(const GrantToSend& grant,
                         const ClientResponse& response);
  void OnResult(Slot& slot, const std::string& request_id,
                ClientResponse response, const ResultCallback& callback);
  void UpdateApplied(MonotonicTime now);
  ShardSet ShardsToGrant() const;

  EventLoop& loop_;
  UpstreamLinkOptions options_;
  std::deque<Slot> slots_;  // A deque: callbacks keep references to slots.
  std::unique_ptr<HttpClientConnection> control_;
  GrantTracker tracker_;
  TableVersion version_;
  ShardSet assigned_;
  bool dispatching_ = false;
  // Shards in the latest revision of the grant: the assigned ones, and revoked
  // ones with requests in flight, which must be able to finish.
  ShardSet granted_shards_;
  uint64_t revision_ = 0;
  TableVersion applied_;
  MonotonicTime last_response_at_ = kNever;
  MonotonicTime first_probe_at_ = kNever;
  int consecutive_refusals_ = 0;
  MonotonicTime next_renewal_at_ = kNever;
  // The content changed: the next grant is sent without waiting until it is
  // due.
  bool renew_immediately_ = false;
  Duration lease_left_{};
  UpstreamHealth reported_health_ = UpstreamHealth::kUnknown;
  std::function<void()> on_change_;
};

}  // namespace mimosadeal
