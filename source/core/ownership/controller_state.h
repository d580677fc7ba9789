// The state of a group's controller, as plain data. The functions that act on
// it are in controller_leases.h (who may do what, for how long) and
// controller_moves.h (what moves where).
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

// What the controller knows of one host of its group. Times are on the
// controller's clock.
struct ControllerHost {
  std::string address;
  // The end of the host's lease, on the late side: until then it may act as
  // dispatcher.
  MonotonicTime lease_until = kNever;
  // Until then the host's promise keeps any later term from moving anything; on
  // the early side.
  MonotonicTime authority_until = kNever;
  // From then on the host is bound by no promise to an earlier term.
  MonotonicTime accepted_at = kForever;
  // When this host was first heard of in this term.
  MonotonicTime first_seen = kNever;
  // From the latest request by the host's own clock: datagrams may arrive out
  // of order.
  int64_t reported_at_ns = 0;
  TableVersion table;
  uint64_t configuration_version = 0;
  bool leaving = false;
  std::map<std::string, UpstreamReport> reports;
};

// A holder that was told to stop and has not confirmed it yet.
struct Revocation {
  std::string upstream;
  std::string dispatcher;
  TableVersion version;  // The table that revoked it.
};

using ShardId = std::pair<std::string, uint32_t>;  // Service and shard.

struct ControllerState {
  std::string self;
  std::string zone;
  LeaseTiming timing;
  uint64_t term = 0;
  // A standby that stands in for a silent controller renews leases and moves
  // nothing.
  bool renew_only = false;
  // A host that was neither controller nor standby of the term before cannot
  // know what that pair moved during a store outage, so it grants nothing
  // before MayMove.
  bool delay_grants = false;
  // The store cannot be reached from here. See `outage`.
  bool store_down = false;
  // While true, only tables that the standby has take effect, and the standby
  // may stand in. It turns true with store_down, and false when the standby has
  // acknowledged the end.
  bool outage = false;
  bool standby_acknowledged_outage = false;

  // The members in the control record (host ids), and those of a write to it
  // whose result is not known yet. Authority needs a majority of both.
  std::vector<std::string> members;
  std::optional<std::vector<std::string>> proposed_members;
  // Members that the platform has ceased to list: their processes have
  // certainly ended.
  std::set<std::string> unlisted_members;
  std::string standby;  // A process.

  // By process.
  std::map<std::string, ControllerHost> hosts;

  OwnershipTable table;
  // The newest table that the store has.
  TableVersion stored;
  // The first table of this term. Holders revoked before it are taken as
  // revoked by it.
  TableVersion first_version;
  // Invariant: an entry exists only for an upstream without dispatcher, or a
  // shard without owner, that had one in this term.
  std::map<std::string, Revocation> revoked_upstreams;
  std::map<ShardId, Revocation> revoked_shards;

  MonotonicTime next_balancing = kNever;
  // Something changed that AdvanceTable has not seen yet.
  bool advance_needed = true;
  // For each service, whether each shard belongs to this zone; rebuilt when the
  // service changes.
  std::map<std::string, std::vector<bool>> home_shards;
};

}  // namespace mimosadeal
