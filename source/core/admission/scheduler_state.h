// The state of one upstream's queues, as plain data. rank_scheduler.h acts on
// it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "common/boot_clock.h"
#include "common/enum_names.h"
#include "configuration/configuration.h"

namespace mimosadeal {

enum class SchedulingPolicy : uint8_t {
  kShares,          // Urgent ranks first, each rank's share kept, admission by
                    // predicted wait.
  kStrictPriority,  // Urgent ranks first, no admission. A baseline for
                    // measurements.
  kFirstCome,  // Order of arrival, no admission. A baseline for measurements.
};

struct WaitingRequest {
  uint64_t ticket = 0;
  size_t rank = 0;    // Index into SchedulerState::ranks.
  uint64_t flow = 0;  // Requests of one tenant and key share a flow.
  MonotonicTime arrived{};
  MonotonicTime deadline{};
};

inline constexpr EnumNames<SchedulingPolicy, 3> kSchedulingPolicyNames = {{
    {SchedulingPolicy::kShares, "shares"},
    {SchedulingPolicy::kStrictPriority, "strict"},
    {SchedulingPolicy::kFirstCome, "first-come"},
}};

// The requests of one rank, taken in turn from each flow.
struct RankQueue {
  std::map<uint64_t, std::deque<WaitingRequest>> flows;
  // Invariant: holds each flow that has requests exactly once, in the order of
  // their turns.
  std::deque<uint64_t> turns;
  size_t size = 0;

  Duration mean_service{};
  uint64_t completed = 0;  // Requests that the mean is taken over.
  // Slot time used, decaying with kUsageWindow. In seconds.
  double used_slot_seconds = 0;
  int running = 0;
};

struct SchedulerState {
  SchedulingPolicy policy = SchedulingPolicy::kShares;
  int slots = 1;
  size_t max_queue = 0;
  std::vector<RankPolicy> ranks;  // Most urgent first.
  std::vector<RankQueue> queues;  // One for each rank.
  MonotonicTime usage_updated{};
  int running = 0;
};

}  // namespace mimosadeal
