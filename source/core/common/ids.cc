#include "common/ids.h"

#include <sys/random.h>
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <cstdlib>

namespace mimosadeal {

uint64_t Random::Next() {
  state_ += 0x9E3779B97F4A7C15ULL;
  uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

uint64_t Random::Below(uint64_t bound) { return Next() % bound; }

double Random::Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

uint64_t SystemSeed() {
  uint64_t seed = 0;
  if (getrandom(&seed, sizeof(seed), 0) != static_cast<ssize_t>(sizeof(seed)))
    std::abort();
  return seed;
}

std::string NewUniqueId() {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(SystemSeed()),
                static_cast<unsigned long long>(SystemSeed()));
  return text.data();
}

uint64_t HashText(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace mimosadeal
