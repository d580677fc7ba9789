#include "common/timer_service.h"

namespace mimosadeal {

TimerId TimerService::After(Duration delay, Callback callback) {
  return Add(now() + delay, Duration::zero(), std::move(callback));
}

TimerId TimerService::Every(Duration period, Callback callback) {
  return Add(now() + period, period, std::move(callback));
}

TimerId TimerService::Add(MonotonicTime due, Duration period,
                          Callback callback) {
  const TimerId id = next_id_++;
  due_.emplace(DueKey{due, id}, 0);
  timers_.emplace(id, Timer{period, std::move(callback), due});
  return id;
}

void TimerService::Cancel(TimerId id) {
  const auto found = timers_.find(id);
  if (found == timers_.end()) return;
  due_.erase(DueKey{found->second.due, id});
  timers_.erase(found);
}

void TimerService::RunDue() {
  const MonotonicTime started_at = now();
  // Timers added by callbacks are left for the next call, so that a callback
  // that adds itself again without a delay cannot block the event loop.
  const TimerId first_new_id = next_id_;
  auto next = due_.begin();
  while (next != due_.end() && next->first.first <= started_at) {
    const TimerId id = next->first.second;
    if (id >= first_new_id) {
      ++next;
      continue;
    }
    due_.erase(next);
    Timer& timer = timers_.at(id);
    Callback callback;
    if (timer.period > Duration::zero()) {
      timer.due = started_at + timer.period;
      due_.emplace(DueKey{timer.due, id}, 0);
      callback = timer.callback;
    } else {
      callback = std::move(timer.callback);
      timers_.erase(id);
    }
    callback();
    next = due_.begin();
  }
}

std::optional<MonotonicTime> TimerService::NextDue() const {
  if (due_.empty()) return std::nullopt;
  return due_.begin()->first.first;
}

}  // namespace mimosadeal
