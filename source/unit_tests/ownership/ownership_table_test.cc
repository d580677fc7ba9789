// Tests of the encoding of ownership tables and of lookups in them.
#include "ownership/ownership_table.h"

#include <CppUTest/TestHarness.h>

#include "common/ids.h"

namespace mimosadeal {
namespace {

OwnershipTable MakeTable() {
  OwnershipTable table;
  table.version = {3, 4};
  table.hosts = {{"e1.a", "127.0.0.1:7000", "e2.b", true},
                 {"e2.b", "127.0.0.1:7001", "e1.a", false}};
  table.upstreams = {{"u1", "yard", "127.0.0.1:9100", "e1.a", "e1.a", ""}};
  table.services = {{"yard", {0, kNoUpstream}, {0, 0}, {kNoHost, 1}}};
  return table;
}

TEST_GROUP(OwnershipTable){};

TEST(OwnershipTable, DecodesWhatItEncodes) {
  const OwnershipTable table = MakeTable();
  const OwnershipTable decoded = DecodeTable(EncodeTable(table)).value();
  CHECK_TRUE(decoded.version == table.version && decoded.hosts == table.hosts);
  CHECK_TRUE(decoded.upstreams == table.upstreams &&
             decoded.services == table.services);
}

TEST(OwnershipTable, AnIndexOutsideTheTableIsAnError) {
  OwnershipTable table = MakeTable();
  table.services[0].owners[0] = 1;
  CHECK_FALSE(DecodeTable(EncodeTable(table)).has_value());
  table = MakeTable();
  table.services[0].last_dispatchers[0] = 2;
  CHECK_FALSE(DecodeTable(EncodeTable(table)).has_value());
}

TEST(OwnershipTable, FindsOwnersAndTheirShards) {
  const OwnershipTable table = MakeTable();
  STRCMP_EQUAL("u1", OwnerOf(table, "yard", 0)->id.c_str());
  POINTERS_EQUAL(nullptr, OwnerOf(table, "yard", 1));
  POINTERS_EQUAL(nullptr, OwnerOf(table, "yard", 2));
  POINTERS_EQUAL(nullptr, OwnerOf(table, "other", 0));
  STRCMP_EQUAL("0", OwnedShards(table, table.upstreams[0]).ToRanges().c_str());
}

}  // namespace
}  // namespace mimosadeal
