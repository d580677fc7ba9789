// The event loop of the process: a libwebsockets context and the timers, which
// all run on one thread.
#pragma once

#include <functional>
#include <memory>

#include "common/timer_service.h"

struct lws_context;
struct lws_vhost;

namespace mimosadeal {

class FdWatch;

struct EventLoopOptions {
  // Maximum number of open descriptors. Memory for them is reserved at start.
  // Beyond it FdWatch closes new ones.
  unsigned max_descriptors = 4096;
  // Maximum number of requests whose HTTP headers are held at the same time.
  // Further connections are not read until one of them is done.
  unsigned max_header_blocks = 2048;
  // Maximum size of the headers of one request.
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
  // The virtual host of the descriptors that FdWatch watches. It has no
  // listening socket.
  lws_vhost* descriptor_vhost() { return descriptor_vhost_; }

  // Whether another descriptor may be watched. FdWatch notes each that begins
  // or ends to be.
  bool MayWatch() const { return watched_ < max_watched_; }
  void NoteWatched() { ++watched_; }
  void NoteUnwatched() { --watched_; }

  // Runs until Stop is called.
  void Run();
  // Runs one iteration: waits for a ready descriptor or for the next timer,
  // whichever comes first, and runs the callbacks that are due.
  void RunOnce();
  void Stop();
  // Makes the next iteration poll its descriptors without waiting. Needed after
  // the headers of a response: libwebsockets does not wake up for the part of
  // the body that arrived together with them.
  void SkipNextWait() { skip_next_wait_ = true; }
  // Runs `callback` in the next iteration, outside the current callback.
  void Post(std::function<void()> callback);

 private:
  // Sets the timerfd(2) that wakes the loop for the next timer. Returns false
  // when that timer is due already. libwebsockets waits in whole milliseconds
  // and would busy-wait for the remainder.
  bool ArmTimer();

  TimerService timers_;
  size_t max_watched_;
  size_t watched_ = 0;  // By libwebsockets, those that it is yet to close too.
  lws_context* context_ = nullptr;
  lws_vhost* descriptor_vhost_ = nullptr;
  std::unique_ptr<FdWatch> timer_watch_;
  MonotonicTime armed_for_ = kForever;
  bool skip_next_wait_ = false;
  bool stopping_ = false;
};

}  // namespace mimosadeal
