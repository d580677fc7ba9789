#include "ranges/life_proof.h"

namespace mimosadeal {

void OnOrderLeaving(LifeProof& proof) { proof.any_order_left = true; }

void OnConnectionBroken(LifeProof& proof) { proof.same_life = false; }

void OnReconnected(LifeProof& proof, MonotonicTime answered_order_sent_at,
                   MonotonicTime now) {
  if (now - answered_order_sent_at > kShortestRestart) proof.same_life = false;
}

bool MaySendOrder(const LifeProof& proof) {
  return proof.same_life || !proof.any_order_left;
}

void Renew(LifeProof& proof) { proof = {}; }

}  // namespace mimosadeal
