#include "balance/upstream_load.h"

#include <algorithm>
#include <cmath>

namespace mimosadeal {
namespace {

// Weight of a new service time in the mean: about the last ten count.
constexpr double kServiceTimeWeight = 0.1;
// Until a service time was seen.
constexpr double kAssumedServiceSeconds = 0.1;
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(250);
constexpr Duration kLongestAvoidance = std::chrono::seconds(2);
constexpr int kMostDoublings = 3;

double ServiceSeconds(const UpstreamLoad& load) {
  return load.service_seconds > 0 ? load.service_seconds
                                  : kAssumedServiceSeconds;
}

}  // namespace

void OnLoadReport(UpstreamLoad& load, const UpstreamLoadReport& report,
                  MonotonicTime now) {
  load.reported = report;
  load.reported_at = now;
  if (report.slots > 0) load.slots = report.slots;
}

void OnServiceTime(UpstreamLoad& load, Duration latency, int waiting_ahead) {
  const double rounds = 1 + static_cast<double>(std::max(0, waiting_ahead)) /
                                std::max(1, load.slots);
  const double seconds = ToSeconds(latency) / rounds;
  load.service_seconds =
      load.service_seconds == 0
          ? seconds
          : load.service_seconds +
                kServiceTimeWeight * (seconds - load.service_seconds);
}

double ExpectedBacklog(const UpstreamLoad& load, MonotonicTime now) {
  const double own = load.in_flight;
  if (load.reported_at == kNever) return own;
  const double age = ToSeconds(now - load.reported_at);
  const double reported = load.reported.running + load.reported.waiting;
  // What was there at the report leaves at the upstream's rate; what others
  // send meanwhile is unknown, so the report loses its weight instead.
  return std::max(own, reported * std::exp(-age / ServiceSeconds(load)));
}

Duration ExpectedWait(const UpstreamLoad& load, MonotonicTime now) {
  const double ahead = ExpectedBacklog(load, now) + 1 - load.slots;
  if (ahead <= 0) return Duration::zero();
  const double seconds = ahead / std::max(1, load.slots) * ServiceSeconds(load);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

void OnConnectFailure(UpstreamLoad& load, MonotonicTime now) {
  const int doublings = std::min(load.connect_failures, kMostDoublings);
  ++load.connect_failures;
  load.connect_backoff_until =
      now + std::min(kLongestAvoidance, kFirstAvoidance * (1 << doublings));
}

void OnConnected(UpstreamLoad& load) {
  load.connect_failures = 0;
  load.connect_backoff_until = kNever;
}

}  // namespace mimosadeal
