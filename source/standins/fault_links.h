// Forwards TCP and UDP between two addresses and injects faults: the fault
// proxy of the tests. A link stands for one direction of dialling: what A opens
// to B, both ways of its streams, and what A sends to B as datagrams.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "common/ids.h"
#include "net/event_loop.h"
#include "net/fd_watch.h"
#include "net/socket_address.h"

namespace mimosadeal {

struct LinkFaults {
  bool cut_forward = false;   // Nothing passes from the dialling side.
  bool cut_backward = false;  // Nothing passes back.
  int delay_ms = 0;
  double datagram_loss = 0;
  double datagram_duplication = 0;
  int datagram_reorder_ms = 0;  // Datagrams are delayed at random up to this.
};

class FaultLink {
 public:
  static Result<std::unique_ptr<FaultLink>> Open(EventLoop& loop,
                                                 const SocketAddress& listen,
                                                 const SocketAddress& target,
                                                 uint64_t seed);
  ~FaultLink();

  void SetFaults(const LinkFaults& faults);

 private:
  // One forwarded TCP connection.
  struct Stream;

  FaultLink(EventLoop& loop, SocketAddress target, uint64_t seed);

  void OnAcceptable();
  void OnDatagram();
  void SendDatagram(const std::string& datagram);
  void Pump(Stream& stream, bool forward);
  void Flush(Stream& stream, bool forward);
  void CloseStream(Stream& stream);

  EventLoop& loop_;
  SocketAddress target_;
  Random random_;
  LinkFaults faults_;
  std::unique_ptr<FdWatch> listener_;
  std::unique_ptr<FdWatch> datagrams_;
  std::list<std::unique_ptr<Stream>> streams_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mimosadeal
