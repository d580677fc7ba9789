#include "inner/peer_connection.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "net/event_loop.h"

namespace mimosadeal {
namespace {

constexpr size_t kReadBytes = 64 * 1024;
// Sent bytes are removed from the front of the buffer when there are more than
// this number.
constexpr size_t kCompactBytes = 256 * 1024;

}  // namespace

PeerConnection::PeerConnection(EventLoop& loop, int fd,
                               PeerConnectionLimits limits,
                               PeerConnectionCallbacks callbacks)
    : loop_(loop), limits_(limits), callbacks_(std::move(callbacks)) {
  watch_ = std::make_unique<FdWatch>(
      loop, fd,
      FdWatch::Callbacks{[this] { OnReadable(); }, [this] { OnWritable(); },
                         [this](int error) {
                           Close(MakeError(ErrorCode::kIo,
                                           error == 0 ? "the connection ended"
                                                      : std::strerror(error)));
                         }});
}

PeerConnection::~PeerConnection() { *alive_ = false; }

bool PeerConnection::Send(MessageType type, std::string_view body) {
  if (closed_) return false;
  const size_t backlog = output_.size() - sent_;
  if (backlog + body.size() + kFrameHeaderBytes > limits_.max_backlog_bytes)
    return false;
  // One system call sends all frames that are queued in one iteration of the
  // loop.
  if (backlog == 0) watch_->RequestWritable();
  AppendFrame(type, body, output_);
  return true;
}

void PeerConnection::OnWritable() {
  if (closed_) return;
  while (sent_ < output_.size()) {
    const ssize_t count = send(watch_->fd(), output_.data() + sent_,
                               output_.size() - sent_, MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) break;
      Close(MakeError(ErrorCode::kIo, std::strerror(errno)));
      return;
    }
    any_sent_ = true;
    sent_ += static_cast<size_t>(count);
  }
  if (sent_ == output_.size()) {
    output_.clear();
    sent_ = 0;
    return;
  }
  if (sent_ > kCompactBytes) {
    output_.erase(0, sent_);
    sent_ = 0;
  }
  watch_->RequestWritable();
}

void PeerConnection::OnReadable() {
  if (closed_) return;
  std::array<char, kReadBytes> buffer;
  const ssize_t count = recv(watch_->fd(), buffer.data(), buffer.size(), 0);
  if (count == 0) {
    Close(MakeError(ErrorCode::kIo, "closed by the peer"));
    return;
  }
  if (count < 0) {
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return;
    Close(MakeError(ErrorCode::kIo, std::strerror(errno)));
    return;
  }
  input_.append(buffer.data(), static_cast<size_t>(count));
  ParseInput();
}

void PeerConnection::ParseInput() {
  const std::shared_ptr<bool> alive = alive_;
  size_t consumed = 0;
  while (true) {
    auto parsed = ParseFrame(std::string_view(input_).substr(consumed),
                             limits_.max_body_bytes);
    if (!parsed.has_value()) {
      Close(parsed.error());
      return;
    }
    if (!parsed.value().has_value()) break;
    consumed += parsed.value()->length;
    callbacks_.on_frame(parsed.value()->frame);
    if (!*alive || closed_) return;
  }
  input_.erase(0, consumed);
}

void PeerConnection::Close(Error error) {
  if (closed_) return;
  closed_ = true;
  watch_.reset();
  loop_.Post([this, alive = alive_, error = std::move(error)] {
    if (*alive) callbacks_.on_closed(error);
  });
}

}  // namespace mimosadeal
