#include "ranges/zone_lease.h"

#include <algorithm>

#include "store/store_revision.h"

namespace mimosadeal {

namespace {

// From this speed on a host does not delay a takeover. Known fast hosts have
// 0.5 cores and links of 200 Mbit/s. Hosts with 0.07 cores and 10 Mbit/s could
// not keep up as lease holders of a zone of 40 hosts.
constexpr double kFastCpuShare = 0.4;
constexpr double kFastLinkMbps = 150;

}  // namespace

nlohmann::json EncodeZoneLease(const ZoneLease& lease) {
  nlohmann::json content = {{"holder", lease.holder},
                            {"process", lease.process},
                            {"address", lease.address},
                            {"term", lease.term},
                            {"renewals", lease.renewals}};
  if (lease.era.has_value()) content["era"] = *lease.era;
  return content;
}

Result<ZoneLease> DecodeZoneLease(const std::string& zone, uint64_t revision,
                                  const nlohmann::json& content) {
  const auto is_text = [&content](const char* name) {
    return content.contains(name) && content[name].is_string();
  };
  const auto is_number = [&content](const char* name) {
    return content.contains(name) && content[name].is_number_unsigned();
  };
  if (!content.is_object() || !is_text("holder") || !is_text("process") ||
      !is_text("address") || !is_number("term") || !is_number("renewals")) {
    return MakeError(ErrorCode::kMalformed,
                     "the lease of zone " + zone +
                         " lacks a field or has one of the wrong type");
  }
  ZoneLease lease;
  lease.zone = zone;
  lease.revision = revision;
  lease.holder = content["holder"].get<std::string>();
  lease.process = content["process"].get<std::string>();
  lease.address = content["address"].get<std::string>();
  lease.term = content["term"].get<uint64_t>();
  lease.renewals = content["renewals"].get<uint64_t>();
  if (is_number("era")) lease.era = content["era"].get<uint64_t>();
  return lease;
}

bool IsLatestLease(const ZoneLease& lease) {
  return lease.revision != 0 && lease.era == EraOfRevision(lease.revision);
}

void ObserveLease(LeaseObservation& observation, uint64_t revision,
                  MonotonicTime now) {
  if (observation.revision == revision && observation.since != kNever) return;
  observation.revision = revision;
  observation.since = now;
}

MonotonicTime LeaseExpiry(const LeaseObservation& observation,
                          const ZoneLeaseTiming& timing) {
  const auto lengthened = Duration(static_cast<int64_t>(
      static_cast<double>(timing.duration.count()) * (1 + timing.clock_guard)));
  return observation.since + lengthened + timing.margin;
}

bool LeaseExpired(const LeaseObservation& observation,
                  const ZoneLeaseTiming& timing, MonotonicTime now) {
  return observation.since != kNever && now >= LeaseExpiry(observation, timing);
}

bool LeaseHeld(MonotonicTime renewal_sent_at, const ZoneLeaseTiming& timing,
               MonotonicTime now) {
  return renewal_sent_at != kNever && now - renewal_sent_at < timing.duration;
}

Duration TakeoverDelay(double cpu_share, double link_mbps, Duration max_delay) {
  const double speed = std::clamp(
      std::min(cpu_share / kFastCpuShare, link_mbps / kFastLinkMbps), 0.0, 1.0);
  return Duration(static_cast<int64_t>(static_cast<double>(max_delay.count()) *
                                       (1 - speed)));
}

}  // namespace mimosadeal
