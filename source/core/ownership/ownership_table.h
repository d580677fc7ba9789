// The ownership table of one control group: the owner (an upstream) of each
// shard and the dispatcher (a host) of each upstream.
//
// A change takes two versions of the table. The first clears the owner or
// dispatcher and sets the target. The second sets the owner or dispatcher to
// the target, after the previous one has certainly stopped.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "inner/control_messages.h"
#include "ownership/shard_set.h"

namespace mimosadeal {

inline constexpr uint16_t kNoUpstream = 0xFFFF;
inline constexpr uint16_t kNoHost = 0xFFFF;

struct TableHost {
  std::string id;
  std::string address;  // Inner address.
  // The host that keeps a copy of this host's ledger.
  std::string ledger_replica;
  // False for a lost host. Its entry stays, because it names the replica.
  bool live = true;

  bool operator==(const TableHost&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, address, ledger_replica, live);
  }
};

struct TableUpstream {
  std::string id;
  std::string service;
  std::string address;
  // The host that may send to it now; empty while that changes.
  std::string dispatcher;
  std::string target_dispatcher;  // The host that is to become dispatcher.
  std::string last_dispatcher;    // The dispatcher before the present one.

  bool operator==(const TableUpstream&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, address, dispatcher, target_dispatcher,
            last_dispatcher);
  }
};

struct TableService {
  std::string name;
  // Invariant: the three lists have one entry for each shard, kNoUpstream or
  // kNoHost for shards of other zones. `owners` and `targets` are indices into
  // the table's upstreams; owners[i] is kNoUpstream or targets[i].
  std::vector<uint16_t> owners;
  std::vector<uint16_t> targets;
  // Index into the table's hosts of the previous dispatcher of the shard. The
  // present dispatcher fetches the shard's ledger from it.
  std::vector<uint16_t> last_dispatchers;

  bool operator==(const TableService&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, owners, targets, last_dispatchers);
  }
};

struct OwnershipTable {
  TableVersion version;
  std::vector<TableHost> hosts;
  std::vector<TableUpstream> upstreams;
  std::vector<TableService> services;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, hosts, upstreams, services);
  }
};

std::string EncodeTable(const OwnershipTable& table);
// Errors: kMalformed, also if an index is out of range.
Result<OwnershipTable> DecodeTable(std::string_view text);

const TableHost* FindHost(const OwnershipTable& table, std::string_view id);
const TableService* FindService(const OwnershipTable& table,
                                std::string_view name);
const TableUpstream* FindUpstream(const OwnershipTable& table,
                                  std::string_view id);

// Returns the upstream that may serve `shard` now, or null if there is none.
const TableUpstream* OwnerOf(const OwnershipTable& table,
                             std::string_view service, uint32_t shard);

// Returns the shards that `upstream` may serve now.
ShardSet OwnedShards(const OwnershipTable& table,
                     const TableUpstream& upstream);

}  // namespace mimosadeal
