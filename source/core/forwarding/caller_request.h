// A caller's request and an upstream's answer, decoded from whatever protocol
// carried them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "net/http_message.h"

namespace mimosadeal {

struct CallerRequest {
  std::string id;  // Unique to this attempt of the caller.
  std::string method;
  std::string host;
  std::string target;  // Encoded path and query, as received.
  std::string path;    // Of the target, without the query.
  // How long the caller waits, from when it sent the request.
  std::optional<Duration> time_left;
  std::optional<int> key;
  HttpHeaders headers;  // To be passed on.
  std::string body;
};

// What an upstream answers when it has a place in its queue for a measurement
// of its load.
struct UpstreamLoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

enum class ResponseKind : uint8_t {
  kUpstreamResponse,  // The upstream's own answer, whatever its status.
  kNotRun,            // The upstream states that it did not run the request.
  kMisdirected,       // Not run: another upstream, or one that lacks the key.
  kCorrupt,           // Not what the upstream meant to say.
};

struct UpstreamResponse {
  ResponseKind kind = ResponseKind::kUpstreamResponse;
  HttpResponse response;  // As it goes to the caller.
  std::optional<UpstreamLoadReport> load;
  // The upstream says that it leaves: it should get nothing new.
  bool leaving = false;
  // For how long the upstream wants no requests from this host.
  std::optional<Duration> rest;
};

}  // namespace mimosadeal
