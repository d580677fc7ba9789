// One TCP connection to another entry host: buffered output, framed input.
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
  // Runs at most once, in a later round of the loop than the failure's cause
  // when that is a Send.
  std::function<void(const Error&)> on_closed;
};

class PeerConnection {
 public:
  PeerConnection(EventLoop& loop, int fd, PeerConnectionLimits limits,
                 PeerConnectionCallbacks callbacks);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  // Queues one frame. Returns false, and queues nothing, when the connection is
  // closed or the backlog would exceed its bound.
  bool Send(MessageType type, std::string_view body);
  // True when no byte of this connection's output has been taken by the system
  // yet.
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
  // Invariant: output_ from sent_ on is what the system has not taken yet.
  std::string output_;
  size_t sent_ = 0;
  bool any_sent_ = false;
  bool closed_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<FdWatch> watch_;
};

}  // namespace mimosadeal
