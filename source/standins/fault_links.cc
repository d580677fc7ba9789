#include "fault_links.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace mimosadeal {
namespace {

constexpr size_t kReadBytes = 64 * 1024;
// The event loop closes a socket in one of its next iterations.
constexpr Duration kListenRetryDelay = std::chrono::milliseconds(10);

}  // namespace

struct FaultLink::Stream {
  std::unique_ptr<FdWatch> client;
  std::unique_ptr<FdWatch> target;
  std::string forward;   // Read from the client, not yet written to the target.
  std::string backward;  // Read from the target, not yet written to the client.
  bool closed = false;
};

FaultLink::FaultLink(EventLoop& loop, SocketAddress listen,
                     SocketAddress target, uint64_t seed)
    : loop_(loop),
      listen_(std::move(listen)),
      target_(std::move(target)),
      random_(seed) {}

FaultLink::~FaultLink() {
  *alive_ = false;
  CloseHeldSockets();
}

Result<std::unique_ptr<FaultLink>> FaultLink::Open(EventLoop& loop,
                                                   const SocketAddress& listen,
                                                   const SocketAddress& target,
                                                   uint64_t seed) {
  BOOST_OUTCOME_TRY(udp, BindUdp(listen));
  std::unique_ptr<FaultLink> link(new FaultLink(loop, listen, target, seed));
  FaultLink* self = link.get();
  BOOST_OUTCOME_TRY(link->Listen());
  link->datagrams_ = std::make_unique<FdWatch>(
      loop, udp, FdWatch::Callbacks{[self] { self->OnDatagram(); }, nullptr});
  return link;
}

Result<void> FaultLink::Listen() {
  if (faults_.connecting == LinkConnecting::kRefused) return outcome::success();
  if (faults_.connecting == LinkConnecting::kUnanswered)
    return ListenWithoutRoom();
  BOOST_OUTCOME_TRY(tcp, ListenTcp(listen_));
  listener_ = std::make_unique<FdWatch>(
      loop_, tcp, FdWatch::Callbacks{[this] { OnAcceptable(); }, nullptr});
  return outcome::success();
}

void FaultLink::ListenAgain() {
  listener_.reset();
  CloseHeldSockets();
  if (Listen().has_value()) return;
  loop_.timers().After(kListenRetryDelay, [this, alive = alive_] {
    if (*alive) ListenAgain();
  });
}

Result<void> FaultLink::ListenWithoutRoom() {
  constexpr int fillers = 3;  // A backlog of 0 has room for one connection.
  BOOST_OUTCOME_TRY(tcp, ListenTcp(listen_));
  held_sockets_.push_back(tcp);
  listen(tcp, 0);
  for (int i = 0; i < fillers; ++i) {
    BOOST_OUTCOME_TRY(filler, ConnectTcp(listen_));
    held_sockets_.push_back(filler);
  }
  return outcome::success();
}

void FaultLink::CloseHeldSockets() {
  for (const int fd : held_sockets_) close(fd);
  held_sockets_.clear();
}

void FaultLink::ResetOpen() {
  const linger reset_on_close = {1, 0};
  for (const auto& stream : streams_) {
    for (const auto* side : {&stream->client, &stream->target}) {
      if (*side == nullptr) continue;
      setsockopt((*side)->fd(), SOL_SOCKET, SO_LINGER, &reset_on_close,
                 sizeof(reset_on_close));
      sockaddr unspecified{};
      unspecified.sa_family = AF_UNSPEC;
      static_cast<void>(
          connect((*side)->fd(), &unspecified, sizeof(unspecified)));
    }
    CloseStream(*stream);
  }
}

void FaultLink::SetFaults(const LinkFaults& faults) {
  const bool connecting_changed = faults.connecting != faults_.connecting;
  faults_ = faults;
  if (connecting_changed) ListenAgain();
  if (faults.reset_open) ResetOpen();
  for (const auto& stream : streams_) {
    if (stream->closed) continue;
    Flush(*stream, true);
    if (!stream->closed) Flush(*stream, false);
  }
}

void FaultLink::OnAcceptable() {
  const int fd =
      accept4(listener_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  const auto target = ConnectTcp(target_);
  auto stream = std::make_unique<Stream>();
  Stream* raw = stream.get();
  raw->client = std::make_unique<FdWatch>(
      loop_, fd,
      FdWatch::Callbacks{[this, raw] { Pump(*raw, true); },
                         [this, raw] { Flush(*raw, false); },
                         [this, raw](int) { CloseStream(*raw); }});
  if (!target.has_value()) return;
  raw->target = std::make_unique<FdWatch>(
      loop_, target.value(),
      FdWatch::Callbacks{[this, raw] { Pump(*raw, false); },
                         [this, raw] { Flush(*raw, true); },
                         [this, raw](int) { CloseStream(*raw); }});
  streams_.push_back(std::move(stream));
}

// Reads data from one side and forwards it to the other after the delay.
void FaultLink::Pump(Stream& stream, bool forward) {
  if (stream.closed) return;
  std::array<char, kReadBytes> buffer;
  FdWatch& source = forward ? *stream.client : *stream.target;
  const ssize_t count = recv(source.fd(), buffer.data(), buffer.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count <= 0) {
    // What did not get through is lost with the sender's connection.
    if (count < 0 && (forward ? faults_.cut_forward : faults_.cut_backward))
      (forward ? stream.forward : stream.backward).clear();
    // A cut direction holds back the end of the connection as well as data.
    if (forward ? faults_.cut_forward : faults_.cut_backward) {
      (forward ? stream.client : stream.target).reset();
      if (stream.client == nullptr && stream.target == nullptr)
        stream.closed = true;
      return;
    }
    CloseStream(stream);
    return;
  }
  const std::string data(buffer.data(), static_cast<size_t>(count));
  if (faults_.delay_ms == 0) {
    (forward ? stream.forward : stream.backward) += data;
    Flush(stream, forward);
    return;
  }
  loop_.timers().After(std::chrono::milliseconds(faults_.delay_ms),
                       [this, alive = alive_, &stream, forward, data] {
                         if (!*alive || stream.closed) return;
                         (forward ? stream.forward : stream.backward) += data;
                         Flush(stream, forward);
                       });
}

void FaultLink::Flush(Stream& stream, bool forward) {
  if (stream.closed || (forward ? faults_.cut_forward : faults_.cut_backward))
    return;
  std::string& data = forward ? stream.forward : stream.backward;
  const std::unique_ptr<FdWatch>& sink =
      forward ? stream.target : stream.client;
  if (data.empty()) return;
  if (sink == nullptr) {
    CloseStream(stream);
    return;
  }
  const ssize_t count =
      send(sink->fd(), data.data(), data.size(), MSG_NOSIGNAL);
  if (count < 0 && errno != EAGAIN && errno != ENOTCONN) {
    CloseStream(stream);
    return;
  }
  if (count > 0) data.erase(0, static_cast<size_t>(count));
  if (!data.empty()) sink->RequestWritable();
}

void FaultLink::CloseStream(Stream& stream) {
  stream.closed = true;
  stream.client.reset();
  stream.target.reset();
}

void FaultLink::OnDatagram() {
  std::array<char, kReadBytes> buffer;
  const ssize_t count = recv(datagrams_->fd(), buffer.data(), buffer.size(), 0);
  if (count < 0 || faults_.cut_forward ||
      random_.Unit() < faults_.datagram_loss)
    return;
  const std::string datagram(buffer.data(), static_cast<size_t>(count));
  const int copies = random_.Unit() < faults_.datagram_duplication ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    int delay_ms = faults_.delay_ms;
    if (faults_.datagram_reorder_ms > 0) {
      delay_ms += static_cast<int>(
          random_.Below(static_cast<uint64_t>(faults_.datagram_reorder_ms)));
    }
    if (delay_ms == 0) {
      SendDatagram(datagram);
      continue;
    }
    loop_.timers().After(std::chrono::milliseconds(delay_ms),
                         [this, alive = alive_, datagram] {
                           if (*alive) SendDatagram(datagram);
                         });
  }
}

void FaultLink::SendDatagram(const std::string& datagram) {
  const auto native = ToNative(target_);
  if (!native.has_value()) return;
  sendto(datagrams_->fd(), datagram.data(), datagram.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr*>(&native.value().storage),
         native.value().length);
}

}  // namespace mimosadeal
