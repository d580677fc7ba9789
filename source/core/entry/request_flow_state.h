// One request on its way through a host; shared by the files that implement the
// request flow.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entry/request_flow.h"

namespace mimosadeal {

// A planned move takes 0.2 to 0.5 s.
inline constexpr Duration kRetryAfterNoOwner = std::chrono::milliseconds(400);
// Between looks at whether a granted key has arrived at its new owner.
inline constexpr Duration kMisdirectedPause = std::chrono::milliseconds(60);

struct RequestFlow::Pending {
  ExchangeId exchange = 0;
  CallerRequest request;
  std::shared_ptr<const RouteTable> routes;  // That `route` belongs to.
  const Route* route = nullptr;
  const ServiceConfig* service = nullptr;
  MonotonicTime received = kNever;
  MonotonicTime deadline = kForever;  // The caller's.
  MonotonicTime give_up_at = kForever;
  MonotonicTime hold_until = kNever;  // kNever until the first hold.
  RefusalReason hold_reason = RefusalReason::kNone;
  bool waiting = false;            // For an owner.
  std::vector<std::string> tried;  // Upstreams that it was sent to.
  int sends = 0;
  Duration retry_after{};  // Exact; zero leaves it to the refusal's own.
  PoolCallId call = 0;     // 0 while none is in flight.
  MonotonicTime sent_at = kNever;
  int ahead = 0;  // Requests at the upstream when it was sent.
  uint64_t give_up_timer = 0;
  uint64_t hold_timer = 0;
  uint64_t fingerprint = 0;

  bool idempotent() const {
    return route->idempotency == Idempotency::kIdempotent;
  }
};

}  // namespace mimosadeal
