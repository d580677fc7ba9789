// Randomized test of the return after a final fault: all entry hosts are killed
// at once shortly after a change of the configuration, while other faults
// overlap, and come back. Measures how long callers wait until they are served
// again.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/ids.h"
#include "entry_fixture.h"

namespace mimosadeal {

// A fault of the store around the final fault.
enum class StoreTrouble : uint8_t {
  kNone,
  kSilent,
  kRefuses,
  kSlow,
  kLosesResponses,
  kWritesLate,
  kCompacted,
  kResets,
  kRestored,
};

// What becomes of all upstreams at the final fault.
enum class UpstreamsEnd : uint8_t {
  kNone,
  kSameIds,       // They come back under their ids.
  kNewIds,        // Others come at other addresses.
  kNewIdsInPlace  // Others come at the same addresses.
};

// Which paths from hosts to upstreams are cut around the final fault.
enum class PathsCut : uint8_t { kNone, kOneHost, kOneZone, kAll };

// What a seed stands for. Times are relative to the final fault.
struct RecoveryPlan {
  int hosts = 0;
  int keyed = 0;
  int unkeyed = 0;
  StoreTrouble store = StoreTrouble::kNone;
  Duration store_begins{};
  Duration store_ends{};
  UpstreamsEnd upstreams = UpstreamsEnd::kNone;
  Duration upstreams_back{};
  PathsCut paths = PathsCut::kNone;
  UpstreamCut cut = UpstreamCut::kNone;
  // The hosts with cut paths have none to the store either.
  bool store_cut = false;
  Duration cut_begins{};
  Duration cut_ends{};
  Duration change_before{};   // The change of the configuration.
  Duration down{};            // Until the first host is started again.
  Duration spread{};          // From the first to the last one's start.
  int killed_again = 0;       // Hosts that are killed again while they start.
  int lost = 0;               // Hosts that do not come back.
  int leaving = 0;            // Upstreams that begin to leave shortly before.
  int added = 0;              // Upstreams that are added shortly before.
  bool same_request = false;  // All callers send the same path and body.
  bool odd_entries = false;
  size_t page = 0;
};

RecoveryPlan MakeRecoveryPlan(uint64_t seed, bool full);
std::string DescribePlan(const RecoveryPlan& plan);

struct RecoveryResult {
  double served_before = 0;  // Share of the requests before the fault.
  // From the end of all faults until at least a quarter of the requests is
  // served, and until every key is held and nine tenths are served; the length
  // of the trial if that did not happen.
  Duration quarter_after{};
  Duration all_after{};
  // The same as quarter_after, from the start of the last host and upstream.
  Duration quarter_after_return{};
  // Share of the requests sent later than 15 s after the end of all faults,
  // if the trial lasted so long.
  double served_late = 1;
};

class Recovery {
 public:
  Recovery(EntryFixture& fixture, uint64_t seed, RecoveryPlan plan);

  RecoveryResult Run();

 private:
  struct SentRequest {
    MonotonicTime at = kNever;
    std::shared_ptr<CallerResponse> response;
  };

  void StartDeployment();
  void ScheduleFaults();
  void ScheduleStoreTrouble();
  void ScheduleUpstreams();
  void ScheduleHosts();
  void SetStoreTrouble(bool on);
  void SetPathsCut(bool on);
  void EndUpstreams();
  void ReturnUpstreams();
  DeploymentUpstream& AddUpstream(const std::string& id,
                                  const std::string& service, int place);
  // Starts what the final fault ended, this long after it.
  void ReturnAt(Duration after, std::function<void()> action);
  // Runs `action` this long after the final fault, or before it if negative.
  void At(Duration after, std::function<void()> action);
  // Sends requests and runs the actions that are due until `done`, or `end`.
  void RunTraffic(MonotonicTime end, const std::function<bool()>& done);
  void SendRequest();
  // Returns the share of the requests sent in this time that were served.
  double Served(MonotonicTime from, MonotonicTime to) const;
  std::string ZoneOf(int number) const;
  MonotonicTime Now() const { return fixture_.loop.timers().now(); }

  EntryFixture& fixture_;
  Random random_;
  RecoveryPlan plan_;
  MonotonicTime fault_at_ = kNever;
  MonotonicTime calm_at_ = kNever;  // The end of all faults.
  // The start of the last host and upstream.
  MonotonicTime returned_at_ = kNever;
  std::multimap<MonotonicTime, std::function<void()>> actions_;
  std::deque<SentRequest> sent_;
  std::vector<DeploymentUpstreamOptions> ended_;
  std::map<std::string, int> places_;  // Of upstreams, by id: their address.
  int next_place_ = 0;
  int next_target_ = 0;
};

}  // namespace mimosadeal
