#include "balance/upstream_load.h"

#include <algorithm>
#include <cmath>

namespace mimosadeal {
namespace {

// Weight of a new sample in the exponential moving average: the mean covers
// about the last ten samples.
constexpr double kServiceTimeWeight = 0.1;
// Used until a service time is known.
constexpr double kAssumedServiceSeconds = 0.1;
constexpr Duration kInitialConnectBackoff = std::chrono::milliseconds(250);
constexpr Duration kMaxConnectBackoff = std::chrono::seconds(2);
constexpr int kMaxBackoffDoublings = 3;

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
  const double service_times =
      1 +
      static_cast<double>(std::max(0, waiting_ahead)) / std::max(1, load.slots);
  const double seconds = ToSeconds(latency) / service_times;
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
  // The reported requests finish at the upstream's rate. The requests that
  // other hosts have sent since are unknown, so the report loses weight with
  // its age.
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
  const int doublings = std::min(load.connect_failures, kMaxBackoffDoublings);
  ++load.connect_failures;
  load.connect_backoff_until =
      now +
      std::min(kMaxConnectBackoff, kInitialConnectBackoff * (1 << doublings));
}

void OnConnected(UpstreamLoad& load) {
  load.connect_failures = 0;
  load.connect_backoff_until = kNever;
}

}  // namespace mimosadeal
