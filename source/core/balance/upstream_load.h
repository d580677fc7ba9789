// This host's estimate of the load of one upstream, from its own requests in
// flight and from the upstream's latest load report, which loses weight with
// age.
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
  // No request is sent before this time, because connecting failed.
  MonotonicTime connect_backoff_until = kNever;
  int connect_failures = 0;
  // No other host is asked to send it a request before this time, because one
  // did not reach it either.
  MonotonicTime relay_backoff_until = kNever;
  // End of a rest: the upstream asked this host for no requests before it.
  MonotonicTime rest_until = kNever;
  // No permit to send it a request is available to this host before this time.
  MonotonicTime limited_until = kNever;
};

// Records a load report that an upstream sent with a response.
void OnLoadReport(UpstreamLoad& load, const UpstreamLoadReport& report,
                  MonotonicTime now);

// Updates the mean service time from the latency of a response. `waiting_ahead`
// is the number of requests that waited for a slot when the request was sent.
void OnServiceTime(UpstreamLoad& load, Duration latency, int waiting_ahead);

// Returns the estimated number of requests at the upstream now: the number that
// it reported less those that it has probably finished since, and at least the
// number of this host's own requests.
double ExpectedBacklog(const UpstreamLoad& load, MonotonicTime now);

// Returns the estimated time that a request sent now waits for a slot.
Duration ExpectedWait(const UpstreamLoad& load, MonotonicTime now);

// Starts an exponential backoff: each failure in a row doubles its duration, up
// to a limit.
void OnConnectFailure(UpstreamLoad& load, MonotonicTime now);
void OnConnected(UpstreamLoad& load);

}  // namespace mimosadeal
