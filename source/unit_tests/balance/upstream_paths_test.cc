#include "balance/upstream_paths.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kUpstreams = 20;

MonotonicTime At(int milliseconds_since_start) {
  return MonotonicTime(seconds(100)) + milliseconds(milliseconds_since_start);
}

TEST_GROUP(UpstreamPaths) { ServicePaths paths; };

TEST(UpstreamPaths, FailuresAtThreeUpstreamsShowThatThePathsAreLost) {
  NoteConnectFailed(paths, "a", At(0));
  NoteConnectFailed(paths, "a", At(10));
  NoteConnectFailed(paths, "b", At(20));
  CHECK_FALSE(IsCutOff(paths, kUpstreams, At(30)));
  NoteConnectFailed(paths, "c", At(40));
  CHECK(IsCutOff(paths, kUpstreams, At(50)));
}

TEST(UpstreamPaths, ASuccessAtAnyUpstreamShowsThatThePathsAreThere) {
  for (const char* upstream : {"a", "b", "c", "d"})
    NoteConnectFailed(paths, upstream, At(0));
  NoteConnected(paths, "e", At(10));
  CHECK_FALSE(IsCutOff(paths, kUpstreams, At(20)));
  CHECK(IsUnreached(paths, "a", At(20)));
  NoteConnected(paths, "a", At(30));
  CHECK_FALSE(IsUnreached(paths, "a", At(40)));
}

TEST(UpstreamPaths, OldFailuresDoNotCount) {
  for (const char* upstream : {"a", "b", "c"})
    NoteConnectFailed(paths, upstream, At(0));
  const int later = static_cast<int>(ToMilliseconds(kPathEvidenceAge)) + 1;
  CHECK_FALSE(IsCutOff(paths, kUpstreams, At(later)));
  CHECK_FALSE(IsUnreached(paths, "a", At(later)));
}

TEST(UpstreamPaths, AllUpstreamsOfASmallServiceAreEnough) {
  NoteConnectFailed(paths, "a", At(0));
  CHECK_FALSE(IsCutOff(paths, 2, At(10)));
  NoteConnectFailed(paths, "b", At(10));
  CHECK(IsCutOff(paths, 2, At(20)));
}

}  // namespace
}  // namespace mimosadeal
