#include "configuration/configuration.h"

#include "common/enum_names.h"
#include "common/ids.h"

namespace mimosadeal {
namespace {

constexpr EnumNames<ZoneLoss, 2> kZoneLossNames = {{
    {ZoneLoss::kWait, "wait"},
    {ZoneLoss::kReassign, "reassign"},
}};

}  // namespace

std::string_view ZoneLossName(ZoneLoss value) {
  return NameOf(kZoneLossNames, value);
}

const RankPolicy* FindRank(const ServiceConfiguration& service,
                           std::string_view rank_name) {
  for (const RankPolicy& rank : service.ranks) {
    if (rank.name == rank_name) return &rank;
  }
  return nullptr;
}

const RequestRule* FindRule(const ServiceConfiguration& service,
                            std::string_view method, std::string_view path) {
  const RequestRule* best = nullptr;
  for (const RequestRule& rule : service.rules) {
    if (!rule.method.empty() && rule.method != method) continue;
    if (!path.starts_with(rule.path_prefix)) continue;
    if (best == nullptr || rule.path_prefix.size() > best->path_prefix.size())
      best = &rule;
  }
  return best;
}

uint32_t ShardOfKey(const ServiceConfiguration& service, std::string_view key) {
  const uint64_t hash = HashText(key, HashText(service.name));
  return static_cast<uint32_t>(hash % service.shards);
}

const std::string& HomeZone(const ServiceConfiguration& service,
                            uint32_t shard) {
  const std::string* best = &service.zones.front();
  uint64_t best_score = 0;
  for (const std::string& zone : service.zones) {
    const uint64_t score = HashText(zone, HashText(service.name, shard));
    if (score < best_score) continue;
    best = &zone;
    best_score = score;
  }
  return *best;
}

}  // namespace mimosadeal
