// Random identifiers, a seeded random generator, and the hash function for
// keys.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosadeal {

// A SplitMix64 generator. Its sequence depends only on the seed, so that a
// failing test can be repeated with the seed that it prints.
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

// Returns a random seed from the operating system (getrandom(2)).
uint64_t SystemSeed();

// Returns 128 random bits from the operating system, in hexadecimal.
std::string NewUniqueId();

// Returns the seeded XXH3-64 hash of `text`.
uint64_t HashText(std::string_view text, uint64_t seed = 0);

}  // namespace mimosadeal
