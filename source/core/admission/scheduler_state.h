// The state of one upstream's queues, as plain data. The functions that change
// it are in rank_scheduler.h.
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
  // Ranks by priority, with a guaranteed share of the slot time for each rank
  // and admission control by predicted waiting time.
  kShares,
  // Ranks by priority without admission control. A baseline for benchmarks.
  kStrictPriority,
  // Order of arrival without admission control. A baseline for benchmarks.
  kFirstCome,
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

// The queued requests of one rank, dequeued round robin over flows.
struct RankQueue {
  std::map<uint64_t, std::deque<WaitingRequest>> flows;
  // Invariant: contains each flow that has requests exactly once, in the order
  // in which the flows are served next.
  std::deque<uint64_t> flow_order;
  size_t size = 0;

  Duration mean_service{};
  uint64_t completed = 0;  // Number of requests in the mean.
  // Slot time used recently, in seconds. Decays exponentially with the time
  // constant kUsageWindow (rank_scheduler.cc).
  double used_slot_seconds = 0;
  int running = 0;
};

struct SchedulerState {
  SchedulingPolicy policy = SchedulingPolicy::kShares;
  int slots = 1;
  size_t max_queue = 0;
  std::vector<RankPolicy> ranks;  // By decreasing priority.
  std::vector<RankQueue> queues;  // One for each rank.
  MonotonicTime usage_updated{};
  int running = 0;
};

}  // namespace mimosadeal
