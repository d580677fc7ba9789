// Tests of entry hosts on an object-store deployment: how long requests still
// reach upstreams that leave.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>

#include "entry_fixture.h"
#include "net/tcp_stream.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// As in the fixture's settings.
constexpr Duration kDrainBound = seconds(2);
// A host must keep its bounds again this long after the end of a partition.
constexpr Duration kRecoveryTime = seconds(3);
constexpr size_t kMaxWatchEvents = 100;
constexpr int kMissedChanges = 2000;

class EntryLeavingTest : public EntryTest {
 public:
  // Waits until the holder of the lease on zone "north" has renewed it and has
  // received the store's response.
  void WaitForLeaseRenewal() {
    const auto revision = [this] {
      return (*fixture.store->Find("zone-leases", "north"))["metadata"]["rev"];
    };
    const nlohmann::json before = revision();
    CHECK(fixture.RunUntil([&] { return revision() != before; }, seconds(2)));
    fixture.RunFor(milliseconds(20));
  }

  // Changes the registry and the range tables, so that the lease holder's
  // watches get responses. A holder that is partitioned from the store right
  // after that goes on feeding the other hosts for the longest possible time.
  void TriggerWatchResponses() {
    fixture.AddUpstream("desk-3", "desk", "north", 7);
    nlohmann::json table =
        (*fixture.store->Find("range-tables", "yard"))["spec"];
    table["last_generation"] = table["last_generation"].get<int>() + 1;
    fixture.store->Put("range-tables", "yard", table);
    fixture.RunFor(milliseconds(30));
  }

  // Sends a request for the key to the host every 10 ms for `time`. Returns how
  // long after `left` the last one began to run at the upstream.
  Duration LastRunAfter(MonotonicTime left, const EntryProcess& host, int key,
                        const std::string& upstream, Duration time) {
    const size_t before = fixture.record.runs.size();
    const MonotonicTime end = fixture.loop.timers().now() + time;
    while (fixture.loop.timers().now() < end) {
      fixture.Start(host, "GET", "/lookup/a", key);
      fixture.RunFor(milliseconds(10));
    }
    Duration last{};
    for (size_t i = before; i < fixture.record.runs.size(); ++i) {
      const UpstreamRun& run = fixture.record.runs[i];
      if (run.upstream == upstream && run.began_at != kNever)
        last = std::max(last, run.began_at - left);
    }
    return last;
  }
};

TEST_GROUP_BASE(EntryLeaving, EntryLeavingTest){};

// Guards against requests that reach a leaving owner after the bound: when its
// registration is removed while its keys cannot be moved, a host must not treat
// that as a new departure and start the drain time again.
TEST(EntryLeaving, ALeavingOwnerGetsNoNewRequestsWhenItsRegistrationIsRemoved) {
  fixture.StartDefaultDeployment(4);
  const int key = OwnedKey("yard-1");
  DeploymentUpstream& owner = *fixture.upstreams.at("yard-1");
  owner.SetWork(milliseconds(5));
  owner.faults().ignore_releases = true;
  owner.Report("draining");
  const MonotonicTime left = fixture.loop.timers().now();
  CHECK(LastRunAfter(left, Host(1), key, "yard-1", milliseconds(2100)) <=
        kDrainBound);
  fixture.store->Remove("servers", "yard-1");
  const Duration last =
      LastRunAfter(left, Host(1), key, "yard-1", milliseconds(900));
  CHECK_TEXT(last <= kDrainBound,
             ("reached after " + std::to_string(ToMilliseconds(last)) + " ms")
                 .c_str());
  fixture.CheckRecord();
}

// The lease holder is partitioned from the store just before an owner leaves,
// so the other hosts learn of it late and the keys do not move.
TEST(EntryLeaving,
     ALeavingOwnerGetsNothingAfterTheBoundFromAHostThatLearnsLate) {
  fixture.StartDefaultDeployment(4);
  for (const auto& [name, upstream] : fixture.upstreams)
    upstream->SetWork(milliseconds(5));
  const int key = OwnedKey("yard-1");
  const std::string holder = fixture.LeaseHolder("north");
  const std::string other = holder == "host-1" ? "host-3" : "host-1";
  WaitForLeaseRenewal();
  TriggerWatchResponses();
  fixture.SetStorePartition(holder, true);
  fixture.upstreams.at("yard-1")->Report("draining");
  const MonotonicTime left = fixture.loop.timers().now();
  const Duration last = LastRunAfter(left, *fixture.hosts.at(other), key,
                                     "yard-1", milliseconds(3500));
  CHECK_TEXT(last <= kDrainBound,
             ("reached after " + std::to_string(ToMilliseconds(last)) + " ms")
                 .c_str());
  fixture.CheckRecord();
}

// Guards against a host that takes a part of the changes for all of them: the
// store sends a long history in parts, and the host must not need long for it.
TEST(EntryLeaving,
     ALeavingOwnerGetsNothingAfterTheBoundFromAHostThatCatchesUp) {
  fixture.StartDefaultDeployment(4);
  for (const auto& [name, upstream] : fixture.upstreams)
    upstream->SetWork(milliseconds(5));
  const int key = OwnedKey("yard-3");
  fixture.upstreams.at("yard-3")->faults().ignore_releases = true;
  fixture.store->faults().max_watch_events = kMaxWatchEvents;
  for (const char* host : {"host-1", "host-3"})
    fixture.SetStorePartition(host, true);
  fixture.RunFor(seconds(1));
  for (int change = 0; change < kMissedChanges; ++change)
    fixture.store->Put("servers", "unreadable", {{"seq", change}});
  fixture.RunFor(seconds(4));
  for (const char* host : {"host-1", "host-3"})
    fixture.SetStorePartition(host, false);
  fixture.RunFor(kRecoveryTime);
  fixture.upstreams.at("yard-3")->Report("draining");
  const MonotonicTime left = fixture.loop.timers().now();
  const Duration last =
      LastRunAfter(left, Host(1), key, "yard-3", milliseconds(5000));
  CHECK_TEXT(last <= kDrainBound,
             ("reached after " + std::to_string(ToMilliseconds(last)) + " ms")
                 .c_str());
  fixture.CheckRecord();
}

// The host passed such a request on, and cut it off when its grace ended.
TEST(EntryLeaving, ARequestThatIsReadLateInAPlannedStopIsRefusedAsNotRun) {
  fixture.StartDefaultDeployment(3);
  for (auto& [id, upstream] : fixture.upstreams) upstream->SetWork(seconds(2));
  std::string received;
  bool ended = false;
  TcpStreamHandlers handlers;
  handlers.on_data = [&received](std::string_view bytes) { received += bytes; };
  handlers.on_end = [&ended](StreamEnd) { ended = true; };
  auto stream =
      TcpStream::Connect(fixture.loop, Host(1).callers, std::move(handlers));
  CHECK(stream.has_value());
  stream.value()->Write(
      "POST /charge/late HTTP/1.1\r\nhost: lots.example\r\n"
      "x-request-id: late\r\nx-request-deadline-ms: 8000\r\n"
      "content-length: 4\r\n\r\nab");
  fixture.RunFor(milliseconds(100));
  Host(1).process.Signal(SIGTERM);
  fixture.RunFor(milliseconds(4500));
  stream.value()->Write("cd");
  fixture.RunUntil([&ended] { return ended; }, seconds(3));
  CHECK(received.starts_with("HTTP/1.1 503"));
  CHECK(received.find("retry-after") != std::string::npos);
  LONGS_EQUAL(0, RunCount("late"));
}

// The route allows more time than the grace has. The connection ended without a
// response.
TEST(EntryLeaving, ARequestThatOutlastsAPlannedStopGetsAResponse) {
  fixture.StartDefaultDeployment(3);
  nlohmann::json patient = fixture.Configuration(5);
  for (auto& path : patient["virtualHosts"][0]["paths"])
    path["timeout"] = "8000ms";
  fixture.store->Put("config", "main", patient);
  fixture.RunFor(kChangeDeadline);
  for (auto& [id, upstream] : fixture.upstreams) upstream->SetWork(seconds(5));
  Host(1).process.Signal(SIGTERM);
  fixture.RunFor(milliseconds(2500));
  const auto response =
      fixture.Start(Host(1), "POST", "/charge/slow", -1, "", seconds(8));
  fixture.RunUntil([&] { return response->status != 0; }, seconds(6));
  LONGS_EQUAL(504, response->status);
  LONGS_EQUAL(1, RunCount(fixture.last_request_id));
}

}  // namespace
}  // namespace mimosadeal
