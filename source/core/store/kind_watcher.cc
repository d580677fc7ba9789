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
// Between looks at whether another watcher has found the store.
constexpr Duration kRetryCheck = std::chrono::milliseconds(50);

// Returns a delay between half of `delay` and all of it, so that hosts that
// failed together do not retry together.
Duration Spread(Duration delay) {
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
      retry_(timing.first_retry) {}

KindWatcher::~KindWatcher() { loop_.timers().Cancel(timer_); }

void KindWatcher::Start() {
  if (!paused_) return;
  paused_ = false;
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
  ++round_;
  loop_.timers().Cancel(timer_);
}

bool KindWatcher::ApplyFed(const KindUpdate& update,
                           MonotonicTime store_back_at) {
  if (update.revision <= content_revision_) return true;
  if (!update.full && update.base != content_revision_) return false;
  reachable_ = true;
  reachable_since_ = store_back_at;
  if (update.full) {
    ReplaceAll(update.objects, current_at_);
  } else {
    ApplySteps(update.objects, current_at_);
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
  const uint64_t round = ++round_;
  asked_at_ = loop_.timers().now();
  store_.List(kind_, [this, round](Result<ObjectPage> page) {
    if (round == round_) OnList(std::move(page));
  });
}

void KindWatcher::Watch() {
  const uint64_t round = ++round_;
  asked_at_ = loop_.timers().now();
  // Without an answer yet, asks for what there is, so that a call that hangs
  // does not hide the store's return.
  store_.Watch(kind_, revision_, reachable_ ? timing_.wait : Duration::zero(),
               [this, round](Result<ObjectChanges> changes) {
                 if (round == round_) OnChanges(std::move(changes));
               });
}

void KindWatcher::OnList(Result<ObjectPage> page) {
  if (!page.has_value()) {
    OnFailure(page.error());
    return;
  }
  const MonotonicTime after = current_at_;
  OnSuccess(Duration::zero());
  history_lost_ = false;
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
  std::vector<std::string> gone;
  for (const auto& [name, object] : objects_) {
    if (!listed.contains(name)) gone.push_back(name);
  }
  for (const std::string& name : gone) {
    StoredObject removed = objects_.at(name);
    removed.deleted = true;
    Apply(removed, bound);
  }
}

void KindWatcher::ApplySteps(const std::vector<StoredObject>& objects,
                             MonotonicTime after) {
  for (const StoredObject& object : objects)
    Apply(object,
          {after, object.revision - std::min<uint64_t>(object.revision, 1)});
}

void KindWatcher::OnChanges(Result<ObjectChanges> changes) {
  if (!changes.has_value()) {
    if (changes.error().code == ErrorCode::kNotFound) {
      history_lost_ = true;
      List();
      return;
    }
    OnFailure(changes.error());
    return;
  }
  const bool any = !changes.value().changes.empty();
  // Without a change the store has waited for as long as it was asked to.
  const MonotonicTime after = current_at_;
  OnSuccess(any || !reachable_ ? Duration::zero() : timing_.wait);
  KindUpdate update;
  update.base = content_revision_;
  update.objects = std::move(changes.value().changes);
  ApplySteps(update.objects, after);
  revision_ = std::max(revision_, changes.value().store_revision);
  if (any) {
    content_revision_ = revision_;
    update.revision = content_revision_;
    if (handlers_.on_update) handlers_.on_update(update);
    if (handlers_.on_synced) handlers_.on_synced();
  }
  Schedule(any ? timing_.batch_delay : Duration::zero(), [this] { Watch(); });
}

void KindWatcher::Apply(const StoredObject& object, const ChangeBound& bound) {
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

void KindWatcher::OnSuccess(Duration waited) {
  retry_ = timing_.first_retry;
  answered_at_ = loop_.timers().now();
  // Not when the answer arrived: it may have waited for this process.
  NoteCurrent(std::min(answered_at_, asked_at_ + waited));
  if (reachable_) return;
  reachable_ = true;
  reachable_since_ = loop_.timers().now();
  if (handlers_.on_reachable) handlers_.on_reachable(true, "");
}

void KindWatcher::OnFailure(const Error& error) {
  if (reachable_) {
    reachable_ = false;
    if (handlers_.on_reachable)
      handlers_.on_reachable(false, DescribeError(error));
  }
  Schedule(Spread(retry_), [this] { Retry(); });
  retry_ = std::min(retry_ * kBackoffFactor, timing_.longest_retry);
}

void KindWatcher::Retry() {
  if (handlers_.may_retry && !handlers_.may_retry()) {
    Schedule(kRetryCheck, [this] { Retry(); });
  } else if (revision_ == 0 || history_lost_) {
    List();
  } else {
    Watch();
  }
}

}  // namespace mimosadeal
