// Tests of entry hosts on an object-store deployment: upstreams that are cold
// after a start, or become cold again. The stand-in counts by itself what all
// hosts together send to it in any second while it is cold.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>

#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 10;
constexpr double kColdRate = 4.5;
// The platform's reports and its store may take this long.
constexpr Duration kReportDelay = milliseconds(1000);

class EntryColdTest : public EntryTest {
 public:
  using Answers = std::vector<std::shared_ptr<CallerResponse>>;

  EntryColdTest() { fixture.cold_rate = kColdRate; }

  // Sends requests from the hosts in turn, `per_second` in all. `next_key`:
  // returns the key of the next request, -1 for none. Returns the share of them
  // that was served.
  double SendFor(Duration time, double per_second, const std::string& target,
                 const std::function<int()>& next_key) {
    Answers answers;
    const MonotonicTime start = fixture.loop.timers().now();
    while (fixture.loop.timers().now() < start + time) {
      const double due =
          ToSeconds(fixture.loop.timers().now() - start) * per_second;
      while (static_cast<double>(answers.size()) < due) {
        next_host_ = next_host_ % kHosts + 1;
        answers.push_back(fixture.Start(Host(next_host_), "GET", target,
                                        next_key(), "", seconds(2)));
      }
      fixture.RunFor(milliseconds(10));
    }
    fixture.RunUntil(
        [&] {
          return std::all_of(answers.begin(), answers.end(),
                             [](const auto& a) { return a->status != 0; });
        },
        seconds(3));
    const auto served =
        std::count_if(answers.begin(), answers.end(),
                      [](const auto& a) { return a->status == 200; });
    return static_cast<double>(served) / static_cast<double>(answers.size());
  }

  int AnyKey() {
    last_key_ = (last_key_ + 11003) % 65536;
    return last_key_;
  }

  int next_host_ = 0;
  int last_key_ = 500;
};

TEST_GROUP_BASE(EntryCold, EntryColdTest){};

// An upstream is lost for less time than its registration lasts, and its next
// incarnation serves before the hosts can have heard of it.
TEST(EntryCold, AnUpstreamThatReturnsUnderItsIdIsTakenForCold) {
  fixture.StartDefaultDeployment(kHosts);
  const auto no_key = [] { return -1; };
  SendFor(seconds(2), 120, "/price/a", no_key);
  fixture.CrashUpstream("desk-1");
  SendFor(milliseconds(700), 120, "/price/a", no_key);
  fixture.AddColdUpstream("desk-1", "desk", "north", 5, kReportDelay);
  SendFor(seconds(5), 120, "/price/a", no_key);
  fixture.CheckRecord();
  // Warm again, it takes its part.
  const size_t before = fixture.record.runs.size();
  SendFor(seconds(2), 120, "/price/a", no_key);
  const auto served = std::count_if(
      fixture.record.runs.begin() + static_cast<std::ptrdiff_t>(before),
      fixture.record.runs.end(),
      [](const UpstreamRun& run) { return run.upstream == "desk-1"; });
  CHECK_TEXT(served >= 60,
             (std::to_string(served) + " of 240 at desk-1").c_str());
}

// Load pattern: the only upstream that may serve a key takes 25 requests per
// second, and becomes cold.
TEST(EntryCold, AnOwnerThatBecomesColdAgainGetsItsColdRate) {
  fixture.StartDefaultDeployment(kHosts);
  const int key = OwnedKey("yard-1");
  const auto one_key = [key] { return key; };
  SendFor(seconds(2), 25, "/lookup/a", one_key);
  fixture.upstreams.at("yard-1")->BecomeCold(kColdTime);
  const double served = SendFor(kColdTime, 25, "/lookup/a", one_key);
  fixture.CheckRecord();
  CHECK(served >= 0.1);
  SendFor(seconds(2), 25, "/lookup/a", one_key);
  CHECK(SendFor(seconds(2), 25, "/lookup/a", one_key) >= 0.98);
}

// All upstreams of a zone are lost and come back together. Their keys have
// moved, and come back to them while they are cold.
TEST(EntryCold, AZoneOfUpstreamsThatReturnsTogetherGetsItsColdRate) {
  fixture.StartDefaultDeployment(kHosts);
  const auto any_key = [this] { return AnyKey(); };
  SendFor(seconds(2), 100, "/lookup/a", any_key);
  fixture.CrashUpstream("yard-1");
  fixture.CrashUpstream("yard-2");
  SendFor(milliseconds(2600), 100, "/lookup/a", any_key);
  fixture.store->Remove("servers", "yard-1");
  fixture.store->Remove("servers", "yard-2");
  SendFor(milliseconds(1900), 100, "/lookup/a", any_key);
  fixture.AddColdUpstream("yard-1", "yard", "north", 1, {});
  fixture.AddColdUpstream("yard-2", "yard", "north", 2, {});
  const double served = SendFor(seconds(4), 100, "/lookup/a", any_key);
  fixture.CheckRecord();
  CHECK_TEXT(served >= 0.8, std::to_string(served).c_str());
  SendFor(seconds(4), 100, "/lookup/a", any_key);
  fixture.CheckRecord();
  const double served_warm = SendFor(seconds(2), 100, "/lookup/a", any_key);
  CHECK_TEXT(served_warm >= 0.95, std::to_string(served_warm).c_str());
}

// The lease holder of the zone of the upstream is killed while it is cold.
TEST(EntryCold, AColdUpstreamIsProtectedWhileTheLeaseHolderChanges) {
  fixture.StartDefaultDeployment(kHosts);
  const int key = OwnedKey("yard-1");
  const auto one_key = [key] { return key; };
  fixture.upstreams.at("yard-1")->BecomeCold(seconds(8));
  SendFor(milliseconds(1500), 25, "/lookup/a", one_key);
  const std::string holder = fixture.LeaseHolder("north");
  fixture.hosts.at(holder)->process.Kill();
  SendFor(seconds(6), 25, "/lookup/a", one_key);
  fixture.CheckRecord();
  CHECK(fixture.LeaseHolder("north") != holder);
}

}  // namespace
}  // namespace mimosadeal
