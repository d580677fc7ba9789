// Keeps a copy of all objects of one kind (type) in the store. It lists them,
// then watches for changes from the revision of the list, and lists again when
// the store no longer has the history after its revision. Instead of the store,
// another host can feed it updates of its copy.
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

// An update of a copy: all objects, or the changes since an earlier revision.
struct KindUpdate {
  bool full = false;      // `objects` holds all objects; `base` is ignored.
  uint64_t base = 0;      // Content revision to which the changes apply.
  uint64_t revision = 0;  // Content revision after the update.
  std::vector<StoredObject> objects;
};

// Lower bounds on when an object changed.
struct ChangeBound {
  // The object had not changed yet at this time; kNever if unknown.
  MonotonicTime after = kNever;
  // The object had not changed yet at this store revision. For a change from a
  // watch it is the revision just before the change. For a full update it is
  // the revision of the previous copy, since the changes between are unknown.
  uint64_t after_revision = 0;
};

// A watch's response with changes.
struct WatchedChanges {
  size_t count = 0;
  uint64_t from_revision = 0;   // The watch asked for changes after this.
  uint64_t last_revision = 0;   // Of the last change.
  uint64_t store_revision = 0;  // As stated by the response.
  Duration took{};              // From the call to its response.
};

struct KindWatcherHandlers {
  // One object was created, changed or removed.
  std::function<void(const StoredObject&, const ChangeBound&)> on_change;
  // An update has been applied completely.
  std::function<void()> on_synced;
  // The store sent an update, which may be fed to other hosts.
  std::function<void(const KindUpdate&)> on_update;
  // The store became unreachable, for `reason`, or reachable again. A response
  // that cannot be read shows that it is reachable.
  std::function<void(bool reachable, const std::string& reason)> on_reachable;
  // Returns whether to retry after a failed call. Empty means always.
  std::function<bool()> may_retry;
  // A watch's response had changes. Runs before they are applied.
  std::function<void(const WatchedChanges&)> on_watched;
  // A response had objects without a readable name or revision, which were left
  // out.
  std::function<void(size_t count)> on_left_out;
  // The store sent a response that cannot be read, for `reason`. The call is
  // repeated.
  std::function<void(const std::string& reason)> on_malformed;
  // A watch got no response although it had `waited` for longer than the store
  // holds it, or was cut off, for `reason`. The store is asked again at once.
  std::function<void(Duration waited, const std::string& reason)> on_watch_lost;
  // The first response after a lost watch. `changes`: what the watch would have
  // brought by then.
  std::function<void(size_t changes, Duration took)> on_watch_repeated;
};

struct KindWatcherTiming {
  // Longest time between two responses of the store without changes.
  Duration wait{};
  // Delay between a change and the next watch, so that one call returns several
  // changes in a row.
  Duration batch_delay{};
  // First and longest delay of the exponential backoff after a failed call.
  Duration first_retry{};
  Duration longest_retry{};
  // A watch without a response for longer past its wait counts as lost.
  Duration response_slack = std::chrono::seconds(1);
  // Whether the objects are listed after a failed call. The history since may
  // be many times as long as the objects, each of whose versions is whole.
  bool list_after_failure = false;
};

class KindWatcher {
 public:
  KindWatcher(EventLoop& loop, ObjectStore& store, std::string kind,
              KindWatcherTiming timing, KindWatcherHandlers handlers);
  ~KindWatcher();
  KindWatcher(const KindWatcher&) = delete;
  KindWatcher& operator=(const KindWatcher&) = delete;

  // Starts or resumes reading from the store. `at_once`: the first watch asks
  // for a response without delay.
  void Start(bool at_once = false);
  // Stops calls to the store until Start. Another host feeds this copy.
  void Pause();
  bool paused() const { return paused_; }
  // To be called before Start.
  void SetTiming(const KindWatcherTiming& timing) { timing_ = timing; }
  // See KindWatcherTiming::batch_delay.
  void SetBatchDelay(Duration batch_delay) {
    timing_.batch_delay = batch_delay;
  }
  // Ends the delay before the next watch, if there is one: a change is known to
  // be missing here.
  void EndBatch();
  // Asks the store at once in place of the watch that is waiting, if one is:
  // its response may have been lost.
  void RepeatWatch(const std::string& reason);
  // Applies an update from another host; one that is not newer than this copy
  // has no effect. Returns false when changes between this copy and the update
  // are missing. `store_reachable_since`: see reachable_since.
  bool ApplyFed(const KindUpdate& update, MonotonicTime store_reachable_since);
  // Returns the copy as a full update.
  KindUpdate Snapshot() const;

  // Returns whether the copy has been complete once.
  bool synced() const { return content_revision_ != 0; }
  // Revision up to which this copy contains all changes; 0 until it is
  // complete.
  uint64_t content_revision() const { return content_revision_; }
  // The highest revision of an object that changed in this copy.
  uint64_t last_change() const { return last_change_; }
  bool reachable() const { return reachable_; }
  // Whether the store's last response is as recent as responses are while all
  // is well, or a lost watch has just been noticed.
  bool HasRecentResponse() const;
  // When the store's last response since Start arrived; kNever before the
  // first.
  MonotonicTime answered_at() const { return answered_at_; }
  // The last time at which this copy is known to have matched the store, by the
  // store's responses and NoteCurrent; kNever if unknown. A response with a
  // part of the changes shows nothing.
  MonotonicTime current_at() const { return current_at_; }
  // Notes that, according to another host, a copy no newer than this one
  // matched the store at `at`.
  void NoteCurrent(MonotonicTime at);
  uint64_t revision() const { return revision_; }
  // When the call was sent that showed that the store is reachable again after
  // the last failure; kNever if no call has failed.
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
  // Applies the changes of a watch, each with its own revision as the bound.
  void ApplyChanges(const std::vector<StoredObject>& objects,
                    MonotonicTime after);
  void OnChanges(Result<ObjectChanges> changes);
  void Apply(const StoredObject& object, const ChangeBound& bound);
  void NoteLeftOut(size_t count);
  void OnFailure(const Error& error);
  // Notes that the watch that was waiting is lost. Its response is ignored.
  void LoseWatch(const std::string& reason);
  void Retry();
  void OnSuccess();
  void NoteReachable();
  void Schedule(Duration delay, std::function<void()> next);

  EventLoop& loop_;
  ObjectStore& store_;
  std::string kind_;
  KindWatcherTiming timing_;
  KindWatcherHandlers handlers_;
  std::map<std::string, StoredObject> objects_;
  uint64_t revision_ = 0;  // From which the next watch starts; 0 before a list.
  uint64_t content_revision_ = 0;  // Invariant: not above revision_.
  uint64_t last_change_ = 0;
  bool paused_ = true;
  MonotonicTime answered_at_ = kNever;
  MonotonicTime current_at_ = kNever;    // Invariant: never decreases.
  MonotonicTime call_sent_at_ = kNever;  // When the last call was sent.
  MonotonicTime reachable_since_ = kNever;
  bool reachable_ = true;
  bool batching_ = false;         // The next watch is being delayed.
  bool history_lost_ = false;     // The next call must be a list.
  bool confirm_at_once_ = false;  // See Start; until the next watch.
  bool waiting_ = false;          // A watch waits for changes.
  bool repeating_ = false;  // The next call, or the one under way, repeats a
                            // lost watch.
  // The store took long to respond to the repetition of a watch, so watches get
  // more time.
  bool slow_ = false;
  MonotonicTime listed_at_ = kNever;  // When the last list was complete.
  Duration call_wait_{};    // For which the last call asked the store to wait.
  Duration retry_delay_{};  // Delay before the next retry, without jitter.
  uint64_t timer_ = 0;
  // Identifies the latest call; responses to earlier ones are ignored.
  uint64_t call_id_ = 0;
};

}  // namespace mimosadeal
