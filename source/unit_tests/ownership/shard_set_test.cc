// Tests of shard sets and their text form.
#include "ownership/shard_set.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

TEST_GROUP(ShardSet){};

TEST(ShardSet, ConvertsToRangesAndBack) {
  ShardSet set(16);
  for (const uint32_t shard : {0U, 1U, 2U, 7U, 9U, 10U, 15U}) set.Add(shard);
  STRCMP_EQUAL("0-2,7,9-10,15", set.ToRanges().c_str());
  CHECK_TRUE(ShardSet::FromRanges("0-2,7,9-10,15", 16).value() == set);
  LONGS_EQUAL(7, set.Count());
}

TEST(ShardSet, RejectsMalformedRanges) {
  for (const char* text :
       {"x", "1-", "3-1", "1,,2", "16", "1;2", "-1", "99999999999"}) {
    CHECK_FALSE(ShardSet::FromRanges(text, 16).has_value());
  }
  CHECK_TRUE(ShardSet::FromRanges("", 16).has_value());
}

}  // namespace
}  // namespace mimosadeal
