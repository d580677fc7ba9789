// The one loop on the one thread: a libwebsockets context, with the timer
// service driven from it.
#pragma once

#include <functional>
#include <memory>

#include "common/timer_service.h"

struct lws_context;
struct lws_vhost;

namespace mimosadeal {

class FdWatch;

struct EventLoopOptions {
  // Upper bound on open descriptors; memory for them is reserved at start.
  unsigned max_descriptors = 4096;
  // Upper bound on HTTP header blocks held at once; further callers wait to be
  // read.
  unsigned max_header_blocks = 2048;
  // Upper bound on the bytes of one header block.
  unsigned max_header_bytes = 8192;
};

class EventLoop {
 public:
  explicit EventLoop(const EventLoopOptions& options);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  TimerService& timers() { return timers_; }
  lws_context* context() { return context_; }
  // The virtual host, without a listening socket, that watched descriptors
  // belong to.
  lws_vhost* descriptor_vhost() { return descriptor_vhost_; }

  // Runs until Stop is called.
  void Run();
  // Runs one round: events that are ready, or the next timer, whichever comes
  // first.
  void RunOnce();
  void Stop();
  // Makes the next round look at its descriptors without waiting. Needed after
  // a response's headers: libwebsockets does not wake by itself for the part of
  // the body that came with them.
  void SkipNextWait() { skip_next_wait_ = true; }
  // Runs `callback` in the next round, outside the current callback.
  void Post(std::function<void()> callback);

 private:
  // Lets the loop wake at the next timer, or returns false when that is due
  // already. libwebsockets waits in whole milliseconds and would spin through
  // the rest, so a timerfd(2) wakes it instead.
  bool ArmTimer();

  TimerService timers_;
  lws_context* context_ = nullptr;
  lws_vhost* descriptor_vhost_ = nullptr;
  std::unique_ptr<FdWatch> timer_watch_;
  MonotonicTime armed_for_ = kForever;
  bool skip_next_wait_ = false;
  bool stopping_ = false;
};

}  // namespace mimosadeal
