// Tests of a copy that is fed by another host.
#include "store/kind_watcher.h"

#include <CppUTest/TestHarness.h>

#include "net/event_loop.h"
#include "platform/store_codec.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

TEST_GROUP(KindWatcher) {
  EventLoop loop{{32, 8, 4096}};
  // Nothing listens at this address: a fed copy makes no calls.
  ObjectStore store{loop,
                    {"127.0.4.2", 1},
                    platform::MakeStoreProtocol(),
                    std::chrono::seconds(1)};
  std::vector<std::string> removed;
  ChangeBound last_bound;
  KindWatcher watcher{
      loop,
      store,
      "things",
      {},
      {[this](const StoredObject& object, const ChangeBound& bound) {
         last_bound = bound;
         if (object.deleted) removed.push_back(object.name);
       },
       nullptr, nullptr, nullptr, nullptr, nullptr}};

  StoredObject Object(const std::string& name, uint64_t revision,
                      bool deleted = false) {
    return {name, revision, deleted, nlohmann::json::object()};
  }
};

TEST(KindWatcher, AFullUpdateReplacesEverything) {
  CHECK(watcher.ApplyFed({true, 0, 10, {Object("a", 3), Object("b", 9)}},
                         kNever));
  CHECK(watcher.synced());
  CHECK(watcher.ApplyFed({true, 0, 20, {Object("b", 9)}}, kNever));
  LONGS_EQUAL(1, watcher.objects().size());
  LONGS_EQUAL(1, removed.size());
}

TEST(KindWatcher, ChangesApplyOnlyToTheirBaseRevision) {
  watcher.ApplyFed({true, 0, 10, {Object("a", 3)}}, kNever);
  CHECK_FALSE(watcher.ApplyFed({false, 11, 12, {Object("b", 12)}}, kNever));
  LONGS_EQUAL(10, watcher.content_revision());
  CHECK(watcher.ApplyFed({false, 10, 12, {Object("b", 12)}}, kNever));
  LONGS_EQUAL(12, watcher.content_revision());
}

TEST(KindWatcher, AnOlderUpdateChangesNothing) {
  watcher.ApplyFed({true, 0, 10, {Object("a", 9)}}, kNever);
  CHECK(watcher.ApplyFed({true, 0, 5, {}}, kNever));
  LONGS_EQUAL(1, watcher.objects().size());
}

TEST(KindWatcher, ASnapshotHoldsTheWholeCopy) {
  watcher.ApplyFed({true, 0, 10, {Object("a", 9), Object("b", 2)}}, kNever);
  const KindUpdate snapshot = watcher.Snapshot();
  CHECK(snapshot.full);
  LONGS_EQUAL(10, snapshot.revision);
  LONGS_EQUAL(2, snapshot.objects.size());
}

// A change is reported as newer than the last time at which the copy is known
// to have matched the store. A later time would make the change appear newer
// than it may be, and an earlier NoteCurrent must not move the bound back.
TEST(KindWatcher, AChangeIsNewerThanTheLastConfirmation) {
  const MonotonicTime confirmed_at{std::chrono::seconds(100)};
  watcher.ApplyFed({true, 0, 10, {Object("a", 9)}}, kNever);
  CHECK(last_bound.after == kNever);
  watcher.NoteCurrent(confirmed_at);
  watcher.NoteCurrent(confirmed_at - std::chrono::seconds(1));
  watcher.ApplyFed({false, 10, 12, {Object("a", 12)}}, kNever);
  CHECK(last_bound.after == confirmed_at);
  LONGS_EQUAL(11, last_bound.after_revision);
}

// A full update shows only that an object changed after the previous copy. The
// bound must not be the object's own revision, since an earlier change may have
// brought the same state.
TEST(KindWatcher, AFullUpdateBoundsChangesByThePreviousCopy) {
  watcher.ApplyFed({true, 0, 10, {Object("a", 9)}}, kNever);
  LONGS_EQUAL(0, last_bound.after_revision);
  watcher.ApplyFed({true, 0, 20, {Object("a", 18)}}, kNever);
  LONGS_EQUAL(10, last_bound.after_revision);
  watcher.ApplyFed({true, 0, 30, {}}, kNever);
  LONGS_EQUAL(1, removed.size());
  LONGS_EQUAL(20, last_bound.after_revision);
}

}  // namespace
}  // namespace mimosadeal
