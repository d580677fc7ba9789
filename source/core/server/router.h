// Finds the dispatcher of a request's key and sends the request there. Retries
// only if the request was not run, is idempotent, or has an id by which the
// ledger prevents a second run.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "configuration/configuration.h"
#include "inner/inner_transport.h"
#include "ownership/ownership_table.h"
#include "platform/platform_host.h"
#include "settings/settings.h"

namespace mimosadeal {

class Dispatcher;
class EventLoop;

class Router {
 public:
  using ReplyCallback = std::function<void(DispatchReply)>;

  struct Environment {
    EventLoop& loop;
    InnerTransport& transport;
    Dispatcher& dispatcher;
    const Settings& settings;
    std::string process;
  };

  explicit Router(Environment environment);

  void OnTable(const OwnershipTable& table);
  void OnConfiguration(const Configuration& configuration);
  void OnPlatformHosts(const std::vector<PlatformHost>& hosts);

  // Routes a request. `reply` runs exactly once, possibly before this returns,
  // unless the request is cancelled. Returns the handle for Cancel.
  uint64_t Route(DispatchRequest request, ReplyCallback reply);
  void Cancel(uint64_t handle);

  void OnReply(ConnectionId connection, DispatchReply reply);
  void OnDisconnected(ConnectionId connection);
  // A request that another entry host forwarded to this one.
  void OnPeerRequest(ConnectionId connection, DispatchRequest request);
  void OnPeerCancel(ConnectionId connection, const DispatchCancel& cancel);

  // Must be called at short intervals. Retries waiting requests and fails those
  // whose time has run out.
  void Tick();

  size_t open_requests() const { return requests_.size(); }

 private:
  struct Request {
    DispatchRequest message;
    ReplyCallback reply;
    MonotonicTime deadline;
    MonotonicTime owner_wait_until;
    // A retry of this request was taken from the budget. If another host is
    // lost while it holds the request, the request is retried without taking a
    // second one.
    bool retry_taken = false;
    bool may_have_run = false;
    // The host that was lost while it processed the request, and the time from
    // which it may be tried again. The delay is needed because the ownership
    // table may not show the loss yet.
    std::string lost_host;
    MonotonicTime lost_host_retry_at = kNever;
    // Not sent; waits until the key has a dispatcher that can be reached.
    bool awaiting_owner = false;
    // The connection it was sent on; none for this host's dispatcher.
    ConnectionId connection = kNoConnection;
    bool local = false;  // Sent to this host's dispatcher.
    std::string host;    // The process it was sent to, if known.
  };

  // Sends the request to the key's dispatcher, or to a host of the key's zone.
  // Leaves it waiting if there is none to send to.
  void TrySend(uint64_t handle);
  void SendToHost(uint64_t handle, const std::string& host,
                  const std::string& address);
  void OnDispatchReply(uint64_t handle, DispatchReply reply);
  // Called when the host that the request was sent to is lost.
  void OnHostLost(uint64_t handle);
  // Takes one retry from the budget. Returns false if it is used up.
  bool TakeRetryToken();
  void Finish(uint64_t handle, DispatchReply reply);
  std::string NextEntryHostInZone(const std::string& zone);

  Environment environment_;
  OwnershipTable table_;
  Configuration configuration_;
  // Inner addresses of the live entry hosts of each zone.
  std::map<std::string, std::vector<std::string>> entry_hosts_;
  // Addresses of entry hosts that could not be sent to, and the time until
  // which they are avoided.
  std::map<std::string, MonotonicTime> avoided_until_;
  size_t next_entry_host_ = 0;
  uint64_t next_handle_ = 1;
  std::unordered_map<uint64_t, Request> requests_;
  // Handles of other hosts' requests, by connection and the peer's ticket.
  std::map<std::pair<ConnectionId, uint64_t>, uint64_t> peer_tickets_;
  // The retry budget. Each new request adds a fraction of a token.
  double retry_tokens_;
};

}  // namespace mimosadeal
