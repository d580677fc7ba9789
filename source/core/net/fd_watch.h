// Watches a descriptor of the process's own (UDP and TCP sockets, signalfd) in
// the event loop.
#pragma once

#include <libwebsockets.h>

#include <functional>

namespace mimosadeal {

class EventLoop;

inline constexpr char kFdWatchProtocol[] = "fd-watch";

// Owns the descriptor: destroying the watch closes it. The callbacks may
// destroy the watch.
class FdWatch {
 public:
  struct Callbacks {
    std::function<void()> on_readable;
    std::function<void()> on_writable;
  };

  FdWatch(EventLoop& loop, int fd, Callbacks callbacks);
  ~FdWatch();
  FdWatch(const FdWatch&) = delete;
  FdWatch& operator=(const FdWatch&) = delete;

  int fd() const { return fd_; }
  // Asks for one call of on_writable as soon as the descriptor takes bytes.
  void RequestWritable();

 private:
  friend int FdWatchCallback(lws* wsi, lws_callback_reasons reason, void* user,
                             void* in, size_t length);

  int fd_;
  Callbacks callbacks_;
  lws* wsi_ = nullptr;
};

int FdWatchCallback(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                    size_t length);

}  // namespace mimosadeal
