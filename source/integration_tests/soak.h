// Randomized soak test of entry hosts as real processes: it sends steady
// traffic, injects overlapping faults chosen by a seed, and checks the
// guarantees that callers and upstreams rely on.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/ids.h"
#include "entry_fixture.h"

namespace mimosadeal {

// Appended to the bounds of hosts in runs with evacuations.
inline constexpr char kEvacuationBoundText[] = ",evac=3000ms";

class Soak {
 public:
  Soak(EntryFixture& fixture, uint64_t seed);

  // Starts the deployment, injects faults for `time`, ends them all, and waits
  // for the deployment to recover. Returns descriptions of the violations.
  std::vector<std::string> Run(Duration time);

 private:
  struct SentRequest {
    std::shared_ptr<CallerResponse> response;
    std::string id;
    std::string host;
    std::string method;
    MonotonicTime at = kNever;
  };
  using Action = void (Soak::*)();

  // Faults of hosts.
  void KillHost();
  void FreezeHost();
  void StopHost();
  void ReloadSettings();
  void PartitionHost();
  // Faults and changes of the store.
  void SilenceStore();
  void RefuseStoreRequests();
  void LoseStoreResponses();
  void CompactStore();
  void ChangeConfiguration();
  // Faults of upstreams.
  void CrashUpstream();
  void DrainUpstream();
  // Crashes the upstream and later starts its next incarnation, which is cold
  // in some seeds.
  void ReplaceUpstream(const std::string& id);
  void IgnoreCommands();
  void LoseResponses();
  void StateLimit();
  void RestoreStore();
  void LosePaths();
  void EvacuateZone();
  // Loses the response to one of the next calls to the store, on a connection
  // that stays open.
  void LoseOneResponse();

  // Calls `end` after a random time below `longest`, to end a fault.
  void EndLater(Duration longest, std::function<void()> end);
  std::string PickHost();
  std::string PickUpstream(bool keyed);
  // Allows requests to the host to be lost until kDisturbanceTime from now.
  void NoteDisturbance(const std::string& host);
  void SendRequest();
  // Checks the requests that are due, or all of them.
  void CheckResponses(bool all);
  void Check(const SentRequest& request);
  // Notes the begin or end of a fault during which a host, or with an empty
  // name every host, need not keep its bounds.
  void NoteOutOfTouch(const std::string& host, bool ended);
  // Checks that the latest requests reached no evacuated zone and no leaving
  // upstream after the bound.
  void CheckBounds();
  void CheckBounds(const UpstreamRun& run);
  // Ends all faults and checks that every key is served again.
  void Recover();
  void AddViolation(const std::string& what);
  MonotonicTime Now() const { return fixture_.loop.timers().now(); }

  EntryFixture& fixture_;
  Random random_;
  Random limit_random_;    // For StateLimit.
  Random restore_random_;  // For RestoreStore.
  Random paths_random_;    // For LosePaths.
  Random cold_random_;     // For the delays of cold upstreams' reports.
  bool loses_paths_;
  Random evacuation_random_;  // For EvacuateZone.
  bool evacuates_;
  std::map<std::string, MonotonicTime> evacuated_;  // By zone, since when.
  Random calls_random_;                             // For LoseOneResponse.
  bool loses_responses_;
  std::map<std::string, MonotonicTime> leaving_;  // By upstream, since when.
  // Faults that keep a host, or under the empty name every host, from its
  // bounds: how many there are, and when the last one ended. The loss of a
  // single response is not one of them.
  struct Touch {
    int faults = 0;
    MonotonicTime ended_at = kNever;
  };
  std::map<std::string, Touch> touch_;
  size_t checked_runs_ = 0;
  bool has_cold_upstreams_;
  int version_ = 1;
  // Functions that end the current faults, by the time at which they run.
  std::multimap<MonotonicTime, std::function<void()>> fault_ends_;
  // Hosts that may lose a request sent before this time.
  std::map<std::string, MonotonicTime> disturbed_until_;
  std::set<std::string> crashed_;  // Upstreams.
  std::deque<SentRequest> sent_requests_;
  std::vector<std::string> violations_;
};

}  // namespace mimosadeal
