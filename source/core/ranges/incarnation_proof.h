// Tells whether the next order to an upstream will reach the same life of it as
// the orders before. An upstream may end and start anew under its id and
// address, and the new life must not take keys by a generation that an earlier
// one was granted.
//
// An unbroken connection leads to the life that it was opened to. One that the
// peer closed in order shows it only while no life can have begun since the
// peer's last answer.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

// No upstream ends and serves again at its address within this time.
inline constexpr Duration kShortestRestart = std::chrono::milliseconds(150);

struct IncarnationProof {
  // An order may have reached a life of the upstream.
  bool any_order_left = false;
  // The life that those orders may have reached is the one that the present
  // connection leads to, or the next one if there is none.
  bool same_life = true;
};

// An order was handed to the connection.
void OnCommandSent(IncarnationProof& proof);
// The connection ended, or failed, in any way but an announced close.
void OnConnectionBroken(IncarnationProof& proof);
// A new connection stands after the peer announced the end of the one before in
// its answer to an order that was sent at `answered_order_sent_at`.
void OnReconnected(IncarnationProof& proof,
                   MonotonicTime answered_order_sent_at, MonotonicTime now);
// Whether an order may be sent. When it may not, the sender must first replace
// every generation that may have been granted, and then call ResetProof.
bool MaySendCommand(const IncarnationProof& proof);
void ResetProof(IncarnationProof& proof);

}  // namespace mimosadeal
