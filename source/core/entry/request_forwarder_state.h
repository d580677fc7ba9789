// State of one request in RequestForwarder; shared by the files that implement
// the class.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/exchange_relay.h"
#include "entry/request_forwarder.h"

namespace mimosadeal {

// A planned move of a key takes 0.2 to 0.5 s.
inline constexpr Duration kRetryAfterNoOwner = std::chrono::milliseconds(400);
// Delay before a request for a key is retried whose owner does not hold the key
// yet, or did not accept a connection.
inline constexpr Duration kOwnerRecheckDelay = std::chrono::milliseconds(60);

// When, and why not before, one of the upstreams that could serve a request may
// be used; kForever if none of them is excluded only for a time.
struct NextChance {
  MonotonicTime at = kForever;
  RefusalReason reason = RefusalReason::kNone;
};

// The result of a search for room.
struct RoomSearch {
  // Whether an upstream may be used, though it may be full.
  bool any_usable = false;
  bool alone = false;  // What was found is not lent.
  NextChance next;
};

// Allows one request to one incarnation of an upstream.
struct SendPermit {
  std::string upstream;
  int64_t incarnation = 0;
  MonotonicTime valid_until = kNever;
};

// A place that this host got for a request at a contended owner.
struct HeldPlace {
  uint64_t id = 0;  // See PermitDecision::place.
  std::string upstream;
  int64_t incarnation = 0;
  std::string zone;
  bool used = false;  // The request was sent.
};

// The second try of a request, or what is known before it is sent.
struct HedgeState {
  uint64_t timer = 0;  // Fires when the response of the first try is late.
  MonotonicTime first_sent_at = kNever;
  bool sent = false;
  // Number of the second try; see PendingRequest::try_number.
  int second_try = 0;
  // The other try in flight, with the fields of PendingRequest of these names.
  // Invariant: if its call is not 0, neither is that of PendingRequest.
  int try_number = 0;
  PoolCallId call = 0;
  std::string called;
  bool newly_tried = false;
  MonotonicTime sent_at = kNever;
  int waiting_ahead = 0;
};

struct RequestForwarder::PendingRequest {
  ExchangeId exchange = 0;
  CallerRequest request;
  std::shared_ptr<const RouteTable> routes;  // Owns `route` and `service`.
  const Route* route = nullptr;
  const ServiceConfig* service = nullptr;
  MonotonicTime received = kNever;
  MonotonicTime deadline = kForever;  // The caller's.
  // The caller's deadline, or the end of the route's timeout if that is
  // earlier.
  MonotonicTime give_up_at = kForever;
  // End of the wait for an owner; kNever until the first wait.
  MonotonicTime wait_until = kNever;
  RefusalReason wait_reason = RefusalReason::kNone;
  bool waiting = false;  // For an owner.
  // The old owner, while the request waits for a move; see WaitsForMove.
  std::string moving_from;
  MonotonicTime send_after = kNever;  // After a move that it waited for.
  std::vector<std::string> tried;     // Upstreams that it was sent to.
  // Without those that failed before the request was written.
  int sends = 0;
  // Sent to the caller without jitter; zero uses the refusal's own value.
  Duration retry_after{};
  // End of the wait for permits; kNever until the first is asked for.
  MonotonicTime permit_wait_until = kNever;
  // Upstream that a permit is asked for; empty while none is.
  std::string permit_asked_for;
  std::optional<SendPermit> permit;
  std::optional<HeldPlace> place;  // Not returned yet.
  int tries = 0;                   // Number of calls that were begun.
  int try_number = 0;              // Of the last call, counted from 1.
  bool room_waiting = false;       // In the queue of its service.
  bool room_turn = false;          // It came out of that queue.
  PoolCallId call = 0;             // 0 while none is in flight.
  RelayCallId relay_call = 0;      // As `call`, through another host.
  std::string called;              // Upstream of the last call.
  bool newly_tried = false;        // That call added it to `tried`.
  bool may_have_run = false;       // At a call that has ended.
  MonotonicTime sent_at = kNever;
  MonotonicTime send_by = kForever;  // See ExchangeRequest; of the last call.
  // Requests expected to wait for a slot before this one when it was sent.
  int waiting_ahead = 0;
  HedgeState hedge;
  uint64_t give_up_timer = 0;
  uint64_t wait_timer = 0;
  uint64_t fingerprint = 0;
  bool trial = false;  // See SuspectVerdict; it is not retried.

  bool idempotent() const {
    return route->idempotency == Idempotency::kIdempotent;
  }
};

}  // namespace mimosadeal
