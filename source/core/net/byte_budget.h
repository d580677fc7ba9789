// The budget of a host for bytes that it keeps for others: each use of them has
// a part of the host's memory, which no other use can take.
//
// Whoever keeps bytes holds them here before they are read or queued. When a
// part is used up, a new holder is refused, or holders that make no progress
// are evicted; the owners of the connections carry that out.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/boot_clock.h"

namespace mimosadeal {

enum class ByteUse : uint8_t {
  kRequestBodies,      // From callers; being read, or waiting for upstreams.
  kUpstreamResponses,  // Not read completely.
  kUnreadResponses,    // Queued for callers that have not read them.
};

inline constexpr size_t kByteUses = 3;

std::string_view ByteUseName(ByteUse use);

// What one use may take, in bytes.
struct BytePart {
  size_t limit = SIZE_MAX;
  // Of `limit`, for holders of at most kSmallHolderBytes each, whatever others
  // hold.
  size_t small_reserve = 0;
  // A holder that is alone, but for small ones in their reserve, may hold this
  // much.
  size_t single_limit = SIZE_MAX;
  size_t used = 0;
  size_t large_used = 0;  // By holders of more than kSmallHolderBytes.
  size_t holders = 0;     // That hold any bytes.
};

// Ordinary requests and their responses are smaller.
inline constexpr size_t kSmallHolderBytes = size_t{64} * 1024;

struct ByteBudget {
  std::array<BytePart, kByteUses> parts;
  // Of all parts, as single holders may exceed the limits of theirs.
  size_t total_limit = SIZE_MAX;
};

// Returns the budget of a host that may use `memory_mb`. 0: the memory is not
// known, and only unfinished responses of upstreams are limited.
ByteBudget MakeByteBudget(int64_t memory_mb);

const BytePart& PartOf(const ByteBudget& budget, ByteUse use);

// Whether all holders together exceed the total.
bool ExceedsTotal(const ByteBudget& budget);

// How many bytes have to be given back so that responses of upstreams can use
// their part without exceeding the total.
size_t UpstreamShortage(const ByteBudget& budget);

// Whether a holder of `held` bytes may hold `wanted`, which is more.
bool MayHold(const ByteBudget& budget, ByteUse use, size_t held, size_t wanted);
// How many bytes others have to give back before it may; 0 if it may now,
// SIZE_MAX if it never may.
size_t Shortage(const ByteBudget& budget, ByteUse use, size_t held,
                size_t wanted);

// Counts what one holder holds; gives it back when it is destroyed. Not
// limited by itself: see MayHold.
class ByteHold {
 public:
  ByteHold(std::shared_ptr<ByteBudget> budget, ByteUse use);
  ~ByteHold() { Set(0); }
  ByteHold(const ByteHold&) = delete;
  ByteHold& operator=(const ByteHold&) = delete;

  size_t bytes() const { return bytes_; }
  void Set(size_t bytes);

 private:
  std::shared_ptr<ByteBudget> budget_;
  ByteUse use_;
  size_t bytes_ = 0;
};

// Progress of one transfer, judged by stretches of time.
struct TransferProgress {
  MonotonicTime stretch_began_at = kNever;
  uint64_t moved_before = 0;  // At the stretch's begin.
  bool stalled = false;       // In the last complete stretch.
};

// Begins to judge a transfer anew.
void RestartProgress(TransferProgress& progress, uint64_t moved,
                     MonotonicTime now);
// `moved`: bytes transferred so far; `held`: for this transfer. At a pace that
// counts as stalled it would take longer than callers wait.
void JudgeProgress(TransferProgress& progress, uint64_t moved, size_t held,
                   MonotonicTime now);

struct EvictionCandidate {
  uint64_t id = 0;
  size_t bytes = 0;
  bool stalled = false;
};

enum class EvictionScope : uint8_t {
  kStalledOnly,   // No one is evicted if that does not suffice.
  kStalledFirst,  // Then those that hold most.
};

// Returns whom to evict so that `needed` bytes are given back: of the stalled
// ones, those that hold most.
std::vector<uint64_t> ChooseEvictions(std::vector<EvictionCandidate> candidates,
                                      size_t needed, EvictionScope scope);

}  // namespace mimosadeal
