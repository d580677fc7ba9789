// Fault proxy of the tests: forwards TCP and UDP from one address to another
// and injects faults. A link from A to B carries the TCP connections that A
// opens to B, in both directions, and the datagrams that A sends to B.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/ids.h"
#include "net/event_loop.h"
#include "net/fd_watch.h"
#include "net/socket_address.h"

namespace mimosadeal {

// What happens to a connection that is opened.
enum class LinkConnecting : uint8_t {
  kAccepted,
  kRefused,
  kUnanswered,  // The client's packets get no answer.
};

struct LinkFaults {
  // Holds back data from the client and drops datagrams.
  bool cut_forward = false;
  // Holds back data to the client.
  bool cut_backward = false;
  int delay_ms = 0;
  // Probabilities of each datagram.
  double datagram_loss = 0;
  double datagram_duplication = 0;
  // Adds a random delay below this to each datagram.
  int datagram_reorder_ms = 0;
  LinkConnecting connecting = LinkConnecting::kAccepted;
  // Resets the open connections once.
  bool reset_open = false;
};

class FaultLink {
 public:
  // Listens on `listen` for TCP and UDP and forwards to `target`. `seed`
  // determines the random faults. Errors: kIo when the address cannot be bound.
  static Result<std::unique_ptr<FaultLink>> Open(EventLoop& loop,
                                                 const SocketAddress& listen,
                                                 const SocketAddress& target,
                                                 uint64_t seed);
  ~FaultLink();

  void SetFaults(const LinkFaults& faults);

 private:
  // One forwarded TCP connection.
  struct Stream;

  FaultLink(EventLoop& loop, SocketAddress listen, SocketAddress target,
            uint64_t seed);

  // Opens the listening socket that the faults call for. Fails while the former
  // one is being closed.
  Result<void> Listen();
  // Closes the listening socket, and opens another as soon as possible.
  void ListenAgain();
  // Opens a listening socket without room for connections, whose packets the
  // kernel drops.
  Result<void> ListenWithoutRoom();
  void CloseHeldSockets();
  void ResetOpen();
  void OnAcceptable();
  void OnDatagram();
  void SendDatagram(const std::string& datagram);
  void Pump(Stream& stream, bool forward);
  void Flush(Stream& stream, bool forward);
  void CloseStream(Stream& stream);

  EventLoop& loop_;
  SocketAddress listen_;
  SocketAddress target_;
  Random random_;
  LinkFaults faults_;
  std::unique_ptr<FdWatch> listener_;
  // The listening socket that accepts nothing, and the connections of this
  // process that fill its backlog.
  std::vector<int> held_sockets_;
  std::unique_ptr<FdWatch> datagrams_;
  std::list<std::unique_ptr<Stream>> streams_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mimosadeal
