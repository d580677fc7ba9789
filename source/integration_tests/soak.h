// A randomized soak of entry hosts as real processes: seeded faults that
// overlap, steady traffic, and the promises that callers and upstreams rely on.
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

class Soak {
 public:
  Soak(EntryFixture& fixture, uint64_t seed);

  // Starts the deployment, injects faults for `time`, ends them all, and waits
  // for the deployment to recover. Returns the promises that were broken.
  std::vector<std::string> Run(Duration time);

 private:
  struct Asked {
    std::shared_ptr<CallerResponse> answer;
    std::string id;
    std::string host;
    std::string method;
    MonotonicTime at = kNever;
  };
  using Action = void (Soak::*)();

  // Hosts.
  void KillHost();
  void FreezeHost();
  void StopHost();
  void HangUpHost();
  void CutHostOff();
  // The store.
  void SilenceStore();
  void RefuseAtStore();
  void LoseStoreAnswers();
  void DropHistory();
  void ChangeConfiguration();
  // Upstreams.
  void CrashUpstream();
  void DrainUpstream();
  // Crashes the upstream; another life of it comes later.
  void Replace(const std::string& id);
  void IgnoreOrders();
  void LoseAnswers();

  // Ends the fault after a random time of at most `longest`.
  void Later(Duration longest, std::function<void()> end);
  std::string PickHost();
  std::string PickUpstream(bool keyed);
  void Disturb(const std::string& host);
  void Ask();
  void CheckAnswers(bool all);
  void Check(const Asked& asked);
  void Recover();
  void Break(const std::string& what);
  MonotonicTime Now() const { return fixture_.loop.timers().now(); }

  EntryFixture& fixture_;
  Random random_;
  int version_ = 1;
  // Faults that have not ended yet, by their end.
  std::multimap<MonotonicTime, std::function<void()>> ends_;
  // Hosts that may leave a request unanswered until then.
  std::map<std::string, MonotonicTime> disturbed_until_;
  std::set<std::string> crashed_;  // Upstreams.
  std::deque<Asked> asked_;
  std::vector<std::string> broken_;
};

}  // namespace mimosadeal
