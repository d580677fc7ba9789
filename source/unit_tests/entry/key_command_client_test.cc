// Tests of how KeyCommandClient ends commands that get no response.
#include "entry/key_command_client.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <thread>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "platform/deployment.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTimeout = milliseconds(300);
constexpr Duration kRunTime = milliseconds(100);

TEST_GROUP(KeyCommandClient) {
  EventLoop loop{{64, 16, 4096}};
  const DeploymentProtocol protocol = platform::MakeDeploymentProtocol();
  KeyCommandClient client{loop, protocol};
  UpstreamRecord upstream;
  std::vector<KeyCommandResult> results;
  // Accept connections and read nothing.
  std::vector<int> listeners;

  void setup() override {
    upstream.id = "u1";
    upstream.incarnation = 1;
  }

  void teardown() override {
    client.Clear();
    for (const int listener : listeners) close(listener);
  }

  void MoveUpstream(int port) {
    upstream.address = {"127.0.9.1", static_cast<uint16_t>(port)};
    listeners.push_back(ListenTcp(upstream.address).value());
  }

  void Grant(KeyCommandClient::BeforeSend before_send = nullptr) {
    client.Grant(
        upstream, {0, 9, 1, std::chrono::seconds(4), ""}, kTimeout,
        std::move(before_send),
        [this](const KeyCommandResult& result) { results.push_back(result); });
  }

  void RunFor(Duration time) {
    bool done = false;
    loop.timers().After(time, [&done] { done = true; });
    while (!done) loop.RunOnce();
  }
};

TEST(KeyCommandClient, AGrantWithoutAResponseEndsOnce) {
  MoveUpstream(19311);
  Grant();
  RunFor(kTimeout + kRunTime);
  LONGS_EQUAL(1, results.size());
  CHECK(results[0].written);
  CHECK_FALSE(results[0].replied);
}

// Guards against keys that never move: a grant to an address that its upstream
// had left had no end.
TEST(KeyCommandClient, GrantsEndWhenTheirUpstreamChangesItsAddress) {
  MoveUpstream(19312);
  Grant();
  Grant();
  RunFor(kRunTime);
  LONGS_EQUAL(0, results.size());
  MoveUpstream(19313);
  Grant();
  RunFor(kRunTime);
  LONGS_EQUAL(2, results.size());
  CHECK(results[0].written);
  CHECK(results[0].life_unproven);
  CHECK_FALSE(results[0].replied);
  CHECK(results[1].dropped);
}

TEST(KeyCommandClient, NoResultComesAfterClear) {
  MoveUpstream(19314);
  Grant();
  RunFor(kRunTime);
  client.Clear();
  RunFor(kTimeout + kRunTime);
  LONGS_EQUAL(0, results.size());
}

// Guards against two owners: a lease holder that had stopped while it connected
// sent the grant when it went on, after the end of its lease.
TEST(KeyCommandClient, AGrantIsNotSentAfterItsTime) {
  MoveUpstream(19315);
  const MonotonicTime send_by = loop.timers().now() + milliseconds(50);
  Grant([send_by] { return send_by; });
  std::this_thread::sleep_for(milliseconds(100));
  RunFor(kRunTime);
  LONGS_EQUAL(1, results.size());
  CHECK_FALSE(results[0].written);
}

}  // namespace
}  // namespace mimosadeal
