#include "server/router.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "net/event_loop.h"
#include "requests/dispatch_reply.h"
#include "server/dispatcher.h"

namespace mimosadeal {
namespace {

// Ingress, a host of the key's zone, the key's dispatcher.
constexpr uint8_t kMaxHops = 2;
// Pause before a host is tried again whose connection broke.
constexpr Duration kLostHostPause = std::chrono::milliseconds(100);
// Retries that may be made at once before the budget counts.
constexpr double kRetryTokensAtMost = 20;
// Time given to the dispatcher's own answer at the deadline, which knows more.
constexpr Duration kReplyGrace = std::chrono::milliseconds(100);
constexpr Duration kAvoidance = std::chrono::milliseconds(1000);
constexpr Duration kNoOwnerRetryAfter = std::chrono::milliseconds(500);

DispatchReply NoOwnerReply(std::string detail) {
  DispatchReply reply = MakeDispatchReply(
      DispatchStatus::kNoOwner, RequestOutcome::kNotRun, std::move(detail));
  reply.retry_after_ms =
      static_cast<int32_t>(ToMilliseconds(kNoOwnerRetryAfter));
  return reply;
}

// A second dispatch runs nothing twice: the work may be repeated, or the ledger
// knows its id.
bool MayDispatchAgain(const DispatchRequest& message) {
  return message.idempotent || message.has_key;
}

}  // namespace

Router::Router(Environment environment)
    : environment_(std::move(environment)), retry_tokens_(kRetryTokensAtMost) {}

void Router::OnConfiguration(const Configuration& configuration) {
  configuration_ = configuration;
}

void Router::OnPlatformHosts(const std::vector<PlatformHost>& hosts) {
  entry_hosts_.clear();
  for (const PlatformHost& host : hosts) {
    if (host.kind != HostKind::kEntry || host.state != HostState::kLive)
      continue;
    entry_hosts_[host.zone].push_back(host.address);
  }
}

void Router::OnTable(const OwnershipTable& table) {
  table_ = table;
  std::vector<uint64_t> lost;
  std::vector<uint64_t> waiting;
  for (const auto& [handle, request] : requests_) {
    if (request.awaiting_owner) waiting.push_back(handle);
    if (request.host.empty() || request.local) continue;
    const TableHost* host = FindHost(table_, request.host);
    if (host != nullptr && !host->live) lost.push_back(handle);
  }
  for (const uint64_t handle : lost) OnHostLost(handle);
  for (const uint64_t handle : waiting) TrySend(handle);
}

uint64_t Router::Route(DispatchRequest request, ReplyCallback reply) {
  const uint64_t handle = next_handle_++;
  const MonotonicTime now = environment_.loop.timers().now();
  Request& added = requests_[handle];
  added.deadline = now + std::chrono::microseconds(request.time_left_us);
  added.owner_wait_until = now + environment_.settings.owner_wait;
  added.message = std::move(request);
  added.reply = std::move(reply);
  retry_tokens_ = std::min(retry_tokens_ + environment_.settings.retry_budget,
                           kRetryTokensAtMost);
  TrySend(handle);
  return handle;
}

void Router::TrySend(uint64_t handle) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) return;
  Request& request = found->second;
  const DispatchRequest& message = request.message;
  request.awaiting_owner = false;
  const auto service = configuration_.services.find(message.service);
  if (service == configuration_.services.end() ||
      message.shard >= service->second.shards) {
    Finish(handle, NoOwnerReply("the service is not known here"));
    return;
  }
  const std::string& zone = HomeZone(service->second, message.shard);
  if (zone != environment_.settings.zone) {
    if (message.hops >= kMaxHops) {
      Finish(handle,
             NoOwnerReply("the key belongs to another availability zone"));
      return;
    }
    const std::string address = AddressInZone(zone);
    if (!address.empty()) {
      SendToHost(handle, "", address);
      return;
    }
  } else {
    const TableUpstream* owner =
        OwnerOf(table_, message.service, message.shard);
    if (owner != nullptr && owner->dispatcher == environment_.process) {
      request.local = true;
      request.host = environment_.process;
      DispatchRequest copy = message;
      copy.time_left_us =
          ToMicroseconds(request.deadline - environment_.loop.timers().now());
      environment_.dispatcher.Handle(
          handle, std::move(copy), [this, handle](DispatchReply reply) {
            // Answered in the next round: the request may still be inside
            // Route.
            environment_.loop.Post(
                [this, handle, reply = std::move(reply)]() mutable {
                  OnDispatchReply(handle, std::move(reply));
                });
          });
      return;
    }
    const TableHost* host =
        owner == nullptr ? nullptr : FindHost(table_, owner->dispatcher);
    const bool may_send =
        host != nullptr && host->live && message.hops < kMaxHops;
    const bool pauses = host != nullptr && host->id == request.lost_host &&
                        environment_.loop.timers().now() < request.not_before;
    if (host != nullptr && message.hops >= kMaxHops) {
      // The host that sent it here can reach the dispatcher itself.
      Finish(handle, NoOwnerReply("the key's dispatcher is another host"));
      return;
    }
    if (may_send && !pauses) {
      SendToHost(handle, host->id, host->address);
      return;
    }
  }
  request.awaiting_owner = true;
}

std::string Router::AddressInZone(const std::string& zone) {
  const auto found = entry_hosts_.find(zone);
  if (found == entry_hosts_.end()) return {};
  const MonotonicTime now = environment_.loop.timers().now();
  const std::vector<std::string>& addresses = found->second;
  for (size_t i = 0; i < addresses.size(); ++i) {
    const std::string& address =
        addresses[next_entry_host_++ % addresses.size()];
    const auto avoided = avoided_.find(address);
    if (avoided == avoided_.end() || avoided->second <= now) return address;
  }
  return {};
}

void Router::SendToHost(uint64_t handle, const std::string& host,
                        const std::string& address) {
  Request& request = requests_.at(handle);
  request.local = false;
  request.host = host;
  request.connection = environment_.transport.ConnectionTo(address);
  DispatchRequest message = request.message;
  message.ticket = handle;
  message.hops += 1;
  message.time_left_us =
      ToMicroseconds(request.deadline - environment_.loop.timers().now());
  if (environment_.transport.Send(request.connection, message)) return;
  // Nothing was sent: the connection is gone or its backlog full.
  avoided_[address] = environment_.loop.timers().now() + kAvoidance;
  request.connection = kNoConnection;
  request.awaiting_owner = true;
}

void Router::OnReply(ConnectionId connection, DispatchReply reply) {
  const auto found = requests_.find(reply.ticket);
  if (found == requests_.end() || found->second.connection != connection)
    return;
  found->second.connection = kNoConnection;
  OnDispatchReply(found->first, std::move(reply));
}

void Router::OnDispatchReply(uint64_t handle, DispatchReply reply) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) return;
  Request& request = found->second;
  const auto status = static_cast<DispatchStatus>(reply.status);
  const auto outcome = static_cast<RequestOutcome>(reply.outcome);
  request.host.clear();
  if (status == DispatchStatus::kNoOwner &&
      outcome == RequestOutcome::kNotRun) {
    // Not run and never given up: it waits for the owner, within its bounds.
    request.awaiting_owner = true;
    return;
  }
  const bool lost = status == DispatchStatus::kUpstreamLost;
  if (lost && outcome == RequestOutcome::kNotRun) {
    request.awaiting_owner = true;
    return;
  }
  if (status == DispatchStatus::kUpstreamSilent && request.message.idempotent &&
      !request.lost_once && TakeRetryFromBudget()) {
    // Once: a request that makes one upstream hang must not go through all of
    // them.
    request.lost_once = true;
    request.may_have_run = true;
    request.awaiting_owner = true;
    request.owner_wait_until =
        environment_.loop.timers().now() + environment_.settings.owner_wait;
    return;
  }
  // Idempotent work whose upstream died while running it is not repeated: it
  // may be the cause.
  Finish(handle, std::move(reply));
}

void Router::OnDisconnected(ConnectionId connection) {
  std::vector<uint64_t> lost;
  for (const auto& [handle, request] : requests_) {
    if (request.connection == connection) lost.push_back(handle);
  }
  for (const uint64_t handle : lost) OnHostLost(handle);
  // What a peer asked for on this connection has no one to answer to.
  std::vector<std::pair<ConnectionId, uint64_t>> abandoned;
  for (const auto& [key, handle] : peer_tickets_) {
    if (key.first == connection) abandoned.push_back(key);
  }
  for (const auto& key : abandoned)
    OnPeerCancel(connection, DispatchCancel{key.second});
}

void Router::OnHostLost(uint64_t handle) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) return;
  Request& request = found->second;
  const MonotonicTime now = environment_.loop.timers().now();
  request.connection = kNoConnection;
  request.lost_host = std::move(request.host);
  request.host.clear();
  request.not_before = now + kLostHostPause;
  request.owner_wait_until = now + environment_.settings.owner_wait;
  request.may_have_run = true;
  const bool again = MayDispatchAgain(request.message) &&
                     (request.lost_once || TakeRetryFromBudget());
  request.lost_once = true;
  if (!again) {
    Finish(handle, MakeDispatchReply(
                       DispatchStatus::kUpstreamLost, RequestOutcome::kUnknown,
                       "the host that dispatched the request was lost"));
    return;
  }
  request.awaiting_owner = true;
}

bool Router::TakeRetryFromBudget() {
  if (retry_tokens_ < 1) return false;
  retry_tokens_ -= 1;
  return true;
}

void Router::Tick() {
  const MonotonicTime now = environment_.loop.timers().now();
  std::vector<uint64_t> waiting;
  std::vector<uint64_t> expired;
  for (const auto& [handle, request] : requests_) {
    const bool given_up =
        request.awaiting_owner && now >= request.owner_wait_until;
    const bool sent = !request.awaiting_owner;
    if (now >= request.deadline + (sent ? kReplyGrace : Duration::zero()) ||
        given_up) {
      expired.push_back(handle);
    } else if (request.awaiting_owner) {
      waiting.push_back(handle);
    }
  }
  for (const uint64_t handle : waiting) TrySend(handle);
  for (const uint64_t handle : expired) {
    const auto found = requests_.find(handle);
    if (found == requests_.end()) continue;
    Request& request = found->second;
    if (request.awaiting_owner) {
      Finish(handle, NoOwnerReply("no server owns the key at present"));
      continue;
    }
    if (request.local) continue;  // The dispatcher minds its deadlines.
    environment_.transport.Send(request.connection, DispatchCancel{handle});
    Finish(handle, MakeDispatchReply(
                       DispatchStatus::kDeadline, RequestOutcome::kUnknown,
                       "the deadline passed before the dispatcher answered"));
  }
}

void Router::Cancel(uint64_t handle) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) return;
  const Request& request = found->second;
  if (request.local) environment_.dispatcher.Cancel(handle);
  if (request.connection != kNoConnection)
    environment_.transport.Send(request.connection, DispatchCancel{handle});
  requests_.erase(found);
}

void Router::Finish(uint64_t handle, DispatchReply reply) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) return;
  // A host that was lost may have run it, whatever the next one says of its own
  // part.
  const bool not_run =
      static_cast<RequestOutcome>(reply.outcome) == RequestOutcome::kNotRun;
  if (found->second.may_have_run && not_run)
    reply.outcome = static_cast<uint8_t>(RequestOutcome::kUnknown);
  const ReplyCallback callback = std::move(found->second.reply);
  requests_.erase(found);
  callback(std::move(reply));
}

void Router::OnPeerRequest(ConnectionId connection, DispatchRequest request) {
  const uint64_t ticket = request.ticket;
  const std::pair<ConnectionId, uint64_t> key{connection, ticket};
  // The reply may come before Route returns, when there is nothing to wait for.
  auto answered = std::make_shared<bool>(false);
  const uint64_t handle =
      Route(std::move(request), [this, key, answered](DispatchReply reply) {
        *answered = true;
        peer_tickets_.erase(key);
        reply.ticket = key.second;
        environment_.transport.Send(key.first, reply);
      });
  if (!*answered) peer_tickets_[key] = handle;
}

void Router::OnPeerCancel(ConnectionId connection,
                          const DispatchCancel& cancel) {
  const auto found = peer_tickets_.find({connection, cancel.ticket});
  if (found == peer_tickets_.end()) return;
  const uint64_t handle = found->second;
  peer_tickets_.erase(found);
  Cancel(handle);
}

}  // namespace mimosadeal
