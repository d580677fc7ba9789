// Sends requests to upstreams through another host, while this host has lost
// its own paths to their service, and sends the requests of other hosts.
//
// The host that received a request from its caller makes all decisions on it;
// the other one only carries it out, at most once, and never passes it on. So
// attempts, deadlines and retries are counted as without a relay.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "entry/relay_budget.h"
#include "entry/upstream_pool.h"
#include "forwarding/deployment_protocol.h"
#include "inner/inner_transport.h"
#include "inner/relay_messages.h"
#include "net/shared_body.h"

namespace mimosadeal {

class DeploymentView;
class EntryMetrics;
class EventLog;
class EventLoop;
class PathMonitor;
struct ListedUpstream;

struct ExchangeRelayOptions {
  std::string zone;
  std::string address;  // This host's inner address.
  std::shared_ptr<ByteBudget> budget;
};

struct ExchangeRelayHandlers {
  // The zone's other hosts, and the holders of other zones' leases.
  std::function<std::vector<std::string>()> zone_hosts;
  std::function<std::vector<std::string>()> other_holders;
  // Whether this host holds its zone's lease.
  std::function<bool()> holds_lease;
  // Until when the upstream may get requests; see
  // RequestForwarder::UsableUntil.
  std::function<MonotonicTime(const ListedUpstream&)> usable_until;
  // An upstream closed the connection without a response.
  std::function<void(uint64_t fingerprint, const UpstreamRecord& upstream)>
      on_closed_by_upstream;
  // Requests that wait for a helper may be sent.
  std::function<void()> on_helper;
};

// What the relay adds to the request; see RelayRequest.
struct RelayContext {
  std::string request_id;
  uint64_t fingerprint = 0;
};

struct RelayResult {
  ExchangeResult exchange;
  // The other host does not reach the upstream either.
  bool upstream_unreached = false;
};

using RelayCallId = uint64_t;

class ExchangeRelay {
 public:
  using Callback = std::function<void(RelayResult)>;

  ExchangeRelay(EventLoop& loop, const DeploymentProtocol& protocol,
                const DeploymentView& view, UpstreamPool& pool,
                PathMonitor& paths, EntryMetrics& metrics, EventLog& log,
                ExchangeRelayOptions options, ExchangeRelayHandlers handlers);
  ~ExchangeRelay();
  ExchangeRelay(const ExchangeRelay&) = delete;
  ExchangeRelay& operator=(const ExchangeRelay&) = delete;

  // Must be called before any other function. The transport's handlers pass on
  // what this class handles.
  void SetTransport(InnerTransport& transport) { transport_ = &transport; }
  // Handles a message of one of the relay's types. `connection`: kNoConnection
  // for a datagram.
  void OnMessage(ConnectionId connection, const Frame& frame);
  // Whether there is room for a long message, of which `begun` has arrived;
  // nothing if that does not show yet. Replies for it otherwise.
  std::optional<bool> OnLongFrame(ConnectionId connection,
                                  const FrameStart& start,
                                  std::string_view begun);
  // Whether to give up a long message of which nothing more arrives. Replies
  // for it then.
  bool OnSilentFrame(ConnectionId connection, const FrameStart& start,
                     std::string_view begun);
  void OnDisconnected(ConnectionId connection);
  // The paths of this host changed: looks for helpers if it needs them.
  void OnPathsChanged();
  // Takes no more requests of other hosts, as at a planned stop.
  void StopHelping() { helping_ = false; }

  // Whether another host recently offered to send requests to the service.
  bool HasHelper(const std::string& service) const;
  // Whether one did within some seconds.
  bool HadHelper(const std::string& service) const;
  // Sends the request through another host. The callback runs later, never
  // within this call.
  RelayCallId Send(const UpstreamRecord& upstream, ExchangeRequest request,
                   RelayContext context, Callback callback);
  // The callback does not run. The upstream may have received the request, or
  // may still receive it.
  void Cancel(RelayCallId id);
  // Number of requests of other hosts in progress.
  size_t helped() const { return helped_.size(); }

 private:
  struct Helper {
    std::set<std::string> services;
    std::string zone;
    MonotonicTime offered_at = kNever;
    // Until then it gets no long requests, as it had no room for one.
    MonotonicTime short_of_room_until = kNever;
    int in_flight = 0;  // This host's requests there.
  };
  struct Call {
    std::string helper;
    ConnectionId connection = kNoConnection;
    uint64_t timer = 0;
    Callback callback;
  };
  // The sender's connection, and its id of the request.
  using HelpedKey = std::pair<ConnectionId, uint64_t>;

  void ProbeHelpers();
  void OnProbe(const RelayProbe& probe);
  void OnOffer(const RelayOffer& offer);
  // Returns the address of the best helper for a request with a body of this
  // length, or an empty text.
  std::string ChooseHelper(const std::string& service, size_t body_bytes);
  // Returns whether the request was passed to the connection.
  bool SendRequest(Call& call, const RelayRequest& message,
                   const SharedBody& body);
  void OnReply(RelayReply&& reply);
  void OnDeclined(const Call& call, const RelayReply& reply);
  void Complete(RelayCallId id, RelayResult result);
  // Completes the calls on the connection as possibly written.
  void FailCallsOn(ConnectionId connection);
  // Gives up the helpers that no longer reply to probes.
  void DropSilentHelpers();
  void OnRequest(ConnectionId connection, RelayRequest request, size_t bytes);
  // Replies for a long message that is not read, or fails the call it is for.
  void RefuseLong(ConnectionId connection, MessageType type, uint64_t id,
                  std::string_view outcome);
  // Returns a hold on the bytes of a request, or null if there is no room.
  std::shared_ptr<ByteHold> HoldRequest(ConnectionId connection, size_t bytes);
  void Decline(ConnectionId connection, uint64_t id, RelayStatus status,
               ClientFailure failure);
  bool MayHelp() const;
  // Returns the upstream if this host may send it the request, else null with
  // the reason in `status`.
  const ListedUpstream* FindUpstream(const RelayRequest& request,
                                     RelayStatus& status);
  void OnHelped(const HelpedKey& key, uint64_t fingerprint,
                const UpstreamRecord& upstream, ExchangeResult result);
  // Returns whether the reply was passed to the connection.
  bool SendReply(ConnectionId connection, RelayReply reply);
  void OnCancel(ConnectionId connection, const RelayCancel& cancel);
  void LogHelpers();

  EventLoop& loop_;
  const DeploymentProtocol& protocol_;
  const DeploymentView& view_;
  UpstreamPool& pool_;
  PathMonitor& paths_;
  EntryMetrics& metrics_;
  EventLog& log_;
  ExchangeRelayOptions options_;
  ExchangeRelayHandlers handlers_;
  InnerTransport* transport_ = nullptr;
  Random random_;
  RelayBudget budget_;
  // Of long messages that are being read.
  std::map<ConnectionId, std::shared_ptr<ByteHold>> arriving_;
  bool helping_ = true;
  std::map<std::string, Helper> helpers_;  // By inner address.
  // When a host last offered to send requests to each service.
  std::map<std::string, MonotonicTime> last_offers_;
  // Hosts that others named in their offers.
  std::set<std::string> named_hosts_;
  size_t logged_helpers_ = 0;
  uint64_t probe_timer_ = 0;
  RelayCallId next_id_;
  std::map<RelayCallId, Call> calls_;
  std::map<HelpedKey, PoolCallId> helped_;
};

}  // namespace mimosadeal
