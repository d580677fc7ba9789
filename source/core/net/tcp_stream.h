// A TCP connection in the event loop: buffers output, passes on received bytes
// and reports how the connection ended.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/boot_clock.h"
#include "common/error.h"
#include "net/socket_address.h"

namespace mimosadeal {

class EventLoop;
class FdWatch;

enum class StreamEnd : uint8_t {
  kNone,
  kClosedByPeer,  // In order: every byte that the peer sent has arrived.
  kReset,
  kRefused,  // Nothing listens at the address.
  kFailed,   // Any other error, such as unanswered keep-alive probes.
};

std::string_view StreamEndName(StreamEnd end);

struct TcpStreamHandlers {
  std::function<void()> on_connected;  // For outgoing connections only.
  std::function<void(std::string_view)> on_data;
  std::function<void(StreamEnd)> on_end;  // Called at most once, and last.
  // The last queued byte was sent. Never called from within a call of Write.
  std::function<void()> on_drained = nullptr;
};

// The handlers may destroy the stream.
class TcpStream {
 public:
  // Takes ownership of a connected socket.
  TcpStream(EventLoop& loop, int fd, TcpStreamHandlers handlers);
  // Starts to connect. Errors: kIo if no socket can be opened.
  static Result<std::unique_ptr<TcpStream>> Connect(
      EventLoop& loop, const SocketAddress& address,
      TcpStreamHandlers handlers);
  // Closes the connection; output that is still queued is lost.
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  // Queues bytes and sends as many as the socket accepts now.
  void Write(std::string_view bytes);
  // As Write, but keeps the bytes where they are until they are sent.
  void WriteShared(std::shared_ptr<const std::string> bytes);
  size_t queued_bytes() const { return queued_; }
  // As queued_bytes, with what was sent of a piece that is kept whole.
  size_t held_bytes() const { return queued_ + first_sent_; }
  // Number of bytes that the kernel has accepted so far.
  uint64_t bytes_sent() const { return bytes_sent_; }
  // Resets the connection, which discards the bytes that the peer has not
  // received. After an ordinary close the kernel would keep sending them.
  void DiscardUnsent();
  // The same as soon as the connection is closed, also by the end of this
  // process. So nothing is sent after on_end was called, or this object
  // destroyed.
  void DiscardUnsentOnClose();
  // Ends the connection when bytes have not been acknowledged for `limit` after
  // they were sent again, or when the peer has no room for them for as long.
  // The kernel does so also while this process is stopped.
  void LimitDelivery(Duration limit);
  // Whether the peer has closed the connection and every byte before its end
  // has been read.
  bool PeerHasClosed() const;
  // Whether bytes have arrived that were not passed to on_data yet.
  bool HasUnreadData() const;
  // Sends what is queued and then shuts down the sending direction.
  void FinishWriting();

 private:
  void OnReadable();
  void OnWritable();
  void Flush();
  // Returns whether the first of the queued pieces was sent completely.
  bool SendFirst();
  void Watch(int fd);
  void End(StreamEnd end);

  EventLoop& loop_;
  TcpStreamHandlers handlers_;
  std::unique_ptr<FdWatch> watch_;
  // Expires with the stream; shows a handler's caller whether the handler
  // destroyed the stream.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
  // What is queued. The last piece grows if it is this stream's own.
  struct Piece {
    std::string own;
    std::shared_ptr<const std::string> shared = nullptr;
    std::string_view bytes() const { return shared ? *shared : own; }
  };
  std::deque<Piece> output_;
  size_t first_sent_ = 0;  // Bytes of the first piece.
  size_t queued_ = 0;      // Invariant: size of all pieces less first_sent_.
  uint64_t bytes_sent_ = 0;
  // How a send failed; kNone if none has. The kernel reports an error once, and
  // a receive after it seems to find an orderly end.
  StreamEnd send_failure_ = StreamEnd::kNone;
  bool connecting_ = false;
  bool finishing_ = false;
  bool discards_unsent_ = false;
  bool ended_ = false;
};

}  // namespace mimosadeal
