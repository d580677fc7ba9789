// Runs the soak test with one seed for a short time. A seed that fails gets a
// test of its own here. scripts/soak FIRST LAST runs it with more seeds.
#include "soak.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>

#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::seconds;

constexpr uint64_t kSeed = 1;
constexpr Duration kRunTime = seconds(20);

class SoakTest : public EntryTest {
 public:
  void RunSeed(uint64_t seed, Duration time) {
    Soak soak(fixture, seed);
    const std::vector<std::string> violations = soak.Run(time);
    for (const std::string& violation : violations)
      UT_PRINT(("seed " + std::to_string(seed) + ": " + violation).c_str());
    if (!violations.empty())
      UT_PRINT(("the logs of the hosts are in " + fixture.directory()).c_str());
    LONGS_EQUAL(0, violations.size());
    fixture.CheckRecord();
  }
};

TEST_GROUP_BASE(Soak, SoakTest){};

TEST(Soak, ASeededRunBreaksNoPromise) {
  const char* seed_text = std::getenv("MIMOSADEAL_SOAK_SEED");
  RunSeed(seed_text == nullptr ? kSeed : std::strtoull(seed_text, nullptr, 10),
          kRunTime);
}

}  // namespace
}  // namespace mimosadeal
