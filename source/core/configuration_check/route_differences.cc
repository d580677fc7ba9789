#include "configuration_check/route_differences.h"

#include <cstdio>
#include <map>
#include <utility>

namespace mimosadeal {
namespace {

using Field = ConfigurationField;

// A field of an entry, with its value as text.
struct FieldValue {
  Field field = Field::kName;
  std::string value;
};

// An entry of a document: a service, a route or the limits.
struct Entry {
  std::string pointer;
  std::vector<FieldValue> values;  // In the same order for all of a kind.
};

// By what makes an entry the same one in another document.
using Entries = std::map<std::string, Entry>;

std::string NumberText(double number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.10g", number);
  return text;
}

std::string SharesText(const std::vector<WeightedService>& shares) {
  std::string text;
  for (const WeightedService& share : shares) {
    if (!text.empty()) text += ", ";
    text += Quoted(share.service) + " " + NumberText(share.weight);
  }
  return text;
}

Entries ServiceEntries(const RouteDocument& document) {
  Entries entries;
  for (const DocumentService& item : document.services) {
    const ServiceConfig& service = item.service;
    // As hosts do, takes the last one of a name.
    entries["service " + Quoted(service.name)] = {
        item.pointer,
        {{Field::kHealthPath, Quoted(service.health_path)},
         {Field::kMaxConnections, std::to_string(service.max_connections)},
         {Field::kKeyed, service.keyed ? "true" : "false"},
         {Field::kKeyWarmupTime, MillisecondsText(service.key_warmup_time)},
         {Field::kWarmupTime, MillisecondsText(service.warmup_time)},
         {Field::kWarmupRequestsPerSecond,
          NumberText(service.warmup_requests_per_second)}}};
  }
  return entries;
}

Entries RouteEntries(const RouteDocument& document) {
  Entries entries;
  for (const DocumentRoute& item : document.routes) {
    const Route& route = item.route;
    const bool repeatable = route.idempotency == Idempotency::kIdempotent;
    Entry entry = {
        item.pointer,
        {{Field::kName, Quoted(route.name)},
         {Field::kIdempotency, repeatable ? "idempotent" : "non-idempotent"},
         {Field::kTimeout, MillisecondsText(route.timeout)},
         {Field::kTargetLatency, MillisecondsText(route.target_latency)},
         {Field::kRank, std::to_string(route.rank)},
         {Field::kMaxUpstreams, std::to_string(route.max_upstreams)},
         {item.is_split ? Field::kSplit : Field::kService,
          SharesText(route.weighted_services)}}};
    // As hosts do, takes the first one of a prefix.
    entries.try_emplace(
        "route " + Quoted(item.host) + " " + Quoted(route.path_prefix),
        std::move(entry));
  }
  return entries;
}

Entries LimitEntries(const RouteDocument& document) {
  const CallerLimits& limits = document.limits;
  Entry entry = {
      "/" + std::string(document.field_name(Field::kLimits)),
      {{Field::kMaxHeaderBytes, std::to_string(limits.max_header_bytes)},
       {Field::kMaxBodyBytes, std::to_string(limits.max_body_bytes)},
       {Field::kHeaderTimeout, MillisecondsText(limits.header_timeout)},
       {Field::kIdleTimeout, MillisecondsText(limits.idle_timeout)}}};
  return {{"limits", std::move(entry)}};
}

void CompareEntries(const Entries& before, const Entries& after,
                    const RouteDocument& document, Findings& findings) {
  const auto add = [&findings](std::string pointer, std::string message) {
    findings.push_back({FindingSeverity::kDifference, std::move(pointer),
                        std::move(message), 0});
  };
  for (const auto& [name, entry] : before) {
    if (!after.contains(name)) add("", name + " is removed");
  }
  for (const auto& [name, entry] : after) {
    const auto found = before.find(name);
    if (found == before.end()) {
      add(entry.pointer, name + " is new");
      continue;
    }
    const std::vector<FieldValue>& values = found->second.values;
    for (size_t i = 0; i < entry.values.size(); ++i) {
      const FieldValue& value = entry.values[i];
      if (value.value == values[i].value) continue;
      add(entry.pointer + "/" + std::string(document.field_name(value.field)),
          name + ": " + value.value + ", was " + values[i].value);
    }
  }
}

std::string VersionText(uint64_t version) { return std::to_string(version); }

}  // namespace

Findings DescribeDifferences(const RouteDocument& before,
                             const RouteDocument& after) {
  Findings findings;
  CompareEntries(LimitEntries(before), LimitEntries(after), after, findings);
  CompareEntries(ServiceEntries(before), ServiceEntries(after), after,
                 findings);
  CompareEntries(RouteEntries(before), RouteEntries(after), after, findings);
  const std::string pointer =
      "/" + std::string(after.field_name(Field::kVersion));
  if (after.version > before.version) {
    findings.insert(findings.begin(), {FindingSeverity::kDifference, pointer,
                                       VersionText(after.version) + ", was " +
                                           VersionText(before.version),
                                       0});
  } else if (after.version < before.version || !findings.empty()) {
    findings.insert(
        findings.begin(),
        {FindingSeverity::kError, pointer,
         VersionText(after.version) + " is not above the version in force, " +
             VersionText(before.version) + ": hosts ignore it",
         0});
  }
  return findings;
}

}  // namespace mimosadeal
