#include "balance/upstream_paths.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kUpstreams = 20;

MonotonicTime At(int milliseconds_since_start) {
  return MonotonicTime(seconds(100)) + milliseconds(milliseconds_since_start);
}

TEST_GROUP(UpstreamPaths) {
  ServicePaths paths;

  void Fail(const std::vector<std::string>& upstreams, int at,
            bool refused = false) {
    for (const std::string& upstream : upstreams)
      NoteConnectFailed(paths, upstream, refused, At(at));
  }
};

TEST(UpstreamPaths, FailuresAtFiveUpstreamsShowThatThePathsAreLost) {
  Fail({"a", "a", "b", "c", "d"}, 0);
  CHECK_FALSE(IsCutOff(paths, kUpstreams, At(400)));
  Fail({"e"}, 400);
  CHECK(IsCutOff(paths, kUpstreams, At(410)));
}

// Overloaded upstreams drop connections; three at once gave up leases.
TEST(UpstreamPaths, FailuresOfAMomentDoNotShowThatThePathsAreLost) {
  Fail({"a", "b", "c", "d", "e", "f"}, 0);
  CHECK_FALSE(IsCutOff(paths, kUpstreams, At(20)));
  CHECK(OutageOf(paths, kUpstreams, At(20)) == milliseconds(20));
  NoteConnected(paths, "g", At(30));
  Fail({"a", "b", "c", "d", "e", "f"}, 290);
  CHECK_FALSE(IsCutOff(paths, kUpstreams, At(310)));
  Fail({"a"}, 580);
  CHECK(IsCutOff(paths, kUpstreams, At(590)));
}

TEST(UpstreamPaths, RefusalsAtFiveUpstreamsShowItAtOnce) {
  Fail({"a", "b", "c", "d"}, 0, true);
  Fail({"e"}, 0);
  CHECK_FALSE(IsCutOff(paths, kUpstreams, At(10)));
  Fail({"e"}, 10, true);
  CHECK(IsCutOff(paths, kUpstreams, At(10)));
}

TEST(UpstreamPaths, ASuccessAtAnyUpstreamShowsThatThePathsAreThere) {
  Fail({"a", "b", "c", "d", "e", "f"}, 0);
  CHECK(IsCutOff(paths, kUpstreams, At(300)));
  NoteConnected(paths, "g", At(310));
  CHECK_FALSE(IsCutOff(paths, kUpstreams, At(700)));
  CHECK(IsUnreached(paths, "a", At(700)));
  NoteConnected(paths, "a", At(710));
  CHECK_FALSE(IsUnreached(paths, "a", At(720)));
}

TEST(UpstreamPaths, OldFailuresDoNotCount) {
  Fail({"a", "b", "c", "d", "e"}, 0);
  const int later = static_cast<int>(ToMilliseconds(kPathEvidenceAge)) + 1;
  CHECK_FALSE(IsCutOff(paths, kUpstreams, At(later)));
  CHECK_FALSE(IsUnreached(paths, "a", At(later)));
  // An outage begins anew after them.
  Fail({"a", "b", "c", "d", "e"}, later);
  CHECK_FALSE(IsCutOff(paths, kUpstreams, At(later + 10)));
}

TEST(UpstreamPaths, AllUpstreamsOfASmallServiceAreEnough) {
  Fail({"a"}, 0);
  CHECK_FALSE(IsCutOff(paths, 2, At(400)));
  Fail({"b"}, 400);
  CHECK(IsCutOff(paths, 2, At(410)));
}

}  // namespace
}  // namespace mimosadeal
