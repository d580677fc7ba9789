// One TCP connection on the event loop: queues what is written, hands over what
// arrives, and tells how the connection ended.
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
  kClosedByPeer,  // An orderly end: every byte that the peer sent has arrived.
  kReset,
  kRefused,  // Nothing listens at the address.
  kFailed,   // Any other error, silence that keep-alive probes found included.
};

std::string_view StreamEndName(StreamEnd end);

struct TcpStreamHandlers {
  std::function<void()> on_connected;  // For outgoing connections only.
  std::function<void(std::string_view)> on_data;
  std::function<void(StreamEnd)> on_end;  // At most once, and last.
};

// The handlers may destroy the stream.
class TcpStream {
 public:
  // Takes over a connected descriptor.
  TcpStream(EventLoop& loop, int fd, TcpStreamHandlers handlers);
  // Errors: kIo when no socket can be opened.
  static Result<std::unique_ptr<TcpStream>> Connect(
      EventLoop& loop, const SocketAddress& address,
      TcpStreamHandlers handlers);
  // Closes the connection; what is still queued is lost.
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  // Queues bytes and sends what the socket takes now.
  void Write(std::string_view bytes);
  size_t queued_bytes() const { return output_.size() - output_sent_; }
  // Bytes that the kernel has taken so far.
  uint64_t bytes_sent() const { return bytes_sent_; }
  // Makes the connection's end a reset that drops what the peer has not
  // received; an ordinary close goes on sending it for as long as it takes.
  void DiscardUnsent();
  // Whether the peer has ended the connection, with nothing left to read
  // before its end.
  bool PeerHasClosed() const;
  // Whether bytes have arrived that were not handed over yet.
  bool HasUnreadData() const;
  // Sends what is queued and then ends the outgoing direction.
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
  // Expires with the stream, so that a callback can tell that it was destroyed.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
  std::string output_;
  size_t output_sent_ = 0;  // Invariant: not beyond output_.size().
  uint64_t bytes_sent_ = 0;
  bool connecting_ = false;
  bool finishing_ = false;
  bool ended_ = false;
};

}  // namespace mimosadeal
