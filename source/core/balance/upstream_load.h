// What this host knows of one upstream's load: its own requests there, and what
// the upstream last said of itself, which ages.
#pragma once

#include <optional>

#include "common/boot_clock.h"
#include "forwarding/caller_request.h"

namespace mimosadeal {

struct UpstreamLoad {
  int slots = 1;
  int in_flight = 0;  // This host's requests at the upstream.
  UpstreamLoadReport reported;
  MonotonicTime reported_at = kNever;
  // Mean time that a slot takes for a request, in seconds; 0 if unknown.
  double service_seconds = 0;
  // After failures to connect: no request is sent before then.
  MonotonicTime connect_backoff_until = kNever;
  int connect_failures = 0;
  // The upstream wants no request from this host before then.
  MonotonicTime rest_until = kNever;
};

// Takes in the report that came with an answer.
void OnLoadReport(UpstreamLoad& load, const UpstreamLoadReport& report,
                  MonotonicTime now);

// Takes in how long an answer took that `waiting_ahead` requests preceded.
void OnServiceTime(UpstreamLoad& load, Duration latency, int waiting_ahead);

// Returns the requests that are probably at the upstream now: what it reported,
// less what it has probably done since, and at least this host's own.
double ExpectedBacklog(const UpstreamLoad& load, MonotonicTime now);

// Returns the time that a request sent now will probably wait for a slot.
Duration ExpectedWait(const UpstreamLoad& load, MonotonicTime now);

// A failure to connect doubles the time for which the upstream is avoided.
void OnConnectFailure(UpstreamLoad& load, MonotonicTime now);
void OnConnected(UpstreamLoad& load);

}  // namespace mimosadeal
