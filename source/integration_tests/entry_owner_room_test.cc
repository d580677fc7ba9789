// Tests of entry hosts on an object-store deployment whose owners of keys have
// room for few requests and reset those beyond it. The stand-ins count these.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>

#include "common/ids.h"
#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 8;
constexpr int kSlots = 2;
constexpr size_t kMaxQueued = 4;
constexpr Duration kWork = milliseconds(150);
constexpr Duration kTarget = milliseconds(600);
constexpr uint64_t kSeed = 5;
// What one owner can do, per second.
constexpr double kCapacity = kSlots / 0.15;
// Requests that hosts may send beyond the owner's room before they have heard
// that it is contended: a first one at each host but those that had a response.
constexpr int kOverrunsBeforeTheReport = kHosts;

struct Outcomes {
  int sent = 0;
  int served = 0;
  int in_time = 0;
  int refused = 0;  // With a promise that the request did not run.
  int slow_refusals = 0;
  int other = 0;  // It is unknown whether these ran.
};

std::string Describe(const Outcomes& outcomes, int overruns) {
  return std::to_string(outcomes.served) + " served (" +
         std::to_string(outcomes.in_time) + " in time), " +
         std::to_string(outcomes.refused) + " refused (" +
         std::to_string(outcomes.slow_refusals) + " late) and " +
         std::to_string(outcomes.other) + " unknown of " +
         std::to_string(outcomes.sent) + "; " + std::to_string(overruns) +
         " overruns";
}

class EntryOwnerRoomTest : public EntryTest {
 public:
  struct Sent {
    std::shared_ptr<CallerResponse> response;
    MonotonicTime at = kNever;
    Duration took{};
  };

  // Starts kHosts hosts in two zones, and four owners of keys.
  void StartDeployment(bool owner_room = true) {
    fixture.store->Put("config", "main", fixture.Configuration(1));
    for (int i = 1; i <= 4; ++i) {
      DeploymentUpstreamOptions options;
      options.id = "yard-" + std::to_string(i);
      options.service = "yard";
      options.zone = i <= 2 ? "north" : "south";
      options.slots = kSlots;
      options.max_queued = kMaxQueued;
      options.work = kWork;
      fixture.AddUpstream(options, i).faults().reset_when_full = true;
    }
    fixture.AddUpstream("desk-1", "desk", "north", 5);
    if (owner_room) {
      for (int i = 1; i <= kHosts; ++i) {
        fixture.extra_settings["host-" + std::to_string(i)] =
            "[requests]\nowner_room = true\n";
      }
    }
    fixture.StartHosts(kHosts);
    fixture.RunFor(seconds(1));
    key_ = OwnedKey("yard-1");
  }

  // Sends requests for one key at random times from the hosts in turn.
  void SendFor(Duration time, double per_second) {
    const MonotonicTime end = fixture.loop.timers().now() + time;
    double due = 0;
    while (fixture.loop.timers().now() < end) {
      const MonotonicTime before = fixture.loop.timers().now();
      fixture.RunFor(milliseconds(10));
      NoteEnds();
      due += ToSeconds(fixture.loop.timers().now() - before) * per_second * 2 *
             random_.Unit();
      for (; due >= 1; due -= 1) SendOne();
    }
  }

  void SendOne() {
    do {
      next_host_ = next_host_ % kHosts + 1;
    } while (!Host(next_host_).process.running() ||
             Host(next_host_).name == skipped_host_);
    sent_.push_back(
        {fixture.Start(Host(next_host_), "POST", "/hold/a", key_, "x"),
         fixture.loop.timers().now()});
  }

  void NoteEnds() {
    for (Sent& sent : sent_) {
      if (sent.response->status != 0 && sent.took == Duration::zero())
        sent.took = fixture.loop.timers().now() - sent.at;
    }
  }

  // Waits for the requests that were sent since the last call, and counts them.
  // Each refusal must say when to come back.
  Outcomes TakeOutcomes() {
    fixture.RunUntil(
        [this] {
          NoteEnds();
          return std::all_of(sent_.begin(), sent_.end(), [](const Sent& sent) {
            return sent.response->status != 0;
          });
        },
        seconds(4));
    Outcomes outcomes;
    for (const Sent& sent : sent_) {
      ++outcomes.sent;
      const int status = sent.response->status;
      if (status == 200) ++outcomes.served;
      if (status == 200 && sent.took <= kTarget) ++outcomes.in_time;
      if (status != 200 && status != 503) ++outcomes.other;
      if (status != 503) continue;
      ++outcomes.refused;
      CHECK_FALSE(FindHeader(sent.response->headers, "retry-after").empty());
      if (sent.took > milliseconds(100)) ++outcomes.slow_refusals;
    }
    sent_.clear();
    return outcomes;
  }

  int Overruns() const {
    int sum = 0;
    for (const auto& [id, upstream] : fixture.upstreams)
      sum += upstream->overruns();
    return sum;
  }

  // Returns how many hosts logged the event.
  int HostsThatLogged(const std::string& event) const {
    return static_cast<int>(std::count_if(
        fixture.hosts.begin(), fixture.hosts.end(), [&](const auto& host) {
          return fixture.HostLog(host.first)
                     .find("\"event\":\"" + event + "\"") != std::string::npos;
        }));
  }

  Random random_{kSeed};
  int next_host_ = 0;
  std::string skipped_host_;  // Gets no requests.
  int key_ = -1;
  std::vector<Sent> sent_;
};

TEST_GROUP_BASE(EntryOwnerRoom, EntryOwnerRoomTest){};

// Load pattern: callers of all hosts want one owner's key, at 0.6 of what it
// can do and then at 2.2 times.
TEST(EntryOwnerRoom, AFullOwnerGetsNoMoreThanItHasRoomFor) {
  StartDeployment();
  SendFor(seconds(2), 0.6 * kCapacity);
  const Outcomes calm = TakeOutcomes();
  CHECK_TEXT(calm.served >= calm.sent * 97 / 100,
             Describe(calm, Overruns()).c_str());
  SendFor(seconds(6), 2.2 * kCapacity);
  const Outcomes burst = TakeOutcomes();
  const std::string text = Describe(burst, Overruns());
  fixture.CheckRecord();
  CHECK_TEXT(Overruns() <= kOverrunsBeforeTheReport, text.c_str());
  CHECK_TEXT(burst.other <= kOverrunsBeforeTheReport, text.c_str());
  // The owner is kept busy, and what does not fit is refused at once.
  CHECK_TEXT(burst.served >= 0.85 * 6 * kCapacity, text.c_str());
  CHECK_TEXT(burst.in_time >= burst.served * 9 / 10, text.c_str());
  CHECK_TEXT(burst.slow_refusals <= burst.refused / 10, text.c_str());
  LONGS_EQUAL(kHosts, HostsThatLogged("owner.contended"));
  CHECK(HostsThatLogged("request.place-refused") > 0);
  // The load falls, and all are served again.
  fixture.RunFor(seconds(1));
  SendFor(seconds(3), 0.6 * kCapacity);
  const Outcomes after = TakeOutcomes();
  CHECK_TEXT(after.served >= after.sent * 97 / 100,
             Describe(after, Overruns()).c_str());
}

// The same load overruns the owner when each host goes by the load that it has
// last read, so that the test above means something.
TEST(EntryOwnerRoom, HostsThatGuessSendMoreThanTheOwnerHasRoomFor) {
  StartDeployment(false);
  SendFor(seconds(2), 0.6 * kCapacity);
  SendFor(seconds(6), 2.2 * kCapacity);
  const Outcomes outcomes = TakeOutcomes();
  CHECK_TEXT(Overruns() > 2 * kOverrunsBeforeTheReport,
             Describe(outcomes, Overruns()).c_str());
  LONGS_EQUAL(0, HostsThatLogged("owner.contended"));
}

// The owner becomes three times slower while it is contended.
TEST(EntryOwnerRoom, AnOwnerThatSlowsDownIsNotOverrun) {
  StartDeployment();
  SendFor(seconds(3), 1.5 * kCapacity);
  TakeOutcomes();
  const int before = Overruns();
  fixture.upstreams.at("yard-1")->SetWork(3 * kWork);
  SendFor(seconds(6), 1.5 * kCapacity);
  const Outcomes outcomes = TakeOutcomes();
  const std::string text = Describe(outcomes, Overruns() - before);
  fixture.CheckRecord();
  CHECK_TEXT(Overruns() - before <= kOverrunsBeforeTheReport, text.c_str());
  CHECK_TEXT(outcomes.served >= 0.7 * 6 * kCapacity / 3, text.c_str());
}

// The lease holder of the owner's zone, which gives the places, is killed.
TEST(EntryOwnerRoom, CallersAreServedWhileTheGiverChanges) {
  StartDeployment();
  SendFor(seconds(3), 1.5 * kCapacity);
  TakeOutcomes();
  const int before = Overruns();
  const std::string giver = fixture.LeaseHolder("north");
  fixture.hosts.at(giver)->process.Kill();
  // Over the time without a lease holder.
  SendFor(seconds(4), 1.5 * kCapacity);
  const Outcomes without = TakeOutcomes();
  CHECK_TEXT(without.served >= 0.5 * 4 * kCapacity,
             Describe(without, Overruns() - before).c_str());
  fixture.RunUntil([&] { return fixture.LeaseHolder("north") != giver; },
                   seconds(5));
  // Hosts ask a giver that was silent again after 2 s.
  fixture.RunFor(seconds(2));
  const int changed = Overruns();
  SendFor(seconds(6), 1.5 * kCapacity);
  const Outcomes outcomes = TakeOutcomes();
  const std::string text = Describe(outcomes, Overruns() - changed);
  fixture.CheckRecord();
  CHECK(fixture.LeaseHolder("north") != giver);
  CHECK_TEXT(Overruns() - changed <= kOverrunsBeforeTheReport, text.c_str());
  CHECK_TEXT(outcomes.served >= 0.85 * 6 * kCapacity, text.c_str());
}

// The giver is frozen for longer than its lease lasts, and goes on afterwards.
TEST(EntryOwnerRoom, AGiverThatWasFrozenGivesNoMoreThanThereIs) {
  StartDeployment();
  SendFor(seconds(3), 1.5 * kCapacity);
  TakeOutcomes();
  const std::string giver = fixture.LeaseHolder("north");
  fixture.hosts.at(giver)->process.Signal(SIGSTOP);
  skipped_host_ = giver;
  SendFor(seconds(5), 1.5 * kCapacity);
  const Outcomes frozen = TakeOutcomes();
  CHECK_TEXT(frozen.served >= 0.5 * 5 * kCapacity,
             Describe(frozen, Overruns()).c_str());
  CHECK(fixture.LeaseHolder("north") != giver);
  fixture.hosts.at(giver)->process.Signal(SIGCONT);
  skipped_host_.clear();
  fixture.RunFor(seconds(2));
  const int before = Overruns();
  SendFor(seconds(5), 1.5 * kCapacity);
  const Outcomes outcomes = TakeOutcomes();
  const std::string text = Describe(outcomes, Overruns() - before);
  fixture.CheckRecord();
  CHECK_TEXT(Overruns() - before <= kOverrunsBeforeTheReport, text.c_str());
  CHECK_TEXT(outcomes.served >= 0.85 * 5 * kCapacity, text.c_str());
}

// The store is down: the lease is not confirmed, and its holder gives half of
// the places. The owner keeps its keys for 10 s.
TEST(EntryOwnerRoom, AnOwnerIsNotOverrunWhileTheStoreIsDown) {
  StartDeployment();
  SendFor(seconds(2), 1.5 * kCapacity);
  TakeOutcomes();
  const int before = Overruns();
  for (const auto& [name, host] : fixture.hosts)
    fixture.SetStorePartition(name, true);
  SendFor(seconds(6), 1.5 * kCapacity);
  const Outcomes outcomes = TakeOutcomes();
  const std::string text = Describe(outcomes, Overruns() - before);
  fixture.CheckRecord();
  CHECK_TEXT(Overruns() - before <= kOverrunsBeforeTheReport, text.c_str());
  CHECK_TEXT(outcomes.served >= 0.5 * 6 * kCapacity, text.c_str());
}

// Coldness and places are one decision: the record checks the cold rate.
TEST(EntryOwnerRoom, AContendedOwnerThatBecomesColdGetsItsColdRate) {
  fixture.cold_rate = 4.5;
  StartDeployment();
  SendFor(seconds(3), 1.5 * kCapacity);
  TakeOutcomes();
  fixture.upstreams.at("yard-1")->BecomeCold(seconds(4));
  SendFor(seconds(4), 1.5 * kCapacity);
  const Outcomes cold = TakeOutcomes();
  fixture.CheckRecord();
  CHECK_TEXT(cold.served >= 4 * 2, Describe(cold, Overruns()).c_str());
  SendFor(seconds(5), 1.5 * kCapacity);
  const Outcomes warm = TakeOutcomes();
  fixture.CheckRecord();
  CHECK_TEXT(warm.served >= 0.7 * 5 * kCapacity,
             Describe(warm, Overruns()).c_str());
}

// A host dies with places: they lapse with the time of their requests.
TEST(EntryOwnerRoom, APlaceOfADeadHostLapses) {
  StartDeployment();
  SendFor(seconds(3), 1.5 * kCapacity);
  TakeOutcomes();
  const int before = Overruns();
  const std::string giver = fixture.LeaseHolder("north");
  int killed = 0;
  for (const auto& [name, host] : fixture.hosts) {
    if (name == giver || name == fixture.LeaseHolder("south") || killed == 3)
      continue;
    host->process.Kill();
    ++killed;
  }
  SendFor(seconds(3), 1.5 * kCapacity);
  TakeOutcomes();
  SendFor(seconds(5), 1.5 * kCapacity);
  const Outcomes outcomes = TakeOutcomes();
  const std::string text = Describe(outcomes, Overruns() - before);
  fixture.CheckRecord();
  CHECK_TEXT(Overruns() - before <= kOverrunsBeforeTheReport, text.c_str());
  CHECK_TEXT(outcomes.served >= 0.8 * 5 * kCapacity, text.c_str());
}

// Some hosts do not know places, as of a former build.
TEST(EntryOwnerRoom, HostsWithoutTheSettingAreServedBesideOthers) {
  for (int i = 1; i <= kHosts; ++i) {
    if (i % 2 == 1)
      fixture.extra_settings["host-" + std::to_string(i)] =
          "[requests]\nowner_room = true\n";
  }
  StartDeployment(false);
  SendFor(seconds(5), 0.6 * kCapacity);
  const Outcomes outcomes = TakeOutcomes();
  fixture.CheckRecord();
  CHECK_TEXT(outcomes.served >= outcomes.sent * 97 / 100,
             Describe(outcomes, Overruns()).c_str());
  SendFor(seconds(4), 1.5 * kCapacity);
  const Outcomes burst = TakeOutcomes();
  fixture.CheckRecord();
  CHECK_TEXT(burst.served >= 0.5 * 4 * kCapacity,
             Describe(burst, Overruns()).c_str());
}

}  // namespace
}  // namespace mimosadeal
