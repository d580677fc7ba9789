#include "server/router.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "net/event_loop.h"
#include "requests/dispatch_reply.h"
#include "server/dispatcher.h"

namespace mimosadeal {
namespace {

// The longest path is: ingress host, a host of the key's zone, the key's
// dispatcher.
constexpr uint8_t kMaxHops = 2;
// Delay before a host whose connection broke is tried again.
constexpr Duration kLostHostRetryDelay = std::chrono::milliseconds(100);
// Limits the burst of retries that the budget allows.
constexpr double kMaxRetryTokens = 20;
// Time allowed after the deadline for the dispatcher's own reply, which states
// the outcome more precisely than the router can.
constexpr Duration kReplyGracePeriod = std::chrono::milliseconds(100);
constexpr Duration kUnreachableHostAvoidance = std::chrono::milliseconds(1000);
constexpr Duration kNoOwnerRetryAfter = std::chrono::milliseconds(500);

DispatchReply NoOwnerReply(std::string detail) {
  DispatchReply reply = MakeDispatchReply(
      DispatchStatus::kNoOwner, RequestOutcome::kNotRun, std::move(detail));
  reply.retry_after_ms =
      static_cast<int32_t>(ToMilliseconds(kNoOwnerRetryAfter));
  return reply;
}

// Returns true if the request may be dispatched a second time: it is
// idempotent, or the ledger recognises its id.
bool IsSafeToRedispatch(const DispatchRequest& message) {
  return message.idempotent || message.has_key;
}

}  // namespace

Router::Router(Environment environment)
    : environment_(std::move(environment)), retry_tokens_(kMaxRetryTokens) {}

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
                           kMaxRetryTokens);
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
    const std::string address = NextEntryHostInZone(zone);
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
      DispatchRequest local_message = message;
      local_message.time_left_us =
          ToMicroseconds(request.deadline - environment_.loop.timers().now());
      environment_.dispatcher.Submit(
          handle, std::move(local_message),
          [this, handle](DispatchReply reply) {
            // Deferred to the next loop iteration, because Route may not have
            // returned yet.
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
    const bool in_retry_delay =
        host != nullptr && host->id == request.lost_host &&
        environment_.loop.timers().now() < request.lost_host_retry_at;
    if (host != nullptr && message.hops >= kMaxHops) {
      // The host that forwarded the request can send it to the dispatcher
      // itself.
      Finish(handle, NoOwnerReply("the key's dispatcher is another host"));
      return;
    }
    if (may_send && !in_retry_delay) {
      SendToHost(handle, host->id, host->address);
      return;
    }
  }
  request.awaiting_owner = true;
}

std::string Router::NextEntryHostInZone(const std::string& zone) {
  const auto found = entry_hosts_.find(zone);
  if (found == entry_hosts_.end()) return {};
  const MonotonicTime now = environment_.loop.timers().now();
  const std::vector<std::string>& addresses = found->second;
  for (size_t i = 0; i < addresses.size(); ++i) {
    const std::string& address =
        addresses[next_entry_host_++ % addresses.size()];
    const auto avoided = avoided_until_.find(address);
    if (avoided == avoided_until_.end() || avoided->second <= now)
      return address;
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
  // Nothing was sent: the connection is closed or its backlog is full.
  avoided_until_[address] =
      environment_.loop.timers().now() + kUnreachableHostAvoidance;
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
    // The request was not run. It waits for the key's owner until its owner
    // wait or its deadline ends.
    request.awaiting_owner = true;
    return;
  }
  const bool lost = status == DispatchStatus::kUpstreamLost;
  if (lost && outcome == RequestOutcome::kNotRun) {
    request.awaiting_owner = true;
    return;
  }
  if (status == DispatchStatus::kUpstreamSilent && request.message.idempotent &&
      !request.retry_taken && TakeRetryToken()) {
    // Retried only once, so that a request that makes an upstream hang cannot
    // hang all of them in turn.
    request.retry_taken = true;
    request.may_have_run = true;
    request.awaiting_owner = true;
    request.owner_wait_until =
        environment_.loop.timers().now() + environment_.settings.owner_wait;
    return;
  }
  // An idempotent request is not retried if its upstream crashed while running
  // it, because the request may have caused the crash.
  Finish(handle, std::move(reply));
}

void Router::OnDisconnected(ConnectionId connection) {
  std::vector<uint64_t> lost;
  for (const auto& [handle, request] : requests_) {
    if (request.connection == connection) lost.push_back(handle);
  }
  for (const uint64_t handle : lost) OnHostLost(handle);
  // Replies to the peer's requests on this connection can no longer be
  // delivered.
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
  request.lost_host_retry_at = now + kLostHostRetryDelay;
  request.owner_wait_until = now + environment_.settings.owner_wait;
  request.may_have_run = true;
  const bool may_retry = IsSafeToRedispatch(request.message) &&
                         (request.retry_taken || TakeRetryToken());
  request.retry_taken = true;
  if (!may_retry) {
    Finish(handle, MakeDispatchReply(
                       DispatchStatus::kUpstreamLost, RequestOutcome::kUnknown,
                       "the host that dispatched the request was lost"));
    return;
  }
  request.awaiting_owner = true;
}

bool Router::TakeRetryToken() {
  if (retry_tokens_ < 1) return false;
  retry_tokens_ -= 1;
  return true;
}

void Router::Tick() {
  const MonotonicTime now = environment_.loop.timers().now();
  std::vector<uint64_t> waiting;
  std::vector<uint64_t> expired;
  for (const auto& [handle, request] : requests_) {
    const bool owner_wait_expired =
        request.awaiting_owner && now >= request.owner_wait_until;
    const bool sent = !request.awaiting_owner;
    if (now >=
            request.deadline + (sent ? kReplyGracePeriod : Duration::zero()) ||
        owner_wait_expired) {
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
    // The local dispatcher enforces deadlines itself.
    if (request.local) continue;
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
  // A lost host may have run the request, even if the next host reports that it
  // did not run it.
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
  // Route may run the callback before it returns.
  auto replied = std::make_shared<bool>(false);
  const uint64_t handle =
      Route(std::move(request), [this, key, replied](DispatchReply reply) {
        *replied = true;
        peer_tickets_.erase(key);
        reply.ticket = key.second;
        environment_.transport.Send(key.first, reply);
      });
  if (!*replied) peer_tickets_[key] = handle;
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
