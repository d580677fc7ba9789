#include "store/kind_watcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include "common/ids.h"
#include "net/event_loop.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

constexpr int kBackoffFactor = 2;
// A response with fewer changes has all of them: the store sends a long history
// in parts of some hundreds of changes.
constexpr size_t kMinPartChanges = 50;
// For the response to a watch of a store that responds slowly.
constexpr Duration kSlowResponseSlack = std::chrono::seconds(1);
// For the repetition of a lost watch, before the copy counts as old.
constexpr Duration kRepetitionTime = std::chrono::milliseconds(400);
// Interval of asking may_retry. It may wait for another watcher that probes the
// store.
constexpr Duration kMayRetryInterval = std::chrono::milliseconds(50);

// Returns a random delay from half of `delay` to all of it, so that hosts whose
// calls failed at the same time do not retry at the same time.
Duration AddJitter(Duration delay) {
  static Random random(SystemSeed());
  return delay / 2 +
         Duration(static_cast<int64_t>(random.Unit() *
                                       static_cast<double>(delay.count()) / 2));
}

}  // namespace

KindWatcher::KindWatcher(EventLoop& loop, ObjectStore& store, std::string kind,
                         KindWatcherTiming timing, KindWatcherHandlers handlers)
    : loop_(loop),
      store_(store),
      kind_(std::move(kind)),
      timing_(timing),
      handlers_(std::move(handlers)),
      retry_delay_(timing.first_retry) {}

KindWatcher::~KindWatcher() { loop_.timers().Cancel(timer_); }

void KindWatcher::Start(bool at_once) {
  if (!paused_) return;
  paused_ = false;
  confirm_at_once_ = revision_ != 0 && at_once;
  answered_at_ = kNever;
  loop_.timers().Cancel(timer_);
  if (revision_ == 0) {
    List();
  } else {
    Watch();
  }
}

void KindWatcher::Pause() {
  if (paused_) return;
  paused_ = true;
  batching_ = false;
  waiting_ = false;
  repeating_ = false;
  ++call_id_;
  loop_.timers().Cancel(timer_);
}

bool KindWatcher::ApplyFed(const KindUpdate& update,
                           MonotonicTime store_reachable_since) {
  if (update.revision <= content_revision_) return true;
  if (!update.full && update.base != content_revision_) return false;
  reachable_ = true;
  reachable_since_ = store_reachable_since;
  if (update.full) {
    ReplaceAll(update.objects, current_at_);
  } else {
    ApplyChanges(update.objects, current_at_);
  }
  content_revision_ = update.revision;
  revision_ = std::max(revision_, update.revision);
  if (handlers_.on_synced) handlers_.on_synced();
  return true;
}

void KindWatcher::NoteCurrent(MonotonicTime at) {
  current_at_ = std::max(current_at_, at);
}

KindUpdate KindWatcher::Snapshot() const {
  KindUpdate update;
  update.full = true;
  update.revision = content_revision_;
  for (const auto& [name, object] : objects_) update.objects.push_back(object);
  return update;
}

void KindWatcher::Schedule(Duration delay, std::function<void()> next) {
  loop_.timers().Cancel(timer_);
  timer_ = loop_.timers().After(delay, std::move(next));
}

void KindWatcher::List() {
  const uint64_t call_id = ++call_id_;
  call_sent_at_ = loop_.timers().now();
  call_wait_ = Duration::zero();
  store_.List(kind_, [this, call_id](Result<ObjectPage> page) {
    if (call_id == call_id_) OnList(std::move(page));
  });
}

void KindWatcher::Watch() {
  const bool batched = std::exchange(batching_, false);
  const bool at_once = std::exchange(confirm_at_once_, false);
  const uint64_t call_id = ++call_id_;
  call_sent_at_ = loop_.timers().now();
  // While the store is unreachable, asks for an immediate response: a waiting
  // watch would show late that the store is reachable again. Otherwise the
  // delay since the last response is part of the wait, so that a silent
  // connection shows as soon after a change as at other times.
  const Duration delayed = at_once   ? timing_.wait
                           : batched ? call_sent_at_ - answered_at_
                                     : Duration::zero();
  waiting_ = reachable_ && !repeating_;
  // The store is told whole milliseconds. A part of one would make it seem to
  // have responded early.
  const auto wait = std::chrono::floor<std::chrono::milliseconds>(
      std::max(timing_.wait - delayed, Duration::zero()));
  call_wait_ = waiting_ ? wait : Duration::zero();
  const Duration slack =
      waiting_ && !slow_ ? timing_.response_slack
                         : std::max(timing_.response_slack, kSlowResponseSlack);
  store_.Watch(kind_, revision_, call_wait_, slack,
               [this, call_id](Result<ObjectChanges> changes) {
                 if (call_id == call_id_) OnChanges(std::move(changes));
               });
}

void KindWatcher::RepeatWatch(const std::string& reason) {
  if (paused_ || !waiting_) return;
  LoseWatch(reason);
  Watch();
}

void KindWatcher::LoseWatch(const std::string& reason) {
  waiting_ = false;
  repeating_ = true;
  ++call_id_;
  if (handlers_.on_watch_lost)
    handlers_.on_watch_lost(loop_.timers().now() - call_sent_at_, reason);
}

bool KindWatcher::HasRecentResponse() const {
  const Duration slack = std::max(
      timing_.response_slack, slow_ ? kSlowResponseSlack : Duration::zero());
  return loop_.timers().now() - answered_at_ <
         timing_.wait + slack + kRepetitionTime;
}

void KindWatcher::OnList(Result<ObjectPage> page) {
  repeating_ = false;
  if (!page.has_value()) {
    OnFailure(page.error());
    return;
  }
  const MonotonicTime after = current_at_;
  OnSuccess();
  NoteCurrent(call_sent_at_);
  listed_at_ = loop_.timers().now();
  history_lost_ = false;
  NoteLeftOut(page.value().unreadable);
  ReplaceAll(page.value().objects, after);
  revision_ = std::max<uint64_t>({1, revision_, page.value().store_revision});
  content_revision_ = revision_;
  if (handlers_.on_update) handlers_.on_update(Snapshot());
  if (handlers_.on_synced) handlers_.on_synced();
  Watch();
}

void KindWatcher::ReplaceAll(const std::vector<StoredObject>& objects,
                             MonotonicTime after) {
  const ChangeBound bound{after, content_revision_};
  std::set<std::string> listed;
  for (const StoredObject& object : objects) {
    listed.insert(object.name);
    Apply(object, bound);
  }
  std::vector<std::string> unlisted;
  for (const auto& [name, object] : objects_) {
    if (!listed.contains(name)) unlisted.push_back(name);
  }
  for (const std::string& name : unlisted) {
    StoredObject removed = objects_.at(name);
    removed.deleted = true;
    Apply(removed, bound);
  }
}

void KindWatcher::ApplyChanges(const std::vector<StoredObject>& objects,
                               MonotonicTime after) {
  for (const StoredObject& object : objects)
    Apply(object,
          {after, object.revision - std::min<uint64_t>(object.revision, 1)});
}

void KindWatcher::OnChanges(Result<ObjectChanges> changes) {
  const bool waited = std::exchange(waiting_, false);
  if (!changes.has_value()) {
    if (changes.error().code == ErrorCode::kNotFound) {
      history_lost_ = true;
      // A list shortly after another one does not help.
      if (listed_at_ != kNever &&
          loop_.timers().now() - listed_at_ < timing_.longest_retry) {
        Schedule(AddJitter(timing_.longest_retry), [this] { Retry(); });
      } else {
        List();
      }
      return;
    }
    // The response of a single call may be lost while all others arrive.
    if (waited && changes.error().code == ErrorCode::kUnavailable &&
        (!handlers_.may_retry || handlers_.may_retry())) {
      LoseWatch(DescribeError(changes.error()));
      const bool timed_out = loop_.timers().now() - call_sent_at_ >= call_wait_;
      Schedule(timed_out ? Duration::zero() : AddJitter(timing_.first_retry),
               [this] { Watch(); });
      return;
    }
    OnFailure(changes.error());
    return;
  }
  const Duration took = loop_.timers().now() - call_sent_at_;
  if (std::exchange(repeating_, false)) {
    slow_ = took > timing_.response_slack;
    if (handlers_.on_watch_repeated)
      handlers_.on_watch_repeated(changes.value().changes.size(), took);
  } else if (waited && took <= call_wait_ + timing_.response_slack) {
    slow_ = false;
  }
  const bool any = !changes.value().changes.empty();
  if (any && handlers_.on_watched) {
    handlers_.on_watched({changes.value().changes.size(), revision_,
                          changes.value().changes.back().revision,
                          changes.value().store_revision, took});
  }
  const MonotonicTime after = current_at_;
  OnSuccess();
  const size_t left_out = changes.value().unreadable;
  NoteLeftOut(left_out);
  const bool part =
      changes.value().changes.size() + left_out >= kMinPartChanges;
  if (!part) {
    // Not the time of arrival: this process may have read the response late.
    const bool store_waited =
        !any && left_out == 0 && answered_at_ - call_sent_at_ >= call_wait_;
    NoteCurrent(call_sent_at_ + (store_waited ? call_wait_ : Duration::zero()));
  }
  KindUpdate update;
  update.base = content_revision_;
  update.objects = std::move(changes.value().changes);
  ApplyChanges(update.objects, after);
  revision_ = std::max(revision_, changes.value().store_revision);
  if (any) {
    content_revision_ = revision_;
    update.revision = content_revision_;
    if (handlers_.on_update) handlers_.on_update(update);
    if (handlers_.on_synced) handlers_.on_synced();
  }
  const Duration delay = any && !part ? timing_.batch_delay : Duration::zero();
  batching_ = delay > Duration::zero();
  Schedule(delay, [this] { Watch(); });
}

void KindWatcher::EndBatch() {
  if (!paused_ && batching_) Schedule(Duration::zero(), [this] { Watch(); });
}

void KindWatcher::Apply(const StoredObject& object, const ChangeBound& bound) {
  last_change_ = std::max(last_change_, object.revision);
  const auto found = objects_.find(object.name);
  if (object.deleted) {
    if (found == objects_.end()) return;
    objects_.erase(found);
  } else {
    if (found != objects_.end() && found->second.revision >= object.revision)
      return;
    objects_[object.name] = object;
  }
  if (handlers_.on_change) handlers_.on_change(object, bound);
}

void KindWatcher::NoteLeftOut(size_t count) {
  if (count > 0 && handlers_.on_left_out) handlers_.on_left_out(count);
}

void KindWatcher::OnSuccess() {
  retry_delay_ = timing_.first_retry;
  answered_at_ = loop_.timers().now();
  NoteReachable();
}

void KindWatcher::NoteReachable() {
  if (reachable_) return;
  reachable_ = true;
  // Not the time of arrival: a long response takes a second on a narrow link.
  reachable_since_ = call_sent_at_;
  if (handlers_.on_reachable) handlers_.on_reachable(true, "");
}

void KindWatcher::OnFailure(const Error& error) {
  repeating_ = false;
  if (error.code == ErrorCode::kMalformed) {
    NoteReachable();
    if (handlers_.on_malformed) handlers_.on_malformed(DescribeError(error));
  } else if (reachable_) {
    reachable_ = false;
    if (handlers_.on_reachable)
      handlers_.on_reachable(false, DescribeError(error));
  }
  Schedule(AddJitter(retry_delay_), [this] { Retry(); });
  retry_delay_ = std::min(retry_delay_ * kBackoffFactor, timing_.longest_retry);
}

void KindWatcher::Retry() {
  if (handlers_.may_retry && !handlers_.may_retry()) {
    Schedule(kMayRetryInterval, [this] { Retry(); });
  } else if (revision_ == 0 || history_lost_ ||
             (timing_.list_after_failure && !reachable_)) {
    List();
  } else {
    Watch();
  }
}

}  // namespace mimosadeal
