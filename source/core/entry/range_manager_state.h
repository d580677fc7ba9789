// State of the grants and moves of one service, shared by the files that
// implement RangeManager.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "entry/range_manager.h"
#include "ranges/retired_generations.h"
#include "ranges/table_write_timing.h"

namespace mimosadeal {

// First key, last key and generation.
using GrantKey = std::tuple<int, int, uint64_t>;

// Whether an owner responds to its grants.
struct OwnerState {
  // Of its present ranges; kNever while it responds.
  MonotonicTime silent_since = kNever;
  // When it last did not respond.
  MonotonicTime last_silent_at = kNever;
  MonotonicTime asked_at = kNever;  // By the last grant that was sent.
  bool replaced = false;            // Another process responds at its address.
};

struct RangeManager::Grant {
  MonotonicTime sent_at = kNever;
  Duration hold{};
  bool in_flight = false;
  bool acknowledged = false;
};

struct RangeManager::Move {
  PlannedMove planned;
  UpstreamIncarnation from;
  std::string reason;
  MonotonicTime started_at = kNever;
  bool release_pending = false;
  MonotonicTime next_release_at = kNever;
  // The old owner answered a release by then, though it may still take a grant,
  // or not every grant that it may still receive has expired.
  bool release_answered = false;
  MonotonicTime announced_since = kNever;  // Valid once it was announced.
  MonotonicTime announced_at = kNever;     // Last; see AnnounceMoves.
  uint64_t announced_generation = 0;       // Last, of the range.
  bool withdrawn = false;                  // After it was announced.
  // The old owner no longer holds the keys and processes no request for them.
  bool released = false;
  // From the old owner's reply to the release; sent to the new owner with its
  // first grant.
  std::string handover;
};

struct RangeManager::Service {
  std::string name;
  bool claimed = false;
  MonotonicTime claimable_at = kNever;  // As last logged.
  bool write_pending = false;
  MonotonicTime next_write_at = kNever;  // After a write that failed.
  TableWriteState write_state;
  uint64_t write_timer = 0;  // Fires when released moves are to be written.
  MonotonicTime next_balance_at = kNever;
  std::map<GrantKey, Grant> grants;
  std::map<UpstreamIncarnation, OwnerState> owners;
  std::vector<std::shared_ptr<Move>> moves;
  // Invariant: no grant is sent with a retired generation.
  RetiredGenerations retired;
  bool evacuation_logged = false;  // For the present evacuation of the zone.
};

}  // namespace mimosadeal
