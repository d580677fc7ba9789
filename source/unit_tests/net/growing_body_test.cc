// Tests of the buffer of a body that is being received.
#include "net/growing_body.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

constexpr uint64_t kMebibyte = 1024 * 1024;

TEST_GROUP(GrowingBody){};

TEST(GrowingBody, ASmallBodyHasOneBuffer) {
  LONGS_EQUAL(5, BodyCapacity(5, 1));
  LONGS_EQUAL(kInitialBodyBytes, BodyCapacity(kInitialBodyBytes, 1));
}

// Guards against memory for a stated length whose bytes do not come.
TEST(GrowingBody, ABufferGrowsWithTheBytesThatHaveArrived) {
  for (const uint64_t stated : {uint64_t{64} * kMebibyte, uint64_t{1} << 40,
                                uint64_t{1} << 63, UINT64_MAX}) {
    for (const size_t needed :
         {size_t{1}, kInitialBodyBytes, size_t{1'000'000}}) {
      const size_t capacity = BodyCapacity(stated, needed);
      CHECK(capacity >= needed);
      CHECK(capacity <= 2 * needed + kInitialBodyBytes);
    }
  }
}

TEST(GrowingBody, TheBuffersOfACopyHoldAtMostTheStatedLength) {
  for (const uint64_t stated :
       {kInitialBodyBytes + uint64_t{1}, uint64_t{1'000'001},
        uint64_t{60'000'000}, uint64_t{64} * kMebibyte}) {
    size_t capacity = BodyCapacity(stated, 1);
    while (capacity < stated) {
      const size_t larger = BodyCapacity(stated, capacity + 1);
      CHECK(larger > capacity);
      CHECK(larger <= stated);
      // All of the former buffer, and its copy in the larger one; rounded up.
      CHECK(2 * capacity <= stated + 64);
      capacity = larger;
    }
    CHECK(capacity == stated);
  }
}

TEST(GrowingBody, ABodyWithoutALengthDoublesItsBuffer) {
  LONGS_EQUAL(1024, BodyCapacity(std::nullopt, 1000));
  LONGS_EQUAL(131072, BodyCapacity(std::nullopt, 65537));
}

}  // namespace
}  // namespace mimosadeal
