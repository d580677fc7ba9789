#include "net/event_loop.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <cstdlib>

#include "net/fd_watch.h"

namespace mimosadeal {
namespace {

constexpr Duration kLongestWait = std::chrono::milliseconds(1000);

void OnWakeup(lws_sorted_usec_list_t* /*entry*/) {}

const std::array<lws_protocols, 2> kDescriptorProtocols = {{
    {kFdWatchProtocol, FdWatchCallback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

}  // namespace

EventLoop::EventLoop(const EventLoopOptions& options)
    : timers_(BootClock::now()), wakeup_(std::make_unique<lws_sorted_usec_list>()) {
  lws_set_log_level(LLL_ERR, nullptr);
  lws_context_creation_info info{};
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
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
}

EventLoop::~EventLoop() {
  lws_sul_schedule(context_, 0, wakeup_.get(), OnWakeup, LWS_SET_TIMER_USEC_CANCEL);
  lws_context_destroy(context_);
}

void EventLoop::Run() {
  while (!stopping_) RunOnce();
}

void EventLoop::RunOnce() {
  timers_.RunDue(BootClock::now());
  ScheduleWakeup();
  lws_service(context_, 0);
  timers_.SetNow(BootClock::now());
}

void EventLoop::Stop() {
  stopping_ = true;
  lws_cancel_service(context_);
}

void EventLoop::Post(std::function<void()> callback) { timers_.After(Duration::zero(), std::move(callback)); }

void EventLoop::ScheduleWakeup() {
  const MonotonicTime now = BootClock::now();
  const MonotonicTime due = timers_.NextDue().value_or(now + kLongestWait);
  const Duration wait = std::clamp<Duration>(due - now, Duration::zero(), kLongestWait);
  // Rounded up, so that the loop does not wake just before the timer is due.
  const lws_usec_t microseconds = ToMicroseconds(wait) + 1;
  lws_sul_schedule(context_, 0, wakeup_.get(), OnWakeup, microseconds);
}

}  // namespace mimosadeal
