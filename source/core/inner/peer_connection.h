// A TCP connection to another entry host. Buffers output and splits input into
// frames.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "common/error.h"
#include "inner/frame.h"
#include "net/fd_watch.h"

namespace mimosadeal {

class EventLoop;

struct PeerConnectionLimits {
  size_t max_body_bytes = 0;
  size_t max_backlog_bytes = 0;
};

struct PeerConnectionCallbacks {
  std::function<void(const Frame&)> on_frame;
  // Called at most once, and never from within Send.
  std::function<void(const Error&)> on_closed;
};

class PeerConnection {
 public:
  PeerConnection(EventLoop& loop, int fd, PeerConnectionLimits limits,
                 PeerConnectionCallbacks callbacks);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  // Queues a frame. Returns false, and queues nothing, if the connection is
  // closed or the backlog would exceed its limit.
  bool Send(MessageType type, std::string_view body);
  // Whether the kernel has not accepted any byte of output yet.
  bool nothing_sent() const { return !any_sent_; }

 private:
  void OnReadable();
  void OnWritable();
  void ParseInput();
  void Close(Error error);

  EventLoop& loop_;
  PeerConnectionLimits limits_;
  PeerConnectionCallbacks callbacks_;
  std::string input_;
  // The first sent_ bytes have been accepted by the kernel.
  std::string output_;
  size_t sent_ = 0;
  bool any_sent_ = false;
  bool closed_ = false;
  // False once the connection is destroyed, for callbacks that may outlive it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<FdWatch> watch_;
};

}  // namespace mimosadeal
