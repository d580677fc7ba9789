// Tests of formatting text tables.
#include "operator_client/table_text.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

TEST_GROUP(TableText){};

TEST(TableText, AlignsColumns) {
  STRCMP_EQUAL(
      "ID    N\n----  --\na     10\nlong  1\n",
      MakeTableText({"ID", "N"}, {{"a", "10"}, {"long", "1"}}).c_str());
}

}  // namespace
}  // namespace mimosadeal
