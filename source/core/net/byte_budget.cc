#include "net/byte_budget.h"

#include <algorithm>
#include <utility>

#include "common/enum_names.h"

namespace mimosadeal {
namespace {

constexpr EnumNames<ByteUse, kByteUses> kByteUseNames = {{
    {ByteUse::kRequestBodies, "request-bodies"},
    {ByteUse::kUpstreamResponses, "upstream-responses"},
    {ByteUse::kUnreadResponses, "unread-responses"},
}};

// Fractions of the host's memory for each use. The remainder is for the process
// itself, up to 30 MB, and for buffers that are larger than their content.
constexpr double kRequestBodiesShare = 0.375;
constexpr double kUpstreamResponsesShare = 0.08;
constexpr double kUnreadResponsesShare = 0.15;
// Lets hosts of 112 MB take the largest body of the known deployments, 64 MB.
constexpr double kSingleBodyShare = 0.6;
// Lets one response be as large as while the memory is not known.
constexpr double kSingleResponseShare = 0.15;
constexpr double kSingleUnreadShare = 0.2;
// Limits the sum while a single holder exceeds its part.
constexpr double kTotalShare = 0.7;
// Fraction of each part for small holders.
constexpr double kSmallReserveShare = 0.125;
// Used while the memory is not known. Buffers that grow, and the gaps that they
// leave, take about three times their content, and the smallest hosts have
// 112 MB.
constexpr size_t kUnknownUpstreamResponses = size_t{16} * 1024 * 1024;
constexpr double kMebibyte = 1024.0 * 1024.0;

constexpr Duration kStretch = std::chrono::seconds(1);
// At this pace a holder's bytes take 32 s; callers of the known deployments
// wait for 10 s at the most.
constexpr size_t kStretchesPerTransfer = 32;
constexpr size_t kMinBytesPerStretch = 1024;

BytePart MakePart(double memory_bytes, double share, double single_share) {
  BytePart part;
  part.limit = static_cast<size_t>(memory_bytes * share);
  part.small_reserve =
      static_cast<size_t>(memory_bytes * share * kSmallReserveShare);
  part.single_limit = static_cast<size_t>(memory_bytes * single_share);
  return part;
}

BytePart& MutablePart(ByteBudget& budget, ByteUse use) {
  return budget.parts.at(static_cast<size_t>(use));
}

bool IsLarge(size_t bytes) { return bytes > kSmallHolderBytes; }

size_t TotalUsed(const ByteBudget& budget) {
  size_t used = 0;
  for (const BytePart& part : budget.parts) used += part.used;
  return used;
}

size_t Excess(size_t wanted, size_t limit) {
  return wanted > limit ? wanted - limit : 0;
}

}  // namespace

std::string_view ByteUseName(ByteUse use) { return NameOf(kByteUseNames, use); }

ByteBudget MakeByteBudget(int64_t memory_mb) {
  ByteBudget budget;
  if (memory_mb <= 0) {
    BytePart& responses = MutablePart(budget, ByteUse::kUpstreamResponses);
    responses.limit = kUnknownUpstreamResponses;
    responses.single_limit = kUnknownUpstreamResponses;
    return budget;
  }
  const double memory = static_cast<double>(memory_mb) * kMebibyte;
  budget.total_limit = static_cast<size_t>(memory * kTotalShare);
  MutablePart(budget, ByteUse::kRequestBodies) =
      MakePart(memory, kRequestBodiesShare, kSingleBodyShare);
  MutablePart(budget, ByteUse::kUpstreamResponses) =
      MakePart(memory, kUpstreamResponsesShare, kSingleResponseShare);
  MutablePart(budget, ByteUse::kUnreadResponses) =
      MakePart(memory, kUnreadResponsesShare, kSingleUnreadShare);
  return budget;
}

const BytePart& PartOf(const ByteBudget& budget, ByteUse use) {
  return budget.parts.at(static_cast<size_t>(use));
}

size_t Shortage(const ByteBudget& budget, ByteUse use, size_t held,
                size_t wanted) {
  const BytePart& part = PartOf(budget, use);
  const size_t others = part.used - held;
  const size_t other_large = part.large_used - (IsLarge(held) ? held : 0);
  const size_t limit =
      IsLarge(wanted) ? part.limit - part.small_reserve : part.limit;
  const bool in_reserve =
      !IsLarge(wanted) && others - other_large + wanted <= part.small_reserve;
  if (in_reserve) return 0;
  const size_t above_total =
      Excess(TotalUsed(budget) - held + wanted, budget.total_limit);
  const bool may_be_alone = IsLarge(wanted) && wanted <= part.single_limit;
  if (may_be_alone && (other_large == 0 || wanted > limit)) {
    const size_t above_alone =
        Excess(others + wanted, part.single_limit + part.small_reserve);
    return std::max({other_large, above_alone, above_total});
  }
  if (wanted > limit) return SIZE_MAX;
  return std::max(Excess(others + wanted, limit), above_total);
}

bool ExceedsTotal(const ByteBudget& budget) {
  return TotalUsed(budget) > budget.total_limit;
}

size_t UpstreamShortage(const ByteBudget& budget) {
  if (budget.total_limit == SIZE_MAX) return 0;
  const BytePart& part = PartOf(budget, ByteUse::kUpstreamResponses);
  return Excess(TotalUsed(budget) - part.used + std::max(part.used, part.limit),
                budget.total_limit);
}

bool MayHold(const ByteBudget& budget, ByteUse use, size_t held,
             size_t wanted) {
  return Shortage(budget, use, held, wanted) == 0;
}

ByteHold::ByteHold(std::shared_ptr<ByteBudget> budget, ByteUse use)
    : budget_(std::move(budget)), use_(use) {}

void ByteHold::Set(size_t bytes) {
  if (budget_ == nullptr) return;
  BytePart& part = MutablePart(*budget_, use_);
  part.used -= bytes_;
  if (bytes_ > 0) --part.holders;
  if (IsLarge(bytes_)) part.large_used -= bytes_;
  bytes_ = bytes;
  part.used += bytes_;
  if (bytes_ > 0) ++part.holders;
  if (IsLarge(bytes_)) part.large_used += bytes_;
}

void RestartProgress(TransferProgress& progress, uint64_t moved,
                     MonotonicTime now) {
  progress = {now, moved, false};
}

void JudgeProgress(TransferProgress& progress, uint64_t moved, size_t held,
                   MonotonicTime now) {
  if (now - progress.stretch_began_at < kStretch) return;
  const size_t least =
      std::max(kMinBytesPerStretch, held / kStretchesPerTransfer);
  progress.stalled = moved - progress.moved_before < least;
  progress.stretch_began_at = now;
  progress.moved_before = moved;
}

std::vector<uint64_t> ChooseEvictions(std::vector<EvictionCandidate> candidates,
                                      size_t needed, EvictionScope scope) {
  if (scope == EvictionScope::kStalledOnly) {
    std::erase_if(candidates, [](const auto& one) { return !one.stalled; });
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const EvictionCandidate& left, const EvictionCandidate& right) {
              if (left.stalled != right.stalled) return left.stalled;
              return left.bytes > right.bytes;
            });
  std::vector<uint64_t> chosen;
  size_t freed = 0;
  for (const EvictionCandidate& candidate : candidates) {
    if (freed >= needed) break;
    chosen.push_back(candidate.id);
    freed += candidate.bytes;
  }
  if (freed < needed) chosen.clear();
  return chosen;
}

}  // namespace mimosadeal
