// Sends orders about keys to upstreams, one at a time to each, over one kept
// connection.
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

struct OrderResult {
  bool answered = false;
  // Earlier orders may have reached another life of the upstream than the next
  // ones: every generation that they granted must be replaced.
  bool life_unproven = false;
  bool written = false;  // The order may take effect.
  bool dropped = false;  // It was not sent, as whoever ordered it wanted.
  CommandReply reply;
};

class KeyOrderClient {
 public:
  using Callback = std::function<void(const OrderResult&)>;

  KeyOrderClient(EventLoop& loop, const DeploymentProtocol& protocol);
  ~KeyOrderClient();
  KeyOrderClient(const KeyOrderClient&) = delete;
  KeyOrderClient& operator=(const KeyOrderClient&) = delete;

  // `timeout` counts from when the order is sent. `on_sending` runs just before
  // that, and drops the order by returning false.
  void Grant(const UpstreamRecord& upstream, const GrantCommand& order,
             Duration timeout, std::function<bool()> on_sending,
             Callback callback);
  // A release waits at the upstream for work in progress, so it has a
  // connection of its own.
  void Release(const UpstreamRecord& upstream, const ReleaseCommand& order,
               Duration timeout, Callback callback);
  // Forgets all connections and orders; no callback runs any more.
  void Clear();

 private:
  struct Order;
  struct Line;

  void Enqueue(const std::string& line_name, const UpstreamRecord& upstream,
               Order order);
  void Next(const std::string& line_name);
  void OnExchange(const std::shared_ptr<Line>& line,
                  const std::string& line_name, const Callback& callback,
                  const ExchangeResult& exchange);
  // Opens the next connection at once after the peer announced the end of one.
  void Reconnect(const std::shared_ptr<Line>& line,
                 const std::string& line_name);
  void Finish(const std::shared_ptr<Line>& line, const std::string& line_name,
              const Callback& callback, const OrderResult& result);

  EventLoop& loop_;
  const DeploymentProtocol& protocol_;
  std::map<std::string, std::shared_ptr<Line>> lines_;
};

}  // namespace mimosadeal
