// What a range keeper knows of the grants and moves of one service; shared by
// the files that implement it.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "entry/range_keeper.h"

namespace mimosadeal {

using GrantKey = std::tuple<int, int, uint64_t>;

// How an owner answers its grants.
struct OwnerState {
  MonotonicTime silent_since = kNever;  // kNever while it answers.
  bool ended = false;  // Another process answers at its address.
};

struct RangeKeeper::Grant {
  MonotonicTime sent_at = kNever;
  Duration hold{};
  bool in_flight = false;
  bool acknowledged = false;
  // The upstream may have taken it.
  bool written = false;
};

struct RangeKeeper::Move {
  PlannedMove planned;
  UpstreamIncarnation from;
  std::string reason;
  MonotonicTime started_at = kNever;
  bool release_pending = false;
  MonotonicTime next_release_at = kNever;
  // The old owner no longer holds the keys, and works on none of them.
  bool released = false;
  std::string handover;
};

struct RangeKeeper::Service {
  std::string name;
  bool claimed = false;
  bool write_pending = false;
  MonotonicTime next_write_at = kNever;
  MonotonicTime next_balance_at = kNever;
  std::map<GrantKey, Grant> grants;
  std::map<UpstreamIncarnation, OwnerState> owners;
  std::vector<std::shared_ptr<Move>> moves;
};

}  // namespace mimosadeal
