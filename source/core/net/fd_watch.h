// Watches a descriptor in the event loop that libwebsockets did not open: a UDP
// or TCP socket, a signalfd(2) or a timerfd(2).
#pragma once

#include <libwebsockets.h>

#include <functional>
#include <memory>

namespace mimosadeal {

class EventLoop;

inline constexpr char kFdWatchProtocol[] = "fd-watch";

// Owns the descriptor and closes it on destruction. The callbacks may destroy
// the watch.
class FdWatch {
 public:
  struct Callbacks {
    std::function<void()> on_readable;
    std::function<void()> on_writable;
    // The descriptor was closed: by libwebsockets, as it does for an error or a
    // hang-up that comes without input, or because the loop may watch no more.
    // `error` is the socket's, 0 if it had none, or EMFILE. Runs once, and from
    // the event loop only.
    std::function<void(int error)> on_closed = nullptr;
  };

  FdWatch(EventLoop& loop, int fd, Callbacks callbacks);
  ~FdWatch();
  FdWatch(const FdWatch&) = delete;
  FdWatch& operator=(const FdWatch&) = delete;

  // -1 once the descriptor has been closed, as the kernel may give its
  // number to another one.
  int fd() const { return fd_; }
  // Requests one call of on_writable as soon as the descriptor is writable. May
  // be called from on_writable itself.
  void RequestWritable();

 private:
  friend int FdWatchCallback(lws* wsi, lws_callback_reasons reason, void* user,
                             void* in, size_t length);

  void RunWritableCallback();
  void NoteClosed();
  // Calls on_closed in the next iteration.
  void ReportClosed(int error);

  EventLoop& loop_;
  int fd_;
  Callbacks callbacks_;
  // Expires with the watch; shows a callback's caller whether the callback
  // destroyed the watch.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
  bool in_writable_ = false;
  bool writable_requested_ = false;
  lws* wsi_ = nullptr;
};

int FdWatchCallback(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                    size_t length);

}  // namespace mimosadeal
