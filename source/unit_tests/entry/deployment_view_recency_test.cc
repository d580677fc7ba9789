// Tests of when a host acts on its copies, by how old they are and where they
// come from.
#include <CppUTest/TestHarness.h>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "net/event_loop.h"
#include "platform/deployment.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kBound = seconds(2);

TEST_GROUP(ViewRecency) {
  EventLoop loop{{32, 8, 4096}};
  DeploymentProtocol protocol = platform::MakeDeploymentProtocol();
  // Nothing listens at this address, as when the store is away.
  ObjectStore store{loop, {"127.0.4.2", 1}, protocol.store, seconds(1)};
  EventLog log{"host", 100};
  DeploymentView view{loop, store, protocol, log};

  void Start() {
    view.SetBounds(kBound, kBound);
    view.Start();
    for (const ViewKind kind : {ViewKind::kConfiguration, ViewKind::kRegistry})
      CHECK(view.ApplyFed(kind, {true, 0, 5, {}}, kNever));
  }

  // Runs the loop for `time`, in which the copies are confirmed as given.
  void RunFor(Duration time, bool configuration, bool registry) {
    const MonotonicTime end = loop.timers().now() + time;
    const TimerId tick = loop.timers().Every(milliseconds(10), [] {});
    while (loop.timers().now() < end) {
      const MonotonicTime now = loop.timers().now();
      if (configuration) view.NoteCurrent(ViewKind::kConfiguration, now);
      if (registry) view.NoteCurrent(ViewKind::kRegistry, now);
      loop.RunOnce();
    }
    loop.timers().Cancel(tick);
  }
};

// Guards against hosts that refused all requests when their feed ended, as one
// of their copies was a little older than the other.
TEST(ViewRecency, TheEndOfAFeedMakesNoCopyUnconfirmed) {
  Start();
  RunFor(kBound + milliseconds(300), true, true);
  RunFor(milliseconds(400), false, true);
  RunFor(milliseconds(1300), false, false);
  view.SetFed(false, "the holder sends no feed");
  RunFor(milliseconds(700), false, false);
  CHECK(view.IsConfirmed(ViewKind::kConfiguration));
  CHECK(view.IsConfirmed(ViewKind::kRegistry));
}

TEST(ViewRecency, ACopyThatLacksTheFeedsUpdatesIsUnconfirmed) {
  Start();
  RunFor(kBound + milliseconds(300), true, true);
  view.NoteBehind(ViewKind::kRegistry, true);
  RunFor(kBound, true, false);
  CHECK_FALSE(view.IsConfirmed(ViewKind::kRegistry));
  CHECK(view.IsConfirmed(ViewKind::kConfiguration));
  view.NoteBehind(ViewKind::kRegistry, false);
  RunFor(milliseconds(300), true, true);
  CHECK(view.IsConfirmed(ViewKind::kRegistry));
}

// A holder of a former build confirms the registry every 2.2 s.
TEST(ViewRecency, AFedCopyThatIsConfirmedSeldomIsActedOn) {
  Start();
  RunFor(kBound + milliseconds(300), true, true);
  RunFor(milliseconds(2800), true, false);
  CHECK(view.IsConfirmed(ViewKind::kRegistry));
}

}  // namespace
}  // namespace mimosadeal
