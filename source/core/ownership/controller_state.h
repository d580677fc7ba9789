// The state of a group's controller, as plain data. The functions on it are in
// controller_leases.h (leases and authority) and controller_moves.h (moves of
// shards and upstreams).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "inner/control_messages.h"
#include "ownership/lease_timing.h"
#include "ownership/ownership_table.h"

namespace mimosadeal {

// What the controller knows of one process in its group. All times are on the
// controller's clock.
struct ControllerHost {
  std::string address;
  // Latest possible end of the host's lease: until then it may act as
  // dispatcher.
  MonotonicTime lease_until = kNever;
  // Earliest possible end of the host's promise to this term: until then it
  // helps no later term to move anything.
  MonotonicTime authority_until = kNever;
  // From then on the host is not bound by a promise to an earlier term.
  MonotonicTime earlier_promises_end = kForever;
  // When the first request of the host arrived in this term.
  MonotonicTime first_seen = kNever;
  // Sending time of the latest request, by the host's own clock. Identifies
  // older requests, as datagrams may arrive out of order.
  int64_t reported_at_ns = 0;
  TableVersion table;
  uint64_t configuration_version = 0;
  bool leaving = false;
  std::map<std::string, UpstreamReport> reports;
};

// A revoked assignment whose holder has not confirmed yet that it has stopped:
// a shard's owner or an upstream's dispatcher.
struct Revocation {
  std::string upstream;
  std::string dispatcher;
  TableVersion version;  // The first table without the assignment.
};

using ShardId = std::pair<std::string, uint32_t>;  // Service and shard.

struct ControllerState {
  std::string self;
  std::string zone;
  LeaseTiming timing;
  uint64_t term = 0;
  // True for an acting controller: the standby, while the controller is silent
  // during a store outage. It renews leases and moves nothing.
  bool renew_only = false;
  // No leases are granted before MayMove returns true. Set if this host was
  // neither controller nor standby in the previous term: it cannot know what
  // those two moved during a store outage.
  bool delay_grants = false;
  // This host cannot reach the store. See `outage`.
  bool store_down = false;
  // While true, a table takes effect when the standby has it, and the standby
  // may be acting controller. Becomes true with store_down, and false when the
  // standby has acknowledged the end of the outage.
  bool outage = false;
  bool standby_acknowledged_outage = false;

  // The members in the control record (host ids), and those in a write of it
  // whose result is not known yet. Authority needs a majority of both.
  std::vector<std::string> members;
  std::optional<std::vector<std::string>> proposed_members;
  // Members that the platform does not list any more: their processes have
  // certainly ended.
  std::set<std::string> unlisted_members;
  std::string standby;  // A process.

  // By process.
  std::map<std::string, ControllerHost> hosts;

  OwnershipTable table;
  // The version of the newest table in the store.
  TableVersion stored;
  // The version of this term's first table. Assignments that earlier tables
  // revoked are treated as revoked by it.
  TableVersion first_version;
  // Invariant: an entry exists only for an upstream without dispatcher, or a
  // shard without owner, that had one in this term.
  std::map<std::string, Revocation> revoked_upstreams;
  std::map<ShardId, Revocation> revoked_shards;

  MonotonicTime next_balancing = kNever;
  // AdvanceTable has not run since an input of it changed.
  bool advance_needed = true;
  // For each service, whether each shard belongs to this zone. Rebuilt when the
  // number of shards changes.
  std::map<std::string, std::vector<bool>> home_shards;
};

}  // namespace mimosadeal
