#include "entry/relay_budget.h"

#include <utility>

namespace mimosadeal {
namespace {

// Other hosts' requests leave the same room for those of this host's callers.
constexpr size_t kShareDivisor = 2;

ByteUse UseOf(RelayUse use) {
  switch (use) {
    case RelayUse::kRequests:
      return ByteUse::kRequestBodies;
    case RelayUse::kReplies:
      return ByteUse::kUnreadResponses;
    case RelayUse::kOwnReplies:
      return ByteUse::kUpstreamResponses;
  }
  return ByteUse::kRequestBodies;
}

struct TwoHolds {
  TwoHolds(const std::shared_ptr<ByteBudget>& budget,
           const std::shared_ptr<ByteBudget>& shares, ByteUse use, size_t bytes)
      : whole(budget, use), share(shares, use) {
    whole.Set(bytes);
    share.Set(bytes);
  }
  ByteHold whole;
  ByteHold share;
};

}  // namespace

RelayBudget::RelayBudget(std::shared_ptr<ByteBudget> budget)
    : budget_(std::move(budget)),
      shares_(std::make_shared<ByteBudget>(*budget_)) {
  for (const RelayUse use : {RelayUse::kRequests, RelayUse::kReplies}) {
    BytePart& part = shares_->parts.at(static_cast<size_t>(UseOf(use)));
    if (part.limit == SIZE_MAX) continue;
    part.limit /= kShareDivisor;
    part.small_reserve /= kShareDivisor;
    part.single_limit = part.limit;
  }
}

std::shared_ptr<ByteHold> RelayBudget::Hold(RelayUse use, size_t bytes) const {
  const ByteUse whole = UseOf(use);
  if (!MayHold(*budget_, whole, 0, bytes) ||
      !MayHold(*shares_, whole, 0, bytes))
    return nullptr;
  const auto holds = std::make_shared<TwoHolds>(budget_, shares_, whole, bytes);
  return {holds, &holds->whole};
}

bool RelayBudget::Limits(RelayUse use) const {
  return PartOf(*budget_, UseOf(use)).limit != SIZE_MAX;
}

}  // namespace mimosadeal
