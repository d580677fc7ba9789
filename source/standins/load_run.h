// Runs a load plan against entry hosts. Arrivals are an open-loop Poisson
// process. Latencies count from the time at which a request was due.
// Percentiles are exact.
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

// Results of the requests of one class in one phase.
struct LoadCounts {
  uint64_t offered = 0;
  uint64_t in_target = 0;
  uint64_t late = 0;
  uint64_t refused = 0;  // Outcome "not run".
  uint64_t unknown = 0;  // Outcome "unknown".
  uint64_t failed = 0;  // No response, a failed connection or any other result.
  uint64_t not_sent = 0;  // LoadPlan::max_in_flight reached, or no entry host.
  std::vector<uint32_t> latencies_us;  // Of responses with status 200.
  std::vector<uint32_t> refusals_us;   // Of refused requests.
};

// Returns the percentile `part` (0 to 1) of the values by nearest rank, or 0 if
// there are none.
uint32_t Percentile(std::vector<uint32_t> values, double part);

class LoadRun {
 public:
  // `hosts` is called for each request and returns the addresses of the entry
  // hosts to choose from.
  LoadRun(HttpExchange& client, LoadPlan plan,
          std::function<std::vector<std::string>()> hosts);

  // Runs every phase, then waits for outstanding responses. Calls `on_phase` at
  // the start of each phase.
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
  Duration NextInterval(double rate);

  HttpExchange& client_;
  LoadPlan plan_;
  std::function<std::vector<std::string>()> hosts_;
  Random random_;
  uint64_t sent_ = 0;
  std::string run_id_;
  std::map<std::string, Arrivals> arrivals_;
  std::map<std::string, std::map<std::string, LoadCounts>> counts_;
};

// Return the results as a readable table, and as JSON.
std::string LoadTable(const LoadRun& run);
nlohmann::json LoadJson(const LoadRun& run);

}  // namespace mimosadeal
