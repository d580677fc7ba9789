// Finds the dispatcher of a request's key, sends the request there, and tries
// again where that is certain to run nothing twice.
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

  // Routes a request; `reply` runs exactly once unless it is cancelled. Returns
  // its handle.
  uint64_t Route(DispatchRequest request, ReplyCallback reply);
  void Cancel(uint64_t handle);

  void OnReply(ConnectionId connection, DispatchReply reply);
  void OnDisconnected(ConnectionId connection);
  // A request that another entry host passed on.
  void OnPeerRequest(ConnectionId connection, DispatchRequest request);
  void OnPeerCancel(ConnectionId connection, const DispatchCancel& cancel);

  // To be called at short intervals.
  void Tick();

  size_t open_requests() const { return requests_.size(); }

 private:
  struct Request {
    DispatchRequest message;
    ReplyCallback reply;
    MonotonicTime deadline;
    MonotonicTime owner_wait_until;
    // A host was lost after the request was sent to it. The first time takes a
    // retry from the budget; after that the request only waits for its next
    // dispatcher.
    bool lost_once = false;
    bool may_have_run = false;
    // The host that was lost under the request, and until when it is not tried
    // again: the table may not show the loss yet.
    std::string lost_host;
    MonotonicTime not_before = kNever;
    bool awaiting_owner = false;
    ConnectionId connection =
        kNoConnection;  // Where it was sent; none for this host's dispatcher.
    bool local = false;
    std::string host;  // The process that it was sent to, when known.
  };

  void TrySend(uint64_t handle);
  void SendToHost(uint64_t handle, const std::string& host,
                  const std::string& address);
  void OnDispatchReply(uint64_t handle, DispatchReply reply);
  // The host that a request was sent to is lost.
  void OnHostLost(uint64_t handle);
  bool TakeRetryFromBudget();
  void Finish(uint64_t handle, DispatchReply reply);
  std::string AddressInZone(const std::string& zone);

  Environment environment_;
  OwnershipTable table_;
  Configuration configuration_;
  // Inner addresses of the entry hosts of each zone.
  std::map<std::string, std::vector<std::string>> entry_hosts_;
  // Entry hosts that failed to answer, and until when they are avoided.
  std::map<std::string, MonotonicTime> avoided_;
  size_t next_entry_host_ = 0;
  uint64_t next_handle_ = 1;
  std::unordered_map<uint64_t, Request> requests_;
  std::map<std::pair<ConnectionId, uint64_t>, uint64_t> peer_tickets_;
  double retry_tokens_;
};

}  // namespace mimosadeal
