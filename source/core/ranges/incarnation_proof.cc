#include "ranges/incarnation_proof.h"

namespace mimosadeal {

void OnCommandSent(IncarnationProof& proof) { proof.any_command_sent = true; }

void OnConnectionBroken(IncarnationProof& proof) {
  proof.same_incarnation = false;
}

void OnReconnected(IncarnationProof& proof,
                   MonotonicTime answered_command_sent_at, MonotonicTime now) {
  if (now - answered_command_sent_at > kMinRestartTime)
    proof.same_incarnation = false;
}

bool MaySendCommand(const IncarnationProof& proof) {
  return proof.same_incarnation || !proof.any_command_sent;
}

void ResetProof(IncarnationProof& proof) { proof = {}; }

}  // namespace mimosadeal
