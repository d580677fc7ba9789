// Tests of parsing socket addresses.
#include "net/socket_address.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

TEST_GROUP(SocketAddress){};

TEST(SocketAddress, ParsesNumericAddressesOfBothFamilies) {
  STRCMP_EQUAL("127.0.0.1:80",
               ParseSocketAddress("127.0.0.1:80").value().ToString().c_str());
  STRCMP_EQUAL("[::1]:80",
               ParseSocketAddress("[::1]:80").value().ToString().c_str());
}

TEST(SocketAddress, RejectsHostNamesAndInvalidPorts) {
  for (const char* text : {"localhost:80", "127.0.0.1", "127.0.0.1:",
                           "127.0.0.1:70000", "127.0.0.1:8x", ""}) {
    CHECK_FALSE(ParseSocketAddress(text).has_value());
  }
}

}  // namespace
}  // namespace mimosadeal
