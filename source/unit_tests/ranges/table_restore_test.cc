// Tests of range tables after the store was restored from a copy.
#include "ranges/table_restore.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

TEST_GROUP(TableRestore){KeyRange Range(int first, int last, const char* owner,
                                        const char* zone,
                                        uint64_t generation){KeyRange range;
range.first = first;
range.last = last;
range.owner = owner;
range.zone = zone;
range.generation = generation;
return range;
}  // namespace
RangeTable Table(std::vector<KeyRange> ranges) {
  RangeTable table;
  table.service = "yard";
  table.last_generation = 9;
  table.ranges = std::move(ranges);
  return table;
}
std::string OwnerOf(const RangeTable& table, int key) {
  return FindRange(table, key)->owner;
}
};  // namespace mimosadeal

TEST(TableRestore, GenerationsOfALaterEraAreHigherThanAllEarlierOnes) {
  RangeTable table = Table({Range(0, kLastKey, "a", "north", 9)});
  BeginEra(table, 1);
  const uint64_t first = ++table.last_generation;
  CHECK(first > 9);
  table.last_generation += 1000000;
  const uint64_t last = table.last_generation;
  // The copy has lost them.
  table.last_generation = first;
  BeginEra(table, 2);
  CHECK(++table.last_generation > last);
  LONGS_EQUAL(2, EraOfGeneration(table.last_generation));
  // A table without restores keeps its generations.
  RangeTable unrestored = Table({});
  BeginEra(unrestored, 0);
  LONGS_EQUAL(9, unrestored.last_generation);
}

TEST(TableRestore, OnlyTheZonesOwnRangesCountAsEarlier) {
  const uint64_t current = (uint64_t{2} << kGenerationBits) + 1;
  const RangeTable table = Table({Range(0, 99, "a", "north", current),
                                  Range(100, kLastKey, "b", "south", 9)});
  CHECK_FALSE(HasEarlierRanges(table, "north", 2));
  CHECK(HasEarlierRanges(table, "south", 2));
  CHECK_FALSE(HasEarlierRanges(table, "south", 0));
}

// Guards against keys that are granted by what the copy says: they have moved
// within the zone, out of it and into it.
TEST(TableRestore, TheZonesKeysGetTheOwnersThatItsHolderKnows) {
  const RangeTable stored =
      Table({Range(0, 99, "n1", "north", 1), Range(100, 199, "n1", "north", 2),
             Range(200, 299, "s1", "south", 3),
             Range(300, kLastKey, "s1", "south", 4)});
  const RangeTable known = Table(
      {Range(0, 49, "n1", "north", 1), Range(50, 99, "n2", "north", 5),
       Range(100, 199, "s2", "south", 6), Range(200, 299, "n2", "north", 7),
       Range(300, kLastKey, "s2", "south", 8)});
  const RangeTable restored = RestoreZone(stored, known, "north");
  STRCMP_EQUAL("n1", OwnerOf(restored, 49).c_str());
  STRCMP_EQUAL("n2", OwnerOf(restored, 50).c_str());
  STRCMP_EQUAL("s2", OwnerOf(restored, 150).c_str());
  STRCMP_EQUAL("n2", OwnerOf(restored, 250).c_str());
  // Of another zone in both, whose holder decides.
  STRCMP_EQUAL("s1", OwnerOf(restored, 300).c_str());
  CHECK(FindRange(restored, 50)->generation > stored.last_generation);
}

}  // namespace
}  // namespace mimosadeal
