// Requests that this host sends for other hosts, and the replies to these.
#include <chrono>
#include <string>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/exchange_relay.h"
#include "entry/path_monitor.h"
#include "entry/relay_wire.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// Requests of other hosts in progress, which take memory and descriptors from
// those of this host's own callers.
constexpr size_t kMaxHelped = 128;
// Calls in flight at upstreams above which no other host's are taken.
constexpr size_t kMaxCallsToHelp = 250;
// Replies that another host has not read for this long make room for others'.
constexpr Duration kReplyStall = std::chrono::seconds(2);
// Of the lengths of a header's name and value in a message.
constexpr size_t kWireHeaderBytes = 2 * sizeof(uint32_t);

// What the reply takes on a connection without its body, about.
size_t HeadBytes(const RelayReply& reply) {
  size_t bytes = reply.content_type.size();
  for (const WireHeader& header : reply.headers)
    bytes += header.name.size() + header.value.size() + kWireHeaderBytes;
  return bytes;
}

}  // namespace

bool ExchangeRelay::MayHelp() const {
  return helping_ && helped_.size() < kMaxHelped;
}

const ListedUpstream* ExchangeRelay::FindUpstream(const RelayRequest& request,
                                                  RelayStatus& status) {
  const ListedUpstream* listed = view_.directory().Find(request.upstream);
  const bool known =
      listed != nullptr && listed->record.incarnation == request.incarnation;
  if (!MayHelp() || !known || pool_.calls() >= kMaxCallsToHelp ||
      paths_.IsCutOff(listed->record.service)) {
    status = RelayStatus::kDeclined;
    return nullptr;
  }
  const MonotonicTime now = loop_.timers().now();
  if (handlers_.usable_until(*listed) <= now ||
      pool_.LoadOf(listed->record).connect_backoff_until > now) {
    status = RelayStatus::kUnreached;
    return nullptr;
  }
  return listed;
}

std::shared_ptr<ByteHold> ExchangeRelay::HoldRequest(ConnectionId connection,
                                                     size_t bytes) {
  auto arrived = arriving_.extract(connection);
  if (!arrived.empty()) return std::move(arrived.mapped());
  return budget_.Hold(RelayUse::kRequests, bytes);
}

void ExchangeRelay::Decline(ConnectionId connection, uint64_t id,
                            RelayStatus status, ClientFailure failure) {
  RelayReply reply;
  reply.id = id;
  reply.status = static_cast<uint8_t>(status);
  reply.failure = static_cast<uint8_t>(failure);
  transport_->Send(connection, reply);
}

void ExchangeRelay::OnRequest(ConnectionId connection, RelayRequest request,
                              size_t bytes) {
  const MonotonicTime now = loop_.timers().now();
  const HelpedKey key{connection, request.id};
  if (helped_.contains(key)) return;
  RelayStatus status = RelayStatus::kDone;
  const ListedUpstream* listed = FindUpstream(request, status);
  if (listed == nullptr) {
    Decline(connection, request.id, status, ClientFailure::kNone);
    return;
  }
  std::shared_ptr<ByteHold> hold = HoldRequest(connection, bytes);
  if (hold == nullptr) {
    Decline(connection, request.id, RelayStatus::kDeclined,
            ClientFailure::kTooLarge);
    return;
  }
  ExchangeRequest exchange;
  exchange.method = std::move(request.method);
  exchange.target = std::move(request.target);
  exchange.headers = FromWire(std::move(request.headers));
  exchange.shared_body = SharedBody(std::move(request.body), std::move(hold));
  exchange.timeout = std::chrono::milliseconds(request.timeout_ms);
  exchange.await_acceptance = true;
  exchange.require_new_connection = request.require_new_connection;
  exchange.accepts_response = protocol_.response_filter(request.request_id);
  exchange.send_by = handlers_.usable_until(*listed);
  if (request.send_within_ms != kNoSendLimit) {
    exchange.send_by =
        std::min(exchange.send_by,
                 now + std::chrono::milliseconds(request.send_within_ms));
  }
  helped_[key] =
      pool_.Send(listed->record, std::move(exchange),
                 [this, key, fingerprint = request.fingerprint,
                  record = listed->record](ExchangeResult result) {
                   OnHelped(key, fingerprint, record, std::move(result));
                 });
}

void ExchangeRelay::OnHelped(const HelpedKey& key, uint64_t fingerprint,
                             const UpstreamRecord& upstream,
                             ExchangeResult result) {
  if (helped_.erase(key) == 0) return;
  if (result.failure == ClientFailure::kClosed && !result.response_started)
    handlers_.on_closed_by_upstream(fingerprint, upstream);
  RelayReply reply;
  reply.id = key.second;
  reply.failure = static_cast<uint8_t>(result.failure);
  reply.end = static_cast<uint8_t>(result.end);
  reply.request_written = result.request_written;
  reply.response_started = result.response_started;
  reply.reused = result.reused;
  reply.http_status = result.response.status;
  reply.content_type = std::move(result.response.content_type);
  reply.headers = ToWire(result.response.headers);
  reply.body = std::move(result.response.body);
  if (SendReply(key.first, std::move(reply))) return;
  // The connection's backlog is full. Without a reply, the other host would
  // wait until the request's time has passed.
  log_.LogRequest("relay.reply-lost", {{"upstream", upstream.id}});
  transport_->Disconnect(key.first);
}

bool ExchangeRelay::SendReply(ConnectionId connection, RelayReply reply) {
  std::string text = std::exchange(reply.body, {});
  const size_t bytes = HeadBytes(reply) + text.size();
  auto hold = budget_.Hold(RelayUse::kReplies, bytes);
  const FrameLimit limit = budget_.Limits(RelayUse::kReplies)
                               ? FrameLimit::kSender
                               : FrameLimit::kBacklog;
  if (hold != nullptr) {
    const SharedBody body(std::move(text), std::move(hold));
    if (transport_->SendShared(connection, reply, body.pointer(), limit))
      return true;
  } else {
    loop_.Post([this] { transport_->CloseStalled(kReplyStall); });
  }
  log_.LogRequest("relay.no-room",
                  {{"type", NameOf(kMessageTypeNames, RelayReply::kType)},
                   {"bytes", static_cast<uint64_t>(bytes)}});
  RelayReply short_reply;
  short_reply.id = reply.id;
  short_reply.failure = static_cast<uint8_t>(ClientFailure::kTooLarge);
  short_reply.request_written = true;
  short_reply.response_started = true;
  short_reply.reused = reply.reused;
  return transport_->Send(connection, short_reply);
}

void ExchangeRelay::OnCancel(ConnectionId connection,
                             const RelayCancel& cancel) {
  const auto ended = helped_.extract({connection, cancel.id});
  if (!ended.empty()) pool_.Cancel(ended.mapped());
}

}  // namespace mimosadeal
