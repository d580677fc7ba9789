#include "inner/peer_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "net/event_loop.h"

namespace mimosadeal {
namespace {

constexpr size_t kReadBytes = 64 * 1024;
// A piece of output of this length grows no more.
constexpr size_t kPieceBytes = 64 * 1024;
// Frames up to this length, and how far they may exceed the backlog's limit.
constexpr size_t kShortFrameBytes = 1024;
constexpr size_t kShortReserve = 64 * 1024;

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

bool PeerConnection::HasRoom(size_t body_bytes) const {
  const size_t limit = limits_.max_backlog_bytes;
  return !closed_ && backlog_ <= limit &&
         body_bytes + kFrameHeaderBytes <= limit - backlog_;
}

bool PeerConnection::Send(MessageType type, std::string_view body) {
  if (closed_) return false;
  const size_t reserve = body.size() <= kShortFrameBytes ? kShortReserve : 0;
  if (backlog_ + body.size() + kFrameHeaderBytes >
      limits_.max_backlog_bytes + reserve)
    return false;
  AppendFrame(type, body, LastOwnPiece(FrameLimit::kBacklog));
  backlog_ += body.size() + kFrameHeaderBytes;
  return true;
}

bool PeerConnection::SendShared(MessageType type, std::string_view begin,
                                std::shared_ptr<const std::string> end,
                                FrameLimit limit) {
  if (end == nullptr || end->empty()) return Send(type, begin);
  const FrameStart start{type, begin.size() + end->size()};
  const bool fits = limit == FrameLimit::kSender
                        ? start.body_bytes <= limits_.max_body_bytes
                        : HasRoom(start.body_bytes);
  if (closed_ || !fits) return false;
  std::string& own = LastOwnPiece(limit);
  AppendFrameHeader(start, own);
  own.append(begin);
  if (limit == FrameLimit::kBacklog)
    backlog_ += kFrameHeaderBytes + start.body_bytes;
  output_.push_back({"", std::move(end), limit});
  return true;
}

std::string& PeerConnection::LastOwnPiece(FrameLimit limit) {
  const bool grows = !output_.empty() && output_.back().shared == nullptr &&
                     output_.back().limit == limit &&
                     output_.back().own.size() < kPieceBytes;
  if (!grows) {
    // One system call sends all frames that are queued in one iteration of the
    // loop.
    if (output_.empty()) {
      watch_->RequestWritable();
      progress_at_ = loop_.timers().now();
    }
    output_.push_back({"", nullptr, limit});
  }
  return output_.back().own;
}

void PeerConnection::OnWritable() {
  if (closed_) return;
  while (!output_.empty()) {
    const Piece& piece = output_.front();
    const std::string_view rest = piece.bytes().substr(first_sent_);
    const ssize_t count =
        send(watch_->fd(), rest.data(), rest.size(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) break;
      Close(MakeError(ErrorCode::kIo, std::strerror(errno)));
      return;
    }
    any_sent_ = true;
    sent_ = true;
    progress_at_ = loop_.timers().now();
    if (piece.limit == FrameLimit::kBacklog)
      backlog_ -= static_cast<size_t>(count);
    first_sent_ += static_cast<size_t>(count);
    if (first_sent_ < piece.bytes().size()) continue;
    output_.pop_front();
    first_sent_ = 0;
  }
  if (!output_.empty()) watch_->RequestWritable();
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
  received_ = true;
  const std::string_view bytes(buffer.data(), static_cast<size_t>(count));
  const size_t dropped = std::min(dropped_, bytes.size());
  dropped_ -= dropped;
  input_.append(bytes.substr(dropped));
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
    if (!parsed.value().has_value()) {
      if (ReadsFrame(std::string_view(input_).substr(consumed))) break;
      if (!*alive || closed_) return;
      // All of the input belongs to the frame, of which it has only a part.
      consumed = input_.size();
      break;
    }
    reads_long_frame_ = false;
    consumed += parsed.value()->length;
    callbacks_.on_frame(parsed.value()->frame);
    if (!*alive || closed_) return;
  }
  input_.erase(0, consumed);
  if (input_.capacity() > kLongFrameBytes && input_.size() <= kLongFrameBytes)
    input_.shrink_to_fit();
  if (reads_long_frame_)
    input_.reserve(kFrameHeaderBytes + PeekFrame(input_)->body_bytes);
}

bool PeerConnection::ReadsFrame(std::string_view input) {
  const auto start = PeekFrame(input);
  if (reads_long_frame_ || !start.has_value() ||
      start->body_bytes <= kLongFrameBytes)
    return true;
  if (callbacks_.on_long_frame) {
    const auto reads =
        callbacks_.on_long_frame(*start, input.substr(kFrameHeaderBytes));
    if (!reads.has_value()) return true;
    if (!*reads) {
      dropped_ = kFrameHeaderBytes + start->body_bytes - input.size();
      return false;
    }
  }
  reads_long_frame_ = true;
  return true;
}

bool PeerConnection::CheckProgress() {
  const bool received = std::exchange(received_, false);
  const bool sent = std::exchange(sent_, false);
  silent_checks_ = reads_long_frame_ && !received ? silent_checks_ + 1 : 0;
  stuck_checks_ = KeepsLongBodies() && !sent ? stuck_checks_ + 1 : 0;
  if (silent_checks_ >= kMaxStalledChecks) {
    silent_checks_ = 0;
    OfferSilentFrame();
  }
  return stuck_checks_ < kMaxStalledChecks;
}

void PeerConnection::OfferSilentFrame() {
  const std::string_view input = input_;
  const auto start = PeekFrame(input);
  if (closed_ || !callbacks_.on_silent_frame || !start.has_value() ||
      !callbacks_.on_silent_frame(*start, input.substr(kFrameHeaderBytes)))
    return;
  dropped_ = kFrameHeaderBytes + start->body_bytes - input.size();
  input_ = std::string();
  reads_long_frame_ = false;
}

bool PeerConnection::KeepsLongBodies() const {
  size_t bytes = 0;
  for (const Piece& piece : output_)
    bytes += piece.shared == nullptr ? 0 : piece.shared->size();
  return bytes > kLongFrameBytes;
}

void PeerConnection::Abandon() {
  closed_ = true;
  watch_.reset();
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
