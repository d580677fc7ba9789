// Tests of entry hosts on an object-store deployment whose keys move away from
// owners that have to finish their running work first.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <utility>

#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 4;
constexpr char kAwaitMoves[] = "[requests]\nawait_moves = true\n";
// The old owner's time for a request. A move takes as long.
constexpr Duration kOldOwnersWork = milliseconds(250);
// From the arrival of the release at the old owner: the notice is on its way to
// all hosts, and requests to the old owner.
constexpr Duration kNoticeTime = milliseconds(50);
// After which a move is not announced any more if the owner does not answer.
constexpr Duration kUnansweredTime = milliseconds(2400);
// Those that wait for a move come to the new owner together, which has a queue
// for eight.
constexpr Duration kRequestInterval = milliseconds(100);
// In which every move has ended.
constexpr Duration kMoveTime = seconds(2);

class EntryMovesTest : public EntryTest {
 public:
  void StartDeployment(bool await_moves) {
    for (int host = 1; await_moves && host <= kHosts; ++host)
      fixture.extra_settings["host-" + std::to_string(host)] = kAwaitMoves;
    fixture.StartDefaultDeployment(kHosts);
    for (const auto& [name, upstream] : fixture.upstreams)
      upstream->SetWork(milliseconds(5));
    // Requests may wait for half a second for an owner.
    nlohmann::json configuration = fixture.Configuration(2);
    for (nlohmann::json& path : configuration["virtualHosts"][0]["paths"])
      path["targetLatency"] = "1500ms";
    fixture.store->Put("config", "main", configuration);
    fixture.RunFor(kChangeDeadline);
  }

  void Drain() {
    fixture.upstreams.at("yard-1")->Report("draining");
    drained_at = fixture.loop.timers().now();
  }

  // Returns when yard-1 was first asked to release keys after Drain; kNever if
  // it was not.
  MonotonicTime ReleasedAt() {
    for (const MonotonicTime at : fixture.upstreams.at("yard-1")->releases()) {
      if (at >= drained_at) return at;
    }
    return kNever;
  }

  // Sends requests for keys of yard-1 to all hosts, and lets its keys move
  // away after a moment.
  void MoveKeysAway() {
    const int key = OwnedKey("yard-1");
    fixture.upstreams.at("yard-1")->SetWork(kOldOwnersWork);
    const MonotonicTime begin = fixture.loop.timers().now();
    bool reported = false;
    while (fixture.loop.timers().now() < begin + kMoveTime) {
      for (const auto& [name, host] : fixture.hosts)
        responses.push_back(fixture.Start(*host, "GET", "/lookup/a", key));
      fixture.RunFor(kRequestInterval);
      if (!std::exchange(reported, true)) Drain();
    }
    fixture.RunUntil(
        [this] {
          return std::all_of(responses.begin(), responses.end(),
                             [](const auto& r) { return r->status != 0; });
        },
        seconds(3));
  }

  // Returns how many requests came to upstreams that did not hold their key,
  // once the hosts could know of the move.
  long MisdirectedAfterNotice() {
    const MonotonicTime released = ReleasedAt();
    CHECK(released != kNever);
    long count = 0;
    for (const auto& [name, upstream] : fixture.upstreams) {
      count += std::count_if(
          upstream->misdirected().begin(), upstream->misdirected().end(),
          [&](MonotonicTime at) { return at > released + kNoticeTime; });
    }
    return count;
  }

  MonotonicTime drained_at = kNever;
  std::vector<std::shared_ptr<CallerResponse>> responses;
};

TEST_GROUP_BASE(EntryMoves, EntryMovesTest){};

TEST(EntryMoves, RequestsWaitForTheNewOwnerOfAKeyThatMoves) {
  StartDeployment(true);
  MoveKeysAway();
  LONGS_EQUAL(0, MisdirectedAfterNotice());
  for (const auto& response : responses) LONGS_EQUAL(200, response->status);
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

TEST(EntryMoves, WithoutTheSettingTheyTryTheOldOwner) {
  StartDeployment(false);
  MoveKeysAway();
  CHECK(MisdirectedAfterNotice() > 0);
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

// The owner goes on serving its keys, as it does not get the release. Hosts
// hear so before its grants expire.
TEST(EntryMoves, AnOwnerThatDoesNotReleaseItsKeysGoesOnServingThem) {
  StartDeployment(true);
  const int key = OwnedKey("yard-1");
  DeploymentUpstream& owner = *fixture.upstreams.at("yard-1");
  owner.faults().ignore_releases = true;
  Drain();
  CHECK(
      fixture.RunUntil([this] { return ReleasedAt() != kNever; }, seconds(2)));
  owner.Report("ready");
  fixture.RunFor(kUnansweredTime);
  CHECK(owner.Holds(key));
  for (const auto& [name, host] : fixture.hosts)
    CheckServed(fixture.SendAndWait(*host, "GET", "/lookup/a", key));
  fixture.CheckRecord();
}

// The holder that announced the move is lost before it ends.
TEST(EntryMoves, KeysAreServedAfterTheLossOfTheHolderThatMovesThem) {
  StartDeployment(true);
  const int key = OwnedKey("yard-1");
  DeploymentUpstream& owner = *fixture.upstreams.at("yard-1");
  const std::string zone = owner.options().zone;
  owner.faults().ignore_releases = true;
  Drain();
  fixture.RunFor(milliseconds(400));
  fixture.hosts.at(fixture.LeaseHolder(zone))->process.Kill();
  owner.faults().ignore_releases = false;
  fixture.RunFor(seconds(10));
  CHECK(fixture.EveryKeyIsHeld());
  for (const auto& [name, host] : fixture.hosts) {
    if (host->process.running())
      CheckServed(fixture.SendAndWait(*host, "GET", "/lookup/a", key));
  }
  fixture.CheckRecord();
}

}  // namespace
}  // namespace mimosadeal
