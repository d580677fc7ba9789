#include "entry/key_command_client.h"

#include <utility>

#include "entry/grant_timing.h"
#include "net/event_loop.h"
#include "ranges/incarnation_proof.h"

namespace mimosadeal {
namespace {

constexpr HttpMessageLimits kCommandLimits = {16 * 1024, 64 * 1024};
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// Limit per channel; further commands would be outdated by the time that they
// are sent.
constexpr size_t kMaxQueuedCommands = 64;
constexpr char kReleasePrefix[] = "release/";

}  // namespace

struct KeyCommandClient::Command {
  ExchangeRequest request;
  BeforeSend before_send;
  Callback callback;
};

// The connection and the queued commands for the grants to one upstream, or for
// the releases that start at one key of it.
struct KeyCommandClient::Channel {
  SocketAddress address;
  std::unique_ptr<ExchangeClient> client;
  Callback in_flight;  // Of the command in flight; null if there is none.
  std::deque<Command> queue;
  IncarnationProof proof;
  MonotonicTime sent_at = kNever;  // Of the last command.
  bool reconnecting = false;
  // The callback of the last command has not run yet. It may change what has to
  // be sent next.
  bool result_pending = false;
  bool cleared = false;  // No callback may run.
};

KeyCommandClient::KeyCommandClient(EventLoop& loop,
                                   const DeploymentProtocol& protocol)
    : loop_(loop), protocol_(protocol) {}

KeyCommandClient::~KeyCommandClient() = default;

void KeyCommandClient::Grant(const UpstreamRecord& upstream,
                             const GrantCommand& command, Duration timeout,
                             BeforeSend before_send, Callback callback) {
  ExchangeRequest request = protocol_.write_grant(command, upstream.id);
  // While this process is stopped, a connection may be established for a
  // command that must not be sent any more.
  request.await_acceptance = true;
  request.timeout = timeout;
  Enqueue("grant/" + upstream.id, upstream,
          {std::move(request), std::move(before_send), std::move(callback)});
}

void KeyCommandClient::Release(const UpstreamRecord& upstream,
                               const ReleaseCommand& command, Duration timeout,
                               Callback callback) {
  ExchangeRequest request = protocol_.write_release(command, upstream.id);
  request.timeout = timeout;
  Enqueue(kReleasePrefix + upstream.id + "/" + std::to_string(command.first),
          upstream, {std::move(request), nullptr, std::move(callback)});
}

void KeyCommandClient::Enqueue(const std::string& channel_name,
                               const UpstreamRecord& upstream,
                               Command command) {
  std::shared_ptr<Channel>& channel = channels_[channel_name];
  if (channel == nullptr || !(channel->address == upstream.address)) {
    if (channel != nullptr) Retire(channel);
    channel = std::make_shared<Channel>();
    channel->address = upstream.address;
    channel->client = std::make_unique<ExchangeClient>(loop_, upstream.address,
                                                       kCommandLimits);
    // A grant must not arrive after the end of the process that sent it.
    channel->client->DiscardUnsentOnClose();
    if (!channel_name.starts_with(kReleasePrefix))
      channel->client->LimitDelivery(kGrantDelivery);
  }
  if (channel->queue.size() >= kMaxQueuedCommands) {
    loop_.Post([callback = std::move(command.callback)] {
      KeyCommandResult dropped;
      dropped.dropped = true;
      callback(dropped);
    });
    return;
  }
  channel->queue.push_back(std::move(command));
  SendNext(channel_name);
}

void KeyCommandClient::Retire(const std::shared_ptr<Channel>& channel) {
  KeyCommandResult lost;
  lost.written = channel->client->request_written();
  lost.life_unproven = true;
  channel->client->Abort();
  loop_.Post([callback = std::exchange(channel->in_flight, nullptr),
              queue = std::exchange(channel->queue, {}), lost] {
    if (callback) callback(lost);
    KeyCommandResult dropped;
    dropped.dropped = true;
    for (const Command& command : queue) command.callback(dropped);
  });
}

void KeyCommandClient::SendNext(const std::string& channel_name) {
  const auto found = channels_.find(channel_name);
  if (found == channels_.end()) return;
  const std::shared_ptr<Channel> channel = found->second;
  if (channel->queue.empty() || channel->client->busy() ||
      channel->reconnecting || channel->result_pending) {
    return;
  }
  Command command = std::move(channel->queue.front());
  channel->queue.pop_front();
  if (channel->client->lost_while_idle()) OnConnectionBroken(channel->proof);
  KeyCommandResult unsent;
  unsent.life_unproven = !MaySendCommand(channel->proof);
  if (!unsent.life_unproven && command.before_send) {
    command.request.send_by = command.before_send();
    unsent.dropped = command.request.send_by == kNever;
  }
  if (unsent.life_unproven || unsent.dropped) {
    if (unsent.life_unproven) channel->client->Abort();
    channel->result_pending = true;
    loop_.Post([this, channel, channel_name,
                callback = std::move(command.callback),
                unsent] { Complete(channel, channel_name, callback, unsent); });
    return;
  }
  command.request.connect_timeout = kConnectTimeout;
  channel->sent_at = loop_.timers().now();
  channel->in_flight = std::move(command.callback);
  channel->client->Start(
      std::move(command.request),
      [this, channel, channel_name](const ExchangeResult& exchange) {
        OnExchange(channel, channel_name, exchange);
      });
}

void KeyCommandClient::OnExchange(const std::shared_ptr<Channel>& channel,
                                  const std::string& channel_name,
                                  const ExchangeResult& exchange) {
  KeyCommandResult result;
  result.replied = exchange.failure == ClientFailure::kNone;
  result.written = exchange.request_written;
  if (result.written) OnCommandSent(channel->proof);
  if (result.replied) {
    result.reply = protocol_.read_command_reply(exchange.response);
  } else {
    OnConnectionBroken(channel->proof);
    result.life_unproven = !MaySendCommand(channel->proof);
  }
  const bool reconnect = result.replied && !channel->client->reusable() &&
                         !channel_name.starts_with(kReleasePrefix);
  channel->reconnecting = reconnect;
  channel->result_pending = true;
  // Runs later because Clear, which a callback may call, destroys the client,
  // and this function is called by the client.
  loop_.Post([this, channel, channel_name,
              callback = std::exchange(channel->in_flight, nullptr), result,
              reconnect] {
    if (reconnect) Reconnect(channel, channel_name);
    Complete(channel, channel_name, callback, result);
  });
}

void KeyCommandClient::Reconnect(const std::shared_ptr<Channel>& channel,
                                 const std::string& channel_name) {
  const auto current = channels_.find(channel_name);
  if (current == channels_.end() || current->second != channel) return;
  channel->client->Open(
      kConnectTimeout, [this, channel, channel_name](bool connected) {
        channel->reconnecting = false;
        if (connected) {
          OnReconnected(channel->proof, channel->sent_at, loop_.timers().now());
        } else {
          OnConnectionBroken(channel->proof);
        }
        loop_.Post([this, channel_name] { SendNext(channel_name); });
      });
}

void KeyCommandClient::Complete(const std::shared_ptr<Channel>& channel,
                                const std::string& channel_name,
                                const Callback& callback,
                                const KeyCommandResult& result) {
  if (channel->cleared) return;
  channel->result_pending = false;
  if (result.life_unproven) ResetProof(channel->proof);
  callback(result);
  const auto current = channels_.find(channel_name);
  if (current == channels_.end() || current->second != channel) return;
  if (channel->queue.empty() && channel_name.starts_with(kReleasePrefix)) {
    channels_.erase(channel_name);
  } else {
    SendNext(channel_name);
  }
}

void KeyCommandClient::Clear() {
  // Destroyed in the next iteration of the loop, as a command's callback may be
  // the caller.
  auto channels =
      std::make_shared<std::map<std::string, std::shared_ptr<Channel>>>(
          std::move(channels_));
  channels_.clear();
  for (const auto& [name, channel] : *channels) {
    channel->cleared = true;
    channel->client->Abort();
  }
  loop_.Post([channels] {});
}

}  // namespace mimosadeal
