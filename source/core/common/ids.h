// Random identifiers, a seedable generator for decisions, and the hash that
// spreads keys.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosadeal {

// A small generator (SplitMix64) whose sequence depends only on its seed, so
// that a failing test can be repeated from the seed that it prints.
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}

  uint64_t Next();
  // Returns a value in [0, bound); `bound` must be positive.
  uint64_t Below(uint64_t bound);
  // Returns a value in [0, 1).
  double Unit();

 private:
  uint64_t state_;
};

// Returns a seed from the operating system's generator (getrandom(2)).
uint64_t SystemSeed();

// Returns 128 random bits in hexadecimal, from the operating system's
// generator.
std::string NewUniqueId();

// Returns XXH3-64 of `text`, with `seed` mixed in.
uint64_t HashText(std::string_view text, uint64_t seed = 0);

}  // namespace mimosadeal
