// A caller's request and an upstream's response, decoded from the protocol of
// the deployment.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "net/http_message.h"
#include "net/shared_body.h"

namespace mimosadeal {

struct CallerRequest {
  std::string id;  // Unique per attempt of the caller.
  std::string method;
  std::string host;
  std::string target;  // Percent-encoded path and query, as received.
  std::string path;    // The target without its query.
  // How long the caller waits for the response, from when it sent the request.
  std::optional<Duration> time_left;
  std::optional<int> key;
  HttpHeaders headers;  // To be forwarded to the upstream.
  SharedBody body;
};

// Load that an upstream may report with a response.
struct UpstreamLoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // How long work takes on the upstream's machine at this moment, relative to
  // the usual time. Changes many times per second.
  double work_time_factor = 1;
};

// What a response says about the limit of its upstream; see UpstreamLimit.
struct StatedLimit {
  std::optional<double> per_second;  // Unset if it states no limit.
  // If not empty, the text that could not be read as a limit. The response then
  // says nothing about it.
  std::string malformed;
};

enum class ResponseKind : uint8_t {
  kUpstreamResponse,  // A response of the upstream itself, of any status.
  kNotRun,            // The upstream states that it did not run the request.
  // Not run: the request reached another upstream than intended, or one that
  // does not own the key.
  kMisdirected,
  kCorrupt,  // The response is not the one that the upstream sent.
};

struct UpstreamResponse {
  ResponseKind kind = ResponseKind::kUpstreamResponse;
  HttpResponse response;  // As sent to the caller.
  std::optional<UpstreamLoadReport> load;
  // The upstream announces that it is leaving: it should get no new requests.
  bool leaving = false;
  // A rest: for this time the upstream asks this host for no requests.
  std::optional<Duration> rest;
  StatedLimit limit;
};

}  // namespace mimosadeal
