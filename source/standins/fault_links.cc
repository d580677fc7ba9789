#include "fault_links.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace mimosadeal {
namespace {

constexpr size_t kReadBytes = 64 * 1024;

}  // namespace

struct FaultLink::Stream {
  std::unique_ptr<FdWatch> client;
  std::unique_ptr<FdWatch> target;
  std::string forward;   // Read from the client, not yet written to the target.
  std::string backward;  // Read from the target, not yet written to the client.
  bool closed = false;
};

FaultLink::FaultLink(EventLoop& loop, SocketAddress target, uint64_t seed)
    : loop_(loop), target_(std::move(target)), random_(seed) {}

FaultLink::~FaultLink() { *alive_ = false; }

Result<std::unique_ptr<FaultLink>> FaultLink::Open(EventLoop& loop,
                                                   const SocketAddress& listen,
                                                   const SocketAddress& target,
                                                   uint64_t seed) {
  BOOST_OUTCOME_TRY(tcp, ListenTcp(listen));
  BOOST_OUTCOME_TRY(udp, BindUdp(listen));
  std::unique_ptr<FaultLink> link(new FaultLink(loop, target, seed));
  FaultLink* self = link.get();
  link->listener_ = std::make_unique<FdWatch>(
      loop, tcp, FdWatch::Callbacks{[self] { self->OnAcceptable(); }, nullptr});
  link->datagrams_ = std::make_unique<FdWatch>(
      loop, udp, FdWatch::Callbacks{[self] { self->OnDatagram(); }, nullptr});
  return link;
}

void FaultLink::SetFaults(const LinkFaults& faults) {
  faults_ = faults;
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
                         [this, raw] { Flush(*raw, false); }});
  if (!target.has_value()) return;
  raw->target = std::make_unique<FdWatch>(
      loop_, target.value(),
      FdWatch::Callbacks{[this, raw] { Pump(*raw, false); },
                         [this, raw] { Flush(*raw, true); }});
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
