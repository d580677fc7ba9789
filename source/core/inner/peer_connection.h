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

// How often the owner of a connection calls CheckProgress.
inline constexpr Duration kProgressInterval = std::chrono::seconds(1);
// Checks without a byte after which a long transfer is given up, 4 to 6 s. The
// relay has failed such a request by then: a helper is silent after 1.3 s. They
// are counted, and not their time, so that a host that was frozen itself reads
// first what arrived meanwhile.
inline constexpr int kMaxStalledChecks = 5;

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
  // Nothing more of a long frame has arrived for some time. Returns whether to
  // give it up: what is still to come is dropped then. May be null, and is
  // called again while it returns false. Must not destroy the connection.
  std::function<bool(const FrameStart&, std::string_view begun)>
      on_silent_frame = nullptr;
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
  // Offers to give up a long frame that no longer arrives. Returns false if the
  // peer does not read, and more than kLongFrameBytes of bodies are kept for
  // it.
  bool CheckProgress();
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
  // Returns the string to append a frame to, which this limit applies to.
  std::string& LastOwnPiece(FrameLimit limit);
  // Whether the frame that begins `input` is to be read. Sets `dropped_`
  // otherwise.
  bool ReadsFrame(std::string_view input);
  void OfferSilentFrame();
  bool KeepsLongBodies() const;

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
  // Since the last check.
  bool sent_ = false;
  bool received_ = false;
  // Checks in a row with a long frame of which nothing arrived, and with long
  // bodies of which nothing was sent.
  int silent_checks_ = 0;
  int stuck_checks_ = 0;
  bool closed_ = false;
  // False once the connection is destroyed, for callbacks that may outlive it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<FdWatch> watch_;
};

}  // namespace mimosadeal
