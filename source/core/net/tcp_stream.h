// A TCP connection in the event loop: buffers output, passes on received bytes
// and reports how the connection ended.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

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
  size_t queued_bytes() const { return output_.size() - output_sent_; }
  // Number of bytes that the kernel has accepted so far.
  uint64_t bytes_sent() const { return bytes_sent_; }
  // Resets the connection, which discards the bytes that the peer has not
  // received. After an ordinary close the kernel would keep sending them.
  void DiscardUnsent();
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
  void Watch(int fd);
  void End(StreamEnd end);

  EventLoop& loop_;
  TcpStreamHandlers handlers_;
  std::unique_ptr<FdWatch> watch_;
  // Expires with the stream; shows a handler's caller whether the handler
  // destroyed the stream.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
  std::string output_;
  size_t output_sent_ = 0;  // Invariant: at most output_.size().
  uint64_t bytes_sent_ = 0;
  bool connecting_ = false;
  bool finishing_ = false;
  bool ended_ = false;
};

}  // namespace mimosadeal
