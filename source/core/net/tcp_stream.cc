#include "net/tcp_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

#include "common/enum_names.h"
#include "net/event_loop.h"
#include "net/fd_watch.h"

namespace mimosadeal {
namespace {

constexpr EnumNames<StreamEnd, 5> kStreamEndNames = {{
    {StreamEnd::kNone, "none"},
    {StreamEnd::kClosedByPeer, "closed by peer"},
    {StreamEnd::kReset, "reset"},
    {StreamEnd::kRefused, "refused"},
    {StreamEnd::kFailed, "failed"},
}};

constexpr size_t kReadBytes = 16 * 1024;
// A peer that sends without a pause must not keep the loop from others. 8 MB:
// more than the kernel keeps, so all that came before a hang-up is read.
constexpr int kMaxReadsPerIteration = 512;
// The user timeout also ends an idle connection whose probes are unanswered,
// whatever their number: here after the first one, about 2 s after the last
// byte. That is within the 3 s after which the platform requires a host to keep
// its bounds again.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr unsigned kUserTimeoutMs = 2000;

void SetOptions(int fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
             sizeof(kKeepAliveIdleSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
             sizeof(kKeepAliveIntervalSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
}

StreamEnd EndOf(int error) {
  if (error == ECONNREFUSED) return StreamEnd::kRefused;
  if (error == ECONNRESET || error == EPIPE) return StreamEnd::kReset;
  return StreamEnd::kFailed;
}

}  // namespace

std::string_view StreamEndName(StreamEnd end) {
  return NameOf(kStreamEndNames, end);
}

TcpStream::TcpStream(EventLoop& loop, int fd, TcpStreamHandlers handlers)
    : loop_(loop), handlers_(std::move(handlers)) {
  Watch(fd);
}

Result<std::unique_ptr<TcpStream>> TcpStream::Connect(
    EventLoop& loop, const SocketAddress& address, TcpStreamHandlers handlers) {
  BOOST_OUTCOME_TRY(fd, ConnectTcp(address));
  auto stream = std::make_unique<TcpStream>(loop, fd, std::move(handlers));
  stream->connecting_ = true;
  stream->watch_->RequestWritable();
  return stream;
}

TcpStream::~TcpStream() {
  if (discards_unsent_) DiscardUnsent();
}

void TcpStream::Watch(int fd) {
  SetOptions(fd);
  watch_ = std::make_unique<FdWatch>(
      loop_, fd,
      FdWatch::Callbacks{[this] { OnReadable(); }, [this] { OnWritable(); },
                         [this](int error) {
                           if (!ended_) End(EndOf(error));
                         }});
}

void TcpStream::Write(std::string_view bytes) {
  if (ended_ || finishing_ || bytes.empty()) return;
  if (output_.empty() || output_.back().shared != nullptr)
    output_.emplace_back();
  output_.back().own.append(bytes);
  queued_ += bytes.size();
  if (!connecting_) Flush();
}

void TcpStream::WriteShared(std::shared_ptr<const std::string> bytes) {
  if (ended_ || finishing_ || bytes->empty()) return;
  queued_ += bytes->size();
  output_.push_back({"", std::move(bytes)});
  if (!connecting_) Flush();
}

void TcpStream::FinishWriting() {
  if (ended_ || finishing_) return;
  finishing_ = true;
  if (!connecting_) Flush();
}

void TcpStream::Flush() {
  while (!output_.empty()) {
    if (!SendFirst()) {
      // After an error the callbacks of the watch end the stream, not the call
      // that writes.
      watch_->RequestWritable();
      return;
    }
    output_.pop_front();
    first_sent_ = 0;
  }
  if (finishing_) shutdown(watch_->fd(), SHUT_WR);
}

bool TcpStream::SendFirst() {
  const std::string_view bytes = output_.front().bytes();
  while (first_sent_ < bytes.size()) {
    const ssize_t sent =
        send(watch_->fd(), bytes.data() + first_sent_,
             bytes.size() - first_sent_, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
      send_failure_ = EndOf(errno);
    if (sent <= 0) return false;
    bytes_sent_ += static_cast<uint64_t>(sent);
    first_sent_ += static_cast<size_t>(sent);
    queued_ -= static_cast<size_t>(sent);
  }
  return true;
}

void TcpStream::OnWritable() {
  if (ended_) return;
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(watch_->fd(), SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    send_failure_ = EndOf(error);
    // What arrived before is passed on first, such as an early response.
    const std::weak_ptr<char> alive = alive_;
    if (!connecting_) OnReadable();
    if (!alive.expired() && !ended_) End(send_failure_);
    return;
  }
  if (!connecting_) {
    const bool queued = queued_ > 0;
    Flush();
    if (queued && queued_ == 0 && handlers_.on_drained) handlers_.on_drained();
    return;
  }
  connecting_ = false;
  const std::weak_ptr<char> alive = alive_;
  if (handlers_.on_connected) handlers_.on_connected();
  if (!alive.expired() && !ended_) Flush();
}

void TcpStream::OnReadable() {
  if (ended_) return;
  const std::weak_ptr<char> alive = alive_;
  std::array<char, kReadBytes> buffer;
  for (int reads = 0;
       reads < kMaxReadsPerIteration && !alive.expired() && !ended_; ++reads) {
    const ssize_t received =
        recv(watch_->fd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received > 0) {
      handlers_.on_data({buffer.data(), static_cast<size_t>(received)});
      if (static_cast<size_t>(received) < buffer.size()) return;
      continue;
    }
    if (received == 0) {
      End(send_failure_ == StreamEnd::kNone ? StreamEnd::kClosedByPeer
                                            : send_failure_);
      return;
    }
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN)
      End(EndOf(errno));
    return;
  }
}

void TcpStream::DiscardUnsentOnClose() {
  if (ended_) return;
  discards_unsent_ = true;
  const linger reset_on_close = {1, 0};
  setsockopt(watch_->fd(), SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
}

void TcpStream::DiscardUnsent() {
  if (ended_) return;
  DiscardUnsentOnClose();
  // libwebsockets shuts its sockets down before it closes them, which would
  // still send what is queued. Connecting to AF_UNSPEC resets the connection at
  // once.
  sockaddr unspecified{};
  unspecified.sa_family = AF_UNSPEC;
  static_cast<void>(connect(watch_->fd(), &unspecified, sizeof(unspecified)));
}

void TcpStream::LimitDelivery(Duration limit) {
  if (ended_) return;
  const auto limit_ms = static_cast<unsigned>(ToMilliseconds(limit));
  setsockopt(watch_->fd(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
             sizeof(limit_ms));
}

bool TcpStream::PeerHasClosed() const {
  if (ended_) return true;
  char next = 0;
  const ssize_t peeked =
      recv(watch_->fd(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
  if (peeked > 0) return false;
  return peeked == 0 || (errno != EAGAIN && errno != EWOULDBLOCK &&
                         errno != EINTR && errno != ENOTCONN);
}

bool TcpStream::HasUnreadData() const {
  char next = 0;
  return !ended_ &&
         recv(watch_->fd(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) > 0;
}

void TcpStream::End(StreamEnd end) {
  // The loop closes the socket later.
  if (discards_unsent_) DiscardUnsent();
  ended_ = true;
  // Moved to the stack, because the handler may destroy the stream that owns
  // it.
  const auto on_end = std::move(handlers_.on_end);
  watch_.reset();
  if (on_end) on_end(end);
}

}  // namespace mimosadeal
