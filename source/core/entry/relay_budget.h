// The part of a host's byte budget that requests of other hosts, and the
// responses to them, may take.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "net/byte_budget.h"

namespace mimosadeal {

enum class RelayUse : uint8_t {
  kRequests,    // Of other hosts, from their arrival until they are sent.
  kReplies,     // To other hosts that have not read them.
  kOwnReplies,  // To this host's requests, not read completely.
};

class RelayBudget {
 public:
  explicit RelayBudget(std::shared_ptr<ByteBudget> budget);

  // Returns a hold on the bytes, or null if there is no room for them. The
  // result may outlive this object.
  std::shared_ptr<ByteHold> Hold(RelayUse use, size_t bytes) const;
  // Whether the use has a limit, which it does not while the memory is unknown.
  bool Limits(RelayUse use) const;

 private:
  std::shared_ptr<ByteBudget> budget_;
  // The relay's shares of `budget_`'s parts.
  std::shared_ptr<ByteBudget> shares_;
};

}  // namespace mimosadeal
