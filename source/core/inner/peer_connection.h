// A TCP connection to another entry host. Buffers output and splits input into
// frames.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "common/boot_clock.h"
#include "common/error.h"
#include "inner/frame.h"
#include "net/fd_watch.h"

namespace mimosadeal {

class EventLoop;

struct PeerConnectionLimits {
  size_t max_body_bytes = 0;
  size_t max_backlog_bytes = 0;
};

// Frames with a longer body are announced before they are read.
inline constexpr size_t kLongFrameBytes = size_t{64} * 1024;

// Who limits the bytes of a frame that is queued.
enum class FrameLimit : uint8_t {
  kBacklog,
  kSender,  // Counts them elsewhere; the peer's limit of one frame applies.
};

struct PeerConnectionCallbacks {
  std::function<void(const Frame&)> on_frame;
  // Called at most once, and never from within Send.
  std::function<void(const Error&)> on_closed;
  // A long frame begins, of whose body `begun` has arrived. Returns whether to
  // read it; otherwise it is dropped. May be null, and is called again while it
  // returns nothing. Must not destroy the connection.
  std::function<std::optional<bool>(const FrameStart&, std::string_view begun)>
      on_long_frame = nullptr;
};

class PeerConnection {
 public:
  PeerConnection(EventLoop& loop, int fd, PeerConnectionLimits limits,
                 PeerConnectionCallbacks callbacks);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  // Queues a frame. Returns false, and queues nothing, if the connection is
  // closed or the backlog would exceed its limit. Short frames may exceed it a
  // little, so that they pass when longer ones do not.
  bool Send(MessageType type, std::string_view body);
  // As Send, for a body of two parts. Keeps the second where it is until it is
  // sent.
  bool SendShared(MessageType type, std::string_view begin,
                  std::shared_ptr<const std::string> end, FrameLimit limit);
  // Whether Send would queue a long frame.
  bool HasRoom(size_t body_bytes) const;
  // Whether output is queued of which the kernel has taken nothing since
  // `time`.
  bool StalledSince(MonotonicTime time) const {
    return !output_.empty() && progress_at_ < time;
  }
  // Whether the kernel has not accepted any byte of output yet.
  bool nothing_sent() const { return !any_sent_; }
  // Closes the connection: it reads, sends and reports nothing more. May be
  // called from its callbacks.
  void Abandon();

 private:
  void OnReadable();
  void OnWritable();
  void ParseInput();
  void Close(Error error);
  // Returns the string to append a frame to.
  std::string& LastOwnPiece();
  // Whether the frame that begins `input` is to be read. Sets `dropped_`
  // otherwise.
  bool ReadsFrame(std::string_view input);

  // What is queued. The last piece grows if it is this connection's own.
  struct Piece {
    std::string own;
    std::shared_ptr<const std::string> shared = nullptr;
    FrameLimit limit = FrameLimit::kBacklog;
    std::string_view bytes() const { return shared ? *shared : own; }
  };

  EventLoop& loop_;
  PeerConnectionLimits limits_;
  PeerConnectionCallbacks callbacks_;
  std::string input_;
  bool reads_long_frame_ = false;  // The one that begins input_.
  size_t dropped_ = 0;             // Bytes to come of a frame that is not read.
  std::deque<Piece> output_;
  size_t first_sent_ = 0;  // Of the first piece, accepted by the kernel.
  // Invariant: unsent bytes of the pieces that are limited by the backlog.
  size_t backlog_ = 0;
  // When the kernel last accepted output, or output was queued behind none.
  MonotonicTime progress_at_ = kNever;
  bool any_sent_ = false;
  bool closed_ = false;
  // False once the connection is destroyed, for callbacks that may outlive it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<FdWatch> watch_;
};

}  // namespace mimosadeal
