#include "ranges/incarnation_proof.h"

namespace mimosadeal {

void OnCommandSent(IncarnationProof& proof) { proof.any_order_left = true; }

void OnConnectionBroken(IncarnationProof& proof) { proof.same_life = false; }

void OnReconnected(IncarnationProof& proof,
                   MonotonicTime answered_order_sent_at, MonotonicTime now) {
  if (now - answered_order_sent_at > kShortestRestart) proof.same_life = false;
}

bool MaySendCommand(const IncarnationProof& proof) {
  return proof.same_life || !proof.any_order_left;
}

void ResetProof(IncarnationProof& proof) { proof = {}; }

}  // namespace mimosadeal
