// The whole path of a request: from the caller through the ingress host and the
// dispatcher on another host to the upstream, and back.

#include <CppUTest/TestHarness.h>

#include "test_fixture.h"

namespace mimosadeal {
namespace {

TEST_GROUP(WholePath){};

// Guards against hosts that cannot reach the dispatcher of some keys, and
// against keys that stay without an owner after their upstream was lost.
TEST(WholePath, EveryHostServesEveryKeyAndALostUpstreamIsReplaced) {
  TestFixture fixture(YardLayout({"a"}, 3, 2));
  fixture.Start();
  for (const EntryHost& host : fixture.deployment().hosts()) {
    for (int key = 0; key < 20; ++key) {
      const ClientResponse response = fixture.Hold(
          host, std::to_string(key), host.id + "-" + std::to_string(key));
      LONGS_EQUAL(200, response.status);
      STRCMP_EQUAL(("hold of " + std::to_string(key) + " by " + host.id + "-" +
                    std::to_string(key))
                       .c_str(),
                   response.body.c_str());
    }
  }
  fixture.deployment().Upstream("yard-a1").process.Kill();
  const EntryHost& host = fixture.deployment().hosts().front();
  const bool served = fixture.client().RunUntil(
      [&] {
        for (int key = 0; key < 20; ++key) {
          if (fixture.Lookup(host, std::to_string(key)).status != 200)
            return false;
        }
        return true;
      },
      std::chrono::seconds(20));
  CHECK_TRUE(served);
  fixture.CheckRecords();
}

}  // namespace
}  // namespace mimosadeal
