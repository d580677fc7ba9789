#include "entry/key_order_client.h"

#include <utility>

#include "net/event_loop.h"
#include "ranges/life_proof.h"

namespace mimosadeal {
namespace {

constexpr HttpTextLimits kOrderLimits = {16 * 1024, 64 * 1024};
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// Orders that wait for one upstream; more would be stale when they are sent.
constexpr size_t kMostWaiting = 64;
constexpr char kReleasePrefix[] = "release/";

}  // namespace

struct KeyOrderClient::Order {
  ExchangeRequest request;
  std::function<bool()> on_sending;
  Callback callback;
};

struct KeyOrderClient::Line {
  SocketAddress address;
  std::unique_ptr<ExchangeClient> client;
  std::deque<Order> waiting;
  LifeProof proof;
  MonotonicTime sent_at = kNever;  // Of the last order.
  bool opening = false;
  // The result of an order is still to be told, and may call for changes before
  // the next order leaves.
  bool settling = false;
};

KeyOrderClient::KeyOrderClient(EventLoop& loop,
                               const DeploymentProtocol& protocol)
    : loop_(loop), protocol_(protocol) {}

KeyOrderClient::~KeyOrderClient() = default;

void KeyOrderClient::Grant(const UpstreamRecord& upstream,
                           const GrantCommand& order, Duration timeout,
                           std::function<bool()> on_sending,
                           Callback callback) {
  ExchangeRequest request = protocol_.write_grant(order, upstream.id);
  request.timeout = timeout;
  Enqueue("grant/" + upstream.id, upstream,
          {std::move(request), std::move(on_sending), std::move(callback)});
}

void KeyOrderClient::Release(const UpstreamRecord& upstream,
                             const ReleaseCommand& order, Duration timeout,
                             Callback callback) {
  ExchangeRequest request = protocol_.write_release(order, upstream.id);
  request.timeout = timeout;
  Enqueue(kReleasePrefix + upstream.id + "/" + std::to_string(order.first),
          upstream, {std::move(request), nullptr, std::move(callback)});
}

void KeyOrderClient::Enqueue(const std::string& line_name,
                             const UpstreamRecord& upstream, Order order) {
  std::shared_ptr<Line>& line = lines_[line_name];
  if (line == nullptr || !(line->address == upstream.address)) {
    line = std::make_shared<Line>();
    line->address = upstream.address;
    line->client =
        std::make_unique<ExchangeClient>(loop_, upstream.address, kOrderLimits);
  }
  if (line->waiting.size() >= kMostWaiting) {
    loop_.Post([callback = std::move(order.callback)] {
      OrderResult dropped;
      dropped.dropped = true;
      callback(dropped);
    });
    return;
  }
  line->waiting.push_back(std::move(order));
  Next(line_name);
}

void KeyOrderClient::Next(const std::string& line_name) {
  const auto found = lines_.find(line_name);
  if (found == lines_.end()) return;
  const std::shared_ptr<Line> line = found->second;
  if (line->waiting.empty() || line->client->busy() || line->opening ||
      line->settling) {
    return;
  }
  Order order = std::move(line->waiting.front());
  line->waiting.pop_front();
  if (line->client->lost_while_idle()) OnConnectionBroken(line->proof);
  OrderResult unsent;
  unsent.life_unproven = !MaySendOrder(line->proof);
  unsent.dropped =
      !unsent.life_unproven && order.on_sending && !order.on_sending();
  if (unsent.life_unproven || unsent.dropped) {
    if (unsent.life_unproven) line->client->Abort();
    line->settling = true;
    loop_.Post([this, line, line_name, callback = std::move(order.callback),
                unsent] { Finish(line, line_name, callback, unsent); });
    return;
  }
  order.request.connect_timeout = kConnectTimeout;
  line->sent_at = loop_.timers().now();
  line->client->Start(
      std::move(order.request),
      [this, line, line_name,
       callback = std::move(order.callback)](const ExchangeResult& exchange) {
        OnExchange(line, line_name, callback, exchange);
      });
}

void KeyOrderClient::OnExchange(const std::shared_ptr<Line>& line,
                                const std::string& line_name,
                                const Callback& callback,
                                const ExchangeResult& exchange) {
  OrderResult result;
  result.answered = exchange.failure == ClientFailure::kNone;
  result.written = exchange.request_written;
  if (result.written) OnOrderLeaving(line->proof);
  if (result.answered) {
    result.reply = protocol_.read_command_reply(exchange.response);
  } else {
    OnConnectionBroken(line->proof);
    result.life_unproven = !MaySendOrder(line->proof);
  }
  const bool reconnect = result.answered && !line->client->reusable() &&
                         !line_name.starts_with(kReleasePrefix);
  line->opening = reconnect;
  line->settling = true;
  // Outside of the client's own call, which Clear may destroy.
  loop_.Post([this, line, line_name, callback, result, reconnect] {
    if (reconnect) Reconnect(line, line_name);
    Finish(line, line_name, callback, result);
  });
}

void KeyOrderClient::Reconnect(const std::shared_ptr<Line>& line,
                               const std::string& line_name) {
  const auto current = lines_.find(line_name);
  if (current == lines_.end() || current->second != line) return;
  line->client->Open(kConnectTimeout, [this, line, line_name](bool connected) {
    line->opening = false;
    if (connected) {
      OnReconnected(line->proof, line->sent_at, loop_.timers().now());
    } else {
      OnConnectionBroken(line->proof);
    }
    loop_.Post([this, line_name] { Next(line_name); });
  });
}

void KeyOrderClient::Finish(const std::shared_ptr<Line>& line,
                            const std::string& line_name,
                            const Callback& callback,
                            const OrderResult& result) {
  const auto current = lines_.find(line_name);
  if (current == lines_.end() || current->second != line) return;
  line->settling = false;
  if (result.life_unproven) Renew(line->proof);
  callback(result);
  if (line->waiting.empty() && line_name.starts_with(kReleasePrefix)) {
    lines_.erase(line_name);
  } else {
    Next(line_name);
  }
}

void KeyOrderClient::Clear() {
  // Destroyed in the next round: the caller may be an order's callback.
  auto lines = std::make_shared<std::map<std::string, std::shared_ptr<Line>>>(
      std::move(lines_));
  lines_.clear();
  for (const auto& [name, line] : *lines) line->client->Abort();
  loop_.Post([lines] {});
}

}  // namespace mimosadeal
