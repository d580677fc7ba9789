// Sends grant and release commands for key ranges to upstreams. Grants to one
// upstream are sent one at a time over one persistent connection.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fleet/upstream_record.h"
#include "forwarding/deployment_protocol.h"
#include "net/exchange_client.h"

namespace mimosadeal {

class EventLoop;

struct KeyCommandResult {
  bool replied = false;
  // Commands sent so far may have reached another incarnation of the upstream
  // than later ones will. Every generation that they granted must be replaced
  // before the next grant.
  // The log has this field under the same name.
  bool life_unproven = false;
  // The command was written to the connection, so it may take effect. Without a
  // reply the connection is closed, and nothing that is unsent will leave.
  bool written = false;
  // The command was not sent: `before_send` dropped it, or the queue of the
  // upstream was full.
  bool dropped = false;
  CommandReply reply;
};

class KeyCommandClient {
 public:
  using Callback = std::function<void(const KeyCommandResult&)>;

  KeyCommandClient(EventLoop& loop, const DeploymentProtocol& protocol);
  ~KeyCommandClient();
  KeyCommandClient(const KeyCommandClient&) = delete;
  KeyCommandClient& operator=(const KeyCommandClient&) = delete;

  // Returns the time by which a command must be sent; kNever drops it.
  using BeforeSend = std::function<MonotonicTime()>;

  // `timeout` starts when the command is sent. `before_send` runs just before
  // that, or before a connection for it is opened. `callback` runs once, unless
  // Clear is called before.
  void Grant(const UpstreamRecord& upstream, const GrantCommand& command,
             Duration timeout, BeforeSend before_send, Callback callback);
  // An upstream delays its reply to a release until its requests in progress
  // have finished, so each release uses a separate connection.
  void Release(const UpstreamRecord& upstream, const ReleaseCommand& command,
               Duration timeout, Callback callback);
  // Closes all connections, so that nothing that is unsent will leave, and
  // drops all commands without running callbacks.
  void Clear();

 private:
  struct Command;
  struct Channel;

  void Enqueue(const std::string& channel_name, const UpstreamRecord& upstream,
               Command command);
  void SendNext(const std::string& channel_name);
  void OnExchange(const std::shared_ptr<Channel>& channel,
                  const std::string& channel_name,
                  const ExchangeResult& exchange);
  // Closes the connection to an address that the upstream has left.
  void Retire(const std::shared_ptr<Channel>& channel);
  // Opens a new connection immediately after the peer announced that it closes
  // the current one.
  void Reconnect(const std::shared_ptr<Channel>& channel,
                 const std::string& channel_name);
  void Complete(const std::shared_ptr<Channel>& channel,
                const std::string& channel_name, const Callback& callback,
                const KeyCommandResult& result);

  EventLoop& loop_;
  const DeploymentProtocol& protocol_;
  std::map<std::string, std::shared_ptr<Channel>> channels_;
};

}  // namespace mimosadeal
