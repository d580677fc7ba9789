#include "net/event_loop.h"

#include <libwebsockets.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>

#include "net/fd_watch.h"

namespace mimosadeal {
namespace {

// lws_service does not wait when its timeout is negative, and chooses the
// timeout itself when it is zero.
constexpr int kDoNotWait = -1;
// Descriptors of libwebsockets itself, and what it keeps free.
constexpr unsigned kOwnDescriptors = 4;
constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;

const std::array<lws_protocols, 2> kDescriptorProtocols = {{
    {kFdWatchProtocol, FdWatchCallback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

}  // namespace

EventLoop::EventLoop(const EventLoopOptions& options)
    : timers_(BootClock::now),
      max_watched_(options.max_descriptors -
                   std::min(options.max_descriptors, kOwnDescriptors)) {
  lws_set_log_level(LLL_ERR, nullptr);
  lws_context_creation_info info{};
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.user = this;
  info.fd_limit_per_thread = options.max_descriptors;
  info.max_http_header_pool2 = options.max_header_blocks;
  info.max_http_header_data2 = options.max_header_bytes;
  context_ = lws_create_context(&info);
  if (context_ == nullptr) std::abort();

  lws_context_creation_info vhost_info{};
  vhost_info.port = CONTEXT_PORT_NO_LISTEN;
  vhost_info.protocols = kDescriptorProtocols.data();
  vhost_info.vhost_name = "descriptors";
  descriptor_vhost_ = lws_create_vhost(context_, &vhost_info);
  if (descriptor_vhost_ == nullptr) std::abort();

  const int timer_fd =
      timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  if (timer_fd < 0) std::abort();
  timer_watch_ = std::make_unique<FdWatch>(
      *this, timer_fd,
      FdWatch::Callbacks{[timer_fd] {
                           uint64_t expirations = 0;
                           (void)!read(timer_fd, &expirations,
                                       sizeof(expirations));
                         },
                         nullptr});
}

EventLoop::~EventLoop() {
  timer_watch_.reset();
  lws_context_destroy(context_);
}

void EventLoop::Run() {
  while (!stopping_) RunOnce();
}

void EventLoop::RunOnce() {
  const bool wait = ArmTimer() && !skip_next_wait_;
  skip_next_wait_ = false;
  lws_service(context_, wait ? 0 : kDoNotWait);
  // Timers run last, so that a caller of RunOnce sees their effects before the
  // next wait.
  timers_.RunDue();
}

void EventLoop::Stop() {
  stopping_ = true;
  lws_cancel_service(context_);
}

void EventLoop::Post(std::function<void()> callback) {
  timers_.After(Duration::zero(), std::move(callback));
}

bool EventLoop::ArmTimer() {
  const MonotonicTime due = timers_.NextDue().value_or(kForever);
  if (due <= BootClock::now()) return false;
  if (due == armed_for_) return true;
  armed_for_ = due;
  itimerspec spec{};  // All zeros disarm the timer.
  if (due != kForever) {
    const int64_t nanoseconds =
        std::max<int64_t>(1, due.time_since_epoch().count());
    spec.it_value.tv_sec = nanoseconds / kNanosecondsPerSecond;
    spec.it_value.tv_nsec = nanoseconds % kNanosecondsPerSecond;
  }
  timerfd_settime(timer_watch_->fd(), TFD_TIMER_ABSTIME, &spec, nullptr);
  return true;
}

}  // namespace mimosadeal
