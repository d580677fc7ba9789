// Runs a load plan against entry hosts: an open loop with Poisson arrivals,
// latencies counted from the time at which each request was due, and exact
// percentiles.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "common/ids.h"
#include "http_exchange.h"
#include "load_plan.h"

namespace mimosadeal {

// What came of the requests of one class in one phase.
struct LoadCounts {
  uint64_t offered = 0;
  uint64_t in_target = 0;
  uint64_t late = 0;
  uint64_t refused = 0;  // Told "not run".
  uint64_t unknown = 0;
  uint64_t failed = 0;    // Anything else: no answer, a connection that broke.
  uint64_t not_sent = 0;  // The load tool's own bound on requests in flight.
  std::vector<uint32_t> latencies_us;  // Of answers.
  std::vector<uint32_t> refusals_us;   // Of refusals.
};

// Returns the value below which `part` (0 to 1) of the values lie, by nearest
// rank; 0 for none.
uint32_t Percentile(std::vector<uint32_t> values, double part);

class LoadRun {
 public:
  // `hosts` returns the addresses of the entry hosts to send to at present.
  LoadRun(HttpExchange& client, LoadPlan plan,
          std::function<std::vector<std::string>()> hosts);

  // Runs every phase, then waits for the last answers. `on_phase` runs at the
  // start of each phase.
  void Run(const std::function<void(const LoadPhase&)>& on_phase);

  // By phase and class.
  const std::map<std::string, std::map<std::string, LoadCounts>>& counts()
      const {
    return counts_;
  }
  const LoadPlan& plan() const { return plan_; }

 private:
  struct Arrivals {
    MonotonicTime next;
  };

  void SendDue(const LoadPhase& phase);
  void SendOne(const LoadClass& load_class, const std::string& phase,
               MonotonicTime due);
  double RateOf(const LoadClass& load_class, const LoadPhase& phase) const;
  Duration NextGap(double rate);

  HttpExchange& client_;
  LoadPlan plan_;
  std::function<std::vector<std::string>()> hosts_;
  Random random_;
  uint64_t sent_ = 0;
  std::string run_id_;
  std::map<std::string, Arrivals> arrivals_;
  std::map<std::string, std::map<std::string, LoadCounts>> counts_;
};

// Returns a table for people, and the same as JSON.
std::string LoadTable(const LoadRun& run);
nlohmann::json LoadJson(const LoadRun& run);

}  // namespace mimosadeal
