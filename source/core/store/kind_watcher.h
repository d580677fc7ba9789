// Keeps a copy of all objects of one kind: a list, then watches from its
// revision, and a new list when the store has dropped that history. Instead of
// the store, another host's copy may feed it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/error.h"
#include "store/stored_object.h"

namespace mimosadeal {

class EventLoop;
class ObjectStore;

// A step from one state of a copy to a later one.
struct KindUpdate {
  bool full = false;  // `objects` are all there are; `base` does not count.
  uint64_t base = 0;  // Content revision that the step starts from.
  uint64_t revision = 0;
  std::vector<StoredObject> objects;
};

// What is known of when an object became what it is.
struct ChangeBound {
  MonotonicTime after = kNever;  // It was not yet so then; kNever if unknown.
  // Nor in the store of this revision. A watch tells of each change; of a whole
  // list only what the copy was before it is known.
  uint64_t after_revision = 0;
};

struct KindWatcherHandlers {
  // One object was created, changed or removed.
  std::function<void(const StoredObject&, const ChangeBound&)> on_change;
  // The copy is complete and as new as the store's last answer.
  std::function<void()> on_synced;
  // The store gave an update, which may feed other hosts.
  std::function<void(const KindUpdate&)> on_update;
  // The store stopped answering, or answers again.
  std::function<void(bool reachable, const std::string& reason)> on_reachable;
  // Whether to ask a store that has just not answered; empty for always.
  std::function<bool()> may_retry;
};

struct KindWatcherTiming {
  Duration wait{};  // Longest that one watch waits.
  // Delay between a change and the next watch, so that one call returns several
  // changes in a row.
  Duration batch_delay{};
  Duration first_retry{};
  Duration longest_retry{};
};

class KindWatcher {
 public:
  KindWatcher(EventLoop& loop, ObjectStore& store, std::string kind,
              KindWatcherTiming timing, KindWatcherHandlers handlers);
  ~KindWatcher();
  KindWatcher(const KindWatcher&) = delete;
  KindWatcher& operator=(const KindWatcher&) = delete;

  // Reads from the store from now on.
  void Start();
  // Asks the store for nothing more until Start; another host feeds this copy.
  void Pause();
  bool paused() const { return paused_; }
  // See KindWatcherTiming::batch_delay.
  void SetBatchDelay(Duration batch_delay) {
    timing_.batch_delay = batch_delay;
  }
  // Takes in another host's update. `store_back_at`: see reachable_since.
  // Returns false when a step is missing before it.
  bool ApplyFed(const KindUpdate& update, MonotonicTime store_back_at);
  // Returns the whole copy as one update.
  KindUpdate Snapshot() const;

  bool synced() const { return content_revision_ != 0; }
  // Revision of the last change that this copy knows of; 0 until it is
  // complete.
  uint64_t content_revision() const { return content_revision_; }
  bool reachable() const { return reachable_; }
  // When the store last answered since Start; kNever before it does.
  MonotonicTime answered_at() const { return answered_at_; }
  // A time at which this copy was certainly the newest, by the store's answers
  // and NoteCurrent; kNever if nothing has shown that yet.
  MonotonicTime current_at() const { return current_at_; }
  // Another host shows that a copy no newer than this one was the newest.
  void NoteCurrent(MonotonicTime at);
  uint64_t revision() const { return revision_; }
  // Since when the store answers again after a failure; kNever if it always
  // did.
  MonotonicTime reachable_since() const { return reachable_since_; }
  const std::map<std::string, StoredObject>& objects() const {
    return objects_;
  }

 private:
  void List();
  void Watch();
  void OnList(Result<ObjectPage> page);
  // `after`: see ChangeBound.
  void ReplaceAll(const std::vector<StoredObject>& objects,
                  MonotonicTime after);
  void ApplySteps(const std::vector<StoredObject>& objects,
                  MonotonicTime after);
  void OnChanges(Result<ObjectChanges> changes);
  void Apply(const StoredObject& object, const ChangeBound& bound);
  void OnFailure(const Error& error);
  void Retry();
  // `waited`: how long the store certainly held the call back.
  void OnSuccess(Duration waited);
  void Schedule(Duration delay, std::function<void()> next);

  EventLoop& loop_;
  ObjectStore& store_;
  std::string kind_;
  KindWatcherTiming timing_;
  KindWatcherHandlers handlers_;
  std::map<std::string, StoredObject> objects_;
  uint64_t revision_ = 0;  // Where the next watch starts; 0 before a list.
  uint64_t content_revision_ = 0;  // Invariant: not above revision_.
  bool paused_ = true;
  MonotonicTime answered_at_ = kNever;
  MonotonicTime current_at_ = kNever;  // Invariant: never goes back.
  MonotonicTime asked_at_ = kNever;    // When the last call was sent.
  MonotonicTime reachable_since_ = kNever;
  bool reachable_ = true;
  bool history_lost_ = false;
  Duration retry_{};
  uint64_t timer_ = 0;
  // Marks the call whose answer still counts.
  uint64_t round_ = 0;
};

}  // namespace mimosadeal
