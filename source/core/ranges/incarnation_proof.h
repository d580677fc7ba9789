// Tells whether the next command to an upstream is certain to reach the same
// incarnation of it as the commands before. An upstream may stop and start
// again under the same id and address. The new incarnation must not receive
// keys with a generation that was granted to an earlier one.
//
// An unbroken connection always leads to the incarnation that it was opened to.
// If the peer announces that it closes the connection, a new connection proves
// the same incarnation only if no restart fits between the command that the
// peer answered and the new connection.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

// An upstream needs at least this long to stop and to accept connections again
// at the same address.
inline constexpr Duration kMinRestartTime = std::chrono::milliseconds(150);

struct IncarnationProof {
  // A command may have reached an incarnation of the upstream.
  bool any_command_sent = false;
  // The incarnation that those commands may have reached is the one that the
  // present connection leads to, or, without a connection, the one that the
  // next connection will lead to.
  bool same_incarnation = true;
};

// Records that a command was handed to the connection.
void OnCommandSent(IncarnationProof& proof);
// Records that the connection failed, or ended other than by an announced
// close.
void OnConnectionBroken(IncarnationProof& proof);
// Records a new connection after the peer announced the close of the previous
// one. `answered_command_sent_at` is when the command was sent whose reply
// announced the close.
void OnReconnected(IncarnationProof& proof,
                   MonotonicTime answered_command_sent_at, MonotonicTime now);
// Returns whether a command may be sent. If not, the sender must first replace
// every generation that may have been granted, and then call ResetProof.
bool MaySendCommand(const IncarnationProof& proof);
void ResetProof(IncarnationProof& proof);

}  // namespace mimosadeal
