// Tests of LeaseManager: hosts that share one store and whose messages the
// tests deliver, delay or drop.
#include "entry/lease_manager.h"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "common/event_log.h"
#include "deployment_store.h"
#include "inner/zone_messages.h"
#include "net/event_loop.h"
#include "platform/store_codec.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

constexpr char kZone[] = "north";
const SocketAddress kStoreAddress{"127.0.4.4", 18471};
constexpr ZoneLeaseTiming kTiming = {milliseconds(200), milliseconds(600),
                                     milliseconds(60), 0.02};
constexpr Duration kHolderTimeout = milliseconds(300);
// Longer than any delay before a host takes a lease whose holder has stopped.
constexpr Duration kLongerThanTakeover = milliseconds(1800);

// A host that may hold the lease. Its hellos are dropped unless `peer` is set.
struct LeaseHost {
  LeaseHost(EventLoop& loop, const std::string& name, bool home,
            const std::string& process_suffix = ".p")
      : store(loop, kStoreAddress, platform::MakeStoreProtocol(),
              milliseconds(400)),
        log(name, 100),
        process(name + process_suffix) {
    LeaseManagerOptions options;
    options.zone = kZone;
    options.host = name;
    options.process = process;
    options.address = "address of " + name;
    options.home = home;
    options.timing = kTiming;
    options.hello_interval = milliseconds(50);
    options.holder_timeout = kHolderTimeout;
    options.takeover_jitter = milliseconds(10);
    LeaseManagerHandlers handlers;
    handlers.send_hello = [this](const std::string& /*address*/,
                                 const ZoneHello& hello) {
      if (peer == nullptr) return;
      const auto status = peer->manager->OnHello(hello);
      if (status.has_value()) manager->OnStatus(*status);
    };
    handlers.store_reachable = [] { return true; };
    handlers.may_hold = [this] { return may_hold; };
    handlers.candidate_count = [] { return size_t{2}; };
    handlers.new_tenure = [this] {
      return process + "." + std::to_string(++tenures);
    };
    handlers.on_gained = [this](const LeaseGain& gain) {
      ++gained;
      last_gain = gain;
    };
    handlers.on_written = [](uint64_t, MonotonicTime) {};
    handlers.on_lost = [this] { ++lost; };
    manager = std::make_unique<LeaseManager>(loop, store, log, options,
                                             std::move(handlers));
  }

  ObjectStore store;
  EventLog log;
  std::string process;
  LeaseHost* peer = nullptr;
  bool may_hold = true;
  int tenures = 0;
  int gained = 0;
  LeaseGain last_gain;
  int lost = 0;
  std::unique_ptr<LeaseManager> manager;
};

TEST_GROUP(LeaseManager) {
  EventLoop loop{{64, 32, 4096}};
  std::unique_ptr<DeploymentStore> store =
      std::move(DeploymentStore::Start(loop, kStoreAddress).value());
  LeaseHost holder{loop, "holder", true};
  LeaseHost rival{loop, "rival", true};
  LeaseHost other_zone_rival{loop, "other", false};
  // Starts with Begin, and takes no lease before it may hold one.
  LeaseHost bystander{loop, "bystander", true};

  void RunFor(Duration duration) {
    bool over = false;
    loop.timers().After(duration, [&over] { over = true; });
    while (!over) loop.RunOnce();
  }

  bool RunUntil(const std::function<bool()>& condition, Duration limit) {
    bool over = false;
    const auto timer = loop.timers().After(limit, [&over] { over = true; });
    while (!over && !condition()) loop.RunOnce();
    loop.timers().Cancel(timer);
    return condition();
  }

  // The holder has the lease and the rivals have read it.
  void Begin() {
    holder.manager->Start();
    CHECK(RunUntil([this] { return holder.manager->active(); },
                   std::chrono::seconds(2)));
    bystander.may_hold = false;
    for (LeaseHost* host : {&rival, &other_zone_rival, &bystander}) {
      host->peer = &holder;
      host->manager->Start();
      CHECK(
          RunUntil([host] { return host->manager->lease().holder == "holder"; },
                   std::chrono::seconds(3)));
    }
    RunFor(milliseconds(150));
  }

  ZoneStatus InactiveStatus(const LeaseHost& sender) {
    ZoneStatus status;
    status.zone = kZone;
    status.process = sender.manager->lease().process;
    status.term = sender.manager->lease().term;
    status.lease_revision = sender.manager->lease().revision;
    return status;
  }

  std::string StoredHolder() {
    return store->Find(kZoneLeaseKind, kZone)
        ->at("spec")
        .at("holder")
        .get<std::string>();
  }
};

// Guards against two lease holders: a holder whose renewal is confirmed after
// it has reported itself inactive acts again, and the report must not let
// another host take the renewed lease.
TEST(LeaseManager, AReportOfTheHoldersStopDoesNotOutliveItsNextRenewal) {
  Begin();
  const ZoneStatus stopped = InactiveStatus(holder);
  const uint64_t revision = holder.manager->lease().revision;
  CHECK(RunUntil([&] { return holder.manager->lease().revision > revision; },
                 std::chrono::seconds(1)));
  rival.peer = nullptr;
  other_zone_rival.peer = nullptr;
  rival.manager->OnStatus(stopped);
  other_zone_rival.manager->OnStatus(stopped);
  RunFor(kTiming.duration);
  STRCMP_EQUAL("holder", StoredHolder().c_str());
  CHECK(holder.manager->active());
  LONGS_EQUAL(0, rival.gained);
  RunFor(kLongerThanTakeover);
  STRCMP_EQUAL("holder", StoredHolder().c_str());
  LONGS_EQUAL(0, rival.gained);
  LONGS_EQUAL(0, other_zone_rival.gained);
}

// Guards against two lease holders: a lease that cannot be read may be a later
// build's, whose holder is not known to have stopped. It is replaced by a later
// one, and only when it has expired.
TEST(LeaseManager, AnUnreadableLeaseIsTakenOverOnlyWhenItHasExpired) {
  Begin();
  other_zone_rival.may_hold = false;
  const uint64_t term = holder.manager->lease().term;
  holder.manager->Resign();
  store->Put(kZoneLeaseKind, kZone, {{"holder", 7}});
  ZoneStatus ended;
  ended.zone = kZone;
  ended.process = "another process at the holder's address";
  ended.hello_sent_at_ms =
      ToMilliseconds(loop.timers().now().time_since_epoch()) + 1;
  rival.manager->OnStatus(ended);
  const MonotonicTime written_at = loop.timers().now();
  CHECK(RunUntil([this] { return rival.gained > 0; }, std::chrono::seconds(4)));
  CHECK(loop.timers().now() - written_at >= kTiming.duration + kTiming.margin);
  CHECK(rival.manager->lease().term > term);
}

// Guards against keys that go unserved until the grants of a holder have
// expired that had ended long before its successor could take the lease.
TEST(LeaseManager, ARestartedHostKnowsThatItsFormerProcessHasEnded) {
  Begin();
  for (LeaseHost* host : {&rival, &other_zone_rival}) host->may_hold = false;
  holder.manager->Resign();
  LeaseHost restarted(loop, "holder", true, ".q");
  const MonotonicTime created_at = loop.timers().now();
  store->faults().refuse = true;
  restarted.manager->Start();
  RunFor(kTiming.duration);
  store->faults().refuse = false;
  CHECK(
      RunUntil([&] { return restarted.gained > 0; }, std::chrono::seconds(3)));
  CHECK_FALSE(restarted.last_gain.continued);
  CHECK(restarted.last_gain.others_until <= created_at);
}

// As above, if its own takeovers take effect late and without a response.
TEST(LeaseManager, ALateTakeoverDoesNotHideWhenTheFormerHolderEnded) {
  Begin();
  for (LeaseHost* host : {&rival, &other_zone_rival}) host->may_hold = false;
  holder.manager->Resign();
  LeaseHost restarted(loop, "holder", true, ".q");
  const MonotonicTime created_at = loop.timers().now();
  store->faults().late_writes = 2;
  store->faults().late_write_delay = kTiming.duration;
  restarted.manager->Start();
  CHECK(
      RunUntil([&] { return restarted.gained > 0; }, std::chrono::seconds(6)));
  LONGS_EQUAL(0, store->faults().late_writes);
  CHECK(restarted.tenures > 1);
  CHECK(restarted.last_gain.others_until <= created_at);
}

// As above, for a holder of another host whose lease has expired.
TEST(LeaseManager, ASuccessorKnowsWhenTheHoldersLeaseExpired) {
  Begin();
  other_zone_rival.may_hold = false;
  // No renewal is on its way then, whose reading would count as the last one.
  CHECK(RunUntil(
      [this] {
        return rival.manager->lease().revision ==
                   holder.manager->lease().revision &&
               loop.timers().now() - holder.manager->confirmed_at() <
                   kTiming.renew / 2;
      },
      std::chrono::seconds(2)));
  rival.peer = nullptr;
  holder.manager->Resign();
  const MonotonicTime stopped_at = loop.timers().now();
  store->faults().refuse = true;
  RunFor(kTiming.duration * 4);
  store->faults().refuse = false;
  CHECK(RunUntil([&] { return rival.gained > 0; }, std::chrono::seconds(3)));
  CHECK(rival.last_gain.others_until >= stopped_at);
  CHECK(rival.last_gain.others_until <=
        stopped_at + kTiming.duration * 2 + kTiming.margin);
}

// The copy from which the store was restored may lack a later holder.
TEST(LeaseManager, ALeaseOfAFormerEraDoesNotShowThatAllHoldersHaveEnded) {
  Begin();
  for (LeaseHost* host : {&rival, &other_zone_rival}) host->may_hold = false;
  holder.manager->Resign();
  store->TakeCopy();
  LeaseHost restarted(loop, "holder", true, ".q");
  store->faults().refuse = true;
  restarted.manager->Start();
  RunFor(kTiming.duration);
  const MonotonicTime restored_at = loop.timers().now();
  store->RestoreCopy();
  store->faults().refuse = false;
  CHECK(
      RunUntil([&] { return restarted.gained > 0; }, std::chrono::seconds(3)));
  CHECK(restarted.last_gain.others_until >= restored_at);
}

// A host that stopped must still be replaced at once.
TEST(LeaseManager, AHolderThatReportsItsStopIsReplacedBeforeItsLeaseExpires) {
  Begin();
  other_zone_rival.peer = nullptr;
  holder.manager->Resign();
  CHECK(RunUntil([this] { return rival.manager->active(); },
                 kTiming.duration - milliseconds(100)));
}

// Guards against two lease holders, also beside hosts that keep a report of a
// stop until another process holds the lease: a holder that has reported itself
// inactive acts again only under another name.
TEST(LeaseManager, AHolderThatReportedItselfInactiveActsAgainOnlyInANewTenure) {
  Begin();
  rival.peer = nullptr;
  rival.may_hold = false;
  other_zone_rival.may_hold = false;
  const ZoneLease before = holder.manager->lease();
  store->faults().refuse = true;
  RunFor(kTiming.duration + milliseconds(100));
  CHECK_FALSE(holder.manager->active());
  const auto status = holder.manager->OnHello(ZoneHello{});
  CHECK(!status.has_value() || !status->active);
  store->faults().refuse = false;
  CHECK(RunUntil([this] { return holder.manager->active(); },
                 std::chrono::seconds(2)));
  CHECK(holder.manager->lease().process != before.process);
  CHECK(holder.manager->lease().term > before.term);
  LONGS_EQUAL(1, holder.lost);
}

// Guards against two lease holders: a status that a former holder sent late
// must not count as one of the present holder's address.
TEST(LeaseManager, AStatusOfAFormerHolderDoesNotEndThePresentTenure) {
  Begin();
  ZoneStatus late = InactiveStatus(holder);
  late.process = "former.p.1";
  rival.peer = nullptr;
  rival.manager->OnStatus(late);
  RunFor(kHolderTimeout);
  STRCMP_EQUAL("holder", StoredHolder().c_str());
  LONGS_EQUAL(0, rival.gained);
}

// Guards against two lease holders: a former holder that has lost the lease to
// another host may know its revision, and reports it with its own stop.
TEST(LeaseManager, AReportWithASuccessorsRevisionDoesNotEndTheSuccessor) {
  Begin();
  other_zone_rival.may_hold = false;
  bystander.peer = nullptr;
  ZoneStatus stopped = InactiveStatus(holder);
  holder.manager->Resign();
  CHECK(RunUntil([this] { return rival.manager->active(); },
                 std::chrono::seconds(2)));
  stopped.lease_revision = rival.manager->lease().revision;
  stopped.term = 0;
  bystander.may_hold = true;
  bystander.manager->OnStatus(stopped);
  RunFor(kTiming.renew);
  STRCMP_EQUAL("rival", StoredHolder().c_str());
  LONGS_EQUAL(0, bystander.gained);
}

// A restarted process at the holder's address shows that the holder has ended.
TEST(LeaseManager, AnotherProcessAtTheHoldersAddressEndsTheTenure) {
  Begin();
  holder.manager->Resign();
  rival.peer = nullptr;
  other_zone_rival.peer = nullptr;
  ZoneStatus status;
  status.zone = kZone;
  status.process = "holder.q";
  status.hello_sent_at_ms =
      ToMilliseconds(loop.timers().now().time_since_epoch()) + 1;
  rival.manager->OnStatus(status);
  CHECK(RunUntil([this] { return rival.manager->active(); },
                 kHolderTimeout - milliseconds(50)));
}

// Guards against two lease holders: the store may have accepted a takeover
// whose response is still under way. A status without a lease would show the
// hosts that know of the takeover that the new holder has stopped.
TEST(LeaseManager, AHostWhoseTakeoverIsUnconfirmedDoesNotReportItselfInactive) {
  Begin();
  other_zone_rival.may_hold = false;
  holder.manager->Resign();
  store->faults().lose_write_responses = 1;
  CHECK(RunUntil([this] { return StoredHolder() == "rival"; },
                 std::chrono::seconds(2)));
  CHECK_FALSE(rival.manager->active());
  CHECK_FALSE(rival.manager->OnHello(ZoneHello{}).has_value());
}

// Guards against two lease holders: the confirmation of a renewal arrives after
// the holder's time has run out, and it has told other hosts that it stopped.
TEST(LeaseManager, ALateConfirmationDoesNotContinueATenureThatHasEnded) {
  Begin();
  rival.peer = nullptr;
  other_zone_rival.may_hold = false;
  store->faults().lose_write_responses = 100;
  CHECK(RunUntil([this] { return holder.lost == 1; }, std::chrono::seconds(2)));
  const std::string ended = holder.manager->lease().process;
  store->faults().lose_write_responses = 0;
  CHECK(RunUntil(
      [this] { return holder.manager->active() || rival.manager->active(); },
      std::chrono::seconds(3)));
  CHECK(holder.manager->lease().process != ended);
}

}  // namespace
}  // namespace mimosadeal
