#include "ownership/ownership_table.h"

#include <algorithm>

#include "inner/messages.h"

namespace mimosadeal {
namespace {

template <typename Entry>
const Entry* FindById(const std::vector<Entry>& entries, std::string_view id) {
  const auto found =
      std::find_if(entries.begin(), entries.end(),
                   [id](const Entry& entry) { return entry.id == id; });
  return found == entries.end() ? nullptr : &*found;
}

bool IndicesAreValid(const std::vector<uint16_t>& indices, size_t shards,
                     size_t entries) {
  if (indices.size() != shards) return false;
  return std::all_of(indices.begin(), indices.end(), [entries](uint16_t index) {
    return index == kNoUpstream || index < entries;
  });
}

}  // namespace

std::string EncodeTable(const OwnershipTable& table) {
  return EncodeBody(table);
}

Result<OwnershipTable> DecodeTable(std::string_view text) {
  BOOST_OUTCOME_TRY(table, DecodeBody<OwnershipTable>(text));
  for (const TableService& service : table.services) {
    const size_t shards = service.owners.size();
    const size_t upstreams = table.upstreams.size();
    if (!IndicesAreValid(service.owners, shards, upstreams) ||
        !IndicesAreValid(service.targets, shards, upstreams) ||
        !IndicesAreValid(service.last_dispatchers, shards,
                         table.hosts.size())) {
      return MakeError(ErrorCode::kMalformed,
                       "the ownership table has an index out of range");
    }
  }
  return table;
}

const TableHost* FindHost(const OwnershipTable& table, std::string_view id) {
  return FindById(table.hosts, id);
}

const TableUpstream* FindUpstream(const OwnershipTable& table,
                                  std::string_view id) {
  return FindById(table.upstreams, id);
}

const TableService* FindService(const OwnershipTable& table,
                                std::string_view name) {
  const auto found = std::find_if(
      table.services.begin(), table.services.end(),
      [name](const TableService& service) { return service.name == name; });
  return found == table.services.end() ? nullptr : &*found;
}

const TableUpstream* OwnerOf(const OwnershipTable& table,
                             std::string_view service, uint32_t shard) {
  const TableService* entry = FindService(table, service);
  if (entry == nullptr || shard >= entry->owners.size()) return nullptr;
  const uint16_t index = entry->owners[shard];
  return index == kNoUpstream ? nullptr : &table.upstreams[index];
}

ShardSet OwnedShards(const OwnershipTable& table,
                     const TableUpstream& upstream) {
  const TableService* service = FindService(table, upstream.service);
  if (service == nullptr) return ShardSet();
  ShardSet shards(static_cast<uint32_t>(service->owners.size()));
  const auto index = static_cast<uint16_t>(&upstream - table.upstreams.data());
  for (uint32_t shard = 0; shard < service->owners.size(); ++shard) {
    if (service->owners[shard] == index) shards.Add(shard);
  }
  return shards;
}

}  // namespace mimosadeal
