#include "configuration/configuration_parser.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "common/enum_names.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

constexpr uint32_t kDefaultShards = 4096;
constexpr uint32_t kMaxShards = 65536;
constexpr size_t kMaxServices = 256;
constexpr size_t kMaxRanks = 16;
constexpr size_t kMaxRules = 256;

// Reads the members of one JSON object. Collects a fault for each invalid
// member and, on destruction, for each member that was not read.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string path,
               std::vector<ConfigurationFault>& faults)
      : object_(object), path_(std::move(path)), faults_(faults) {
    if (!object_.is_object()) Fault("", "must be an object");
  }

  ~ObjectReader() {
    if (!object_.is_object()) return;
    for (const auto& [name, value] : object_.items()) {
      if (read_members_.count(name) == 0) Fault(name, "is not a known member");
    }
  }
  ObjectReader(const ObjectReader&) = delete;
  ObjectReader& operator=(const ObjectReader&) = delete;

  const Json* Member(const std::string& name) {
    read_members_.insert(name);
    if (!object_.is_object()) return nullptr;
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
  }

  double Number(const std::string& name, double fallback, double minimum,
                double maximum) {
    const Json* value = Member(name);
    if (value == nullptr) return fallback;
    const double number =
        value->is_number() ? value->get<double>() : minimum - 1;
    if (number >= minimum && number <= maximum) return number;
    Fault(name, "must be a number from " + Json(minimum).dump() + " to " +
                    Json(maximum).dump());
    return fallback;
  }

  int64_t Integer(const std::string& name, int64_t fallback, int64_t minimum,
                  int64_t maximum) {
    const Json* value = Member(name);
    if (value == nullptr) return fallback;
    if (value->is_number_integer() && *value >= minimum && *value <= maximum)
      return value->get<int64_t>();
    Fault(name, "must be a whole number from " + std::to_string(minimum) +
                    " to " + std::to_string(maximum));
    return fallback;
  }

  bool Boolean(const std::string& name, bool fallback) {
    const Json* value = Member(name);
    if (value == nullptr) return fallback;
    if (value->is_boolean()) return value->get<bool>();
    Fault(name, "must be true or false");
    return fallback;
  }

  std::string String(const std::string& name, const std::string& fallback) {
    const Json* value = Member(name);
    if (value == nullptr) return fallback;
    if (value->is_string()) return value->get<std::string>();
    Fault(name, "must be a text");
    return fallback;
  }

  std::string RequiredString(const std::string& name) {
    if (Member(name) != nullptr) return String(name, "");
    Fault(name, "is required");
    return "";
  }

  std::vector<std::string> StringList(const std::string& name) {
    std::vector<std::string> strings;
    const Json* value = Member(name);
    if (value == nullptr) return strings;
    if (!value->is_array()) {
      Fault(name, "must be a list of texts");
      return strings;
    }
    for (const Json& element : *value) {
      if (element.is_string()) {
        strings.push_back(element.get<std::string>());
      } else {
        Fault(name, "must be a list of texts");
      }
    }
    return strings;
  }

  void Fault(const std::string& name, const std::string& message) {
    faults_.push_back({name.empty() ? path_ : path_ + "/" + name, message});
  }

  std::string MemberPath(const std::string& name) const {
    return path_ + "/" + name;
  }
  std::vector<ConfigurationFault>& faults() { return faults_; }

 private:
  const Json& object_;
  std::string path_;
  std::vector<ConfigurationFault>& faults_;
  std::set<std::string> read_members_;
};

Duration Milliseconds(double count) {
  return std::chrono::microseconds(static_cast<int64_t>(count * 1000));
}

void ReadRanks(ObjectReader& reader, ServiceConfiguration& service) {
  const Json* ranks = reader.Member("ranks");
  if (ranks == nullptr || !ranks->is_object() || ranks->empty() ||
      ranks->size() > kMaxRanks) {
    reader.Fault("ranks", "must be an object of 1 to " +
                              std::to_string(kMaxRanks) + " ranks");
    return;
  }
  double total_share = 0;
  for (const auto& [name, value] : ranks->items()) {
    ObjectReader rank_reader(value, reader.MemberPath("ranks/" + name),
                             reader.faults());
    RankPolicy rank;
    rank.name = name;
    rank.order = static_cast<int>(rank_reader.Integer("order", 0, 0, 1000));
    rank.target =
        Milliseconds(rank_reader.Number("target_ms", 1000, 0.1, 3.6e6));
    rank.worth = rank_reader.Number("worth", 1, 0, 1e9);
    rank.share = rank_reader.Number("share", 0, 0, 1);
    total_share += rank.share;
    service.ranks.push_back(rank);
  }
  if (total_share > 1.0)
    reader.Fault("ranks", "the shares add up to more than 1");
  std::stable_sort(service.ranks.begin(), service.ranks.end(),
                   [](const RankPolicy& a, const RankPolicy& b) {
                     return a.order < b.order;
                   });
}

void ReadRules(ObjectReader& reader, ServiceConfiguration& service) {
  const Json* rules = reader.Member("rules");
  if (rules == nullptr) return;
  if (!rules->is_array() || rules->size() > kMaxRules) {
    reader.Fault("rules", "must be a list of at most " +
                              std::to_string(kMaxRules) + " rules");
    return;
  }
  size_t index = 0;
  for (const Json& value : *rules) {
    const std::string name = "rules/" + std::to_string(index++);
    ObjectReader rule_reader(value, reader.MemberPath(name), reader.faults());
    RequestRule rule;
    rule.method = rule_reader.String("method", "");
    rule.path_prefix = rule_reader.String("path", "/");
    rule.rank = rule_reader.String("rank", service.default_rank);
    rule.idempotent = rule_reader.Boolean("idempotent", false);
    if (FindRank(service, rule.rank) == nullptr)
      rule_reader.Fault("rank", "is not a rank of this service");
    service.rules.push_back(rule);
  }
}

ServiceConfiguration ReadService(const std::string& name, const Json& value,
                                 std::vector<ConfigurationFault>& faults) {
  ServiceConfiguration service;
  ObjectReader reader(value, "/services/" + name, faults);
  service.name = name;
  service.divided_by_key = reader.Boolean("divided_by_key", true);
  service.key_path_segment =
      static_cast<int>(reader.Integer("key_path_segment", 0, 0, 16));
  service.shards = static_cast<uint32_t>(
      reader.Integer("shards", kDefaultShards, 1, kMaxShards));
  service.zones = reader.StringList("zones");
  std::sort(service.zones.begin(), service.zones.end());
  if (service.zones.empty())
    reader.Fault("zones", "must name at least one availability zone");
  const std::string zone_loss = reader.String("zone_loss", "wait");
  if (zone_loss == "reassign") {
    service.zone_loss = ZoneLoss::kReassign;
  } else if (zone_loss != "wait") {
    reader.Fault("zone_loss", "must be \"wait\" or \"reassign\"");
  }
  service.reassign_after =
      Milliseconds(reader.Number("reassign_after_ms", 30000, 1000, 3.6e6));
  service.upstreams_check_grants =
      reader.Boolean("upstreams_check_grants", true);
  service.slots = static_cast<int>(reader.Integer("slots", 1, 1, 1024));
  service.connections =
      static_cast<int>(reader.Integer("connections", 300, 2, 65536));
  service.accept_without_id = reader.Boolean("accept_without_id", false);
  ReadRanks(reader, service);
  service.default_rank = reader.RequiredString("default_rank");
  if (FindRank(service, service.default_rank) == nullptr) {
    reader.Fault("default_rank", "is not a rank of this service");
  }
  ReadRules(reader, service);
  return service;
}

}  // namespace

ParsedConfiguration ParseConfiguration(const Json& document, uint64_t version) {
  ParsedConfiguration parsed;
  parsed.configuration.version = version;
  ObjectReader reader(document, "", parsed.faults);
  const Json* services = reader.Member("services");
  if (services != nullptr &&
      (!services->is_object() || services->size() > kMaxServices)) {
    reader.Fault("services", "must be an object of at most " +
                                 std::to_string(kMaxServices) + " services");
    services = nullptr;
  }
  if (services != nullptr) {
    for (const auto& [name, value] : services->items()) {
      parsed.configuration.services.emplace(
          name, ReadService(name, value, parsed.faults));
    }
  }
  // Drains are members of an object rather than elements of a list, so that a
  // merge patch can add or remove a single one.
  const Json* drains = reader.Member("drains");
  if (drains != nullptr) {
    ObjectReader drain_reader(*drains, "/drains", parsed.faults);
    if (drains->is_object()) {
      for (const auto& [id, value] : drains->items()) {
        if (drain_reader.Boolean(id, false))
          parsed.configuration.drained_upstreams.insert(id);
      }
    }
  }
  return parsed;
}

std::vector<ConfigurationFault> CheckImmutableFields(
    const Configuration& current, const Configuration& next) {
  std::vector<ConfigurationFault> faults;
  for (const auto& [name, service] : next.services) {
    const auto found = current.services.find(name);
    if (found == current.services.end()) continue;
    const std::string path = "/services/" + name;
    if (found->second.shards != service.shards)
      faults.push_back({path + "/shards", "cannot change"});
    if (found->second.zones != service.zones)
      faults.push_back({path + "/zones", "cannot change"});
    if (found->second.divided_by_key != service.divided_by_key) {
      faults.push_back({path + "/divided_by_key", "cannot change"});
    }
  }
  return faults;
}

}  // namespace mimosadeal
