// Each caller gets the complete response to its own request, and a request with
// an idempotency key runs at most once, however often it is sent.

#include <CppUTest/TestHarness.h>

#include <csignal>

#include "common/ids.h"
#include "test_fixture.h"
#include "traffic.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeed = 41;

std::string OutcomeOf(const ClientResponse& response) {
  return std::string(FindHeader(response.headers, "mimosa-outcome"));
}

nlohmann::json OwnerOf(TestFixture& fixture, const std::string& key) {
  const EntryHost& host = fixture.deployment().hosts().back();
  const ClientResponse response = fixture.client().Call(
      host.operators, {"GET", "/owner/yard/" + key, {}, "", seconds(2)});
  return nlohmann::json::parse(response.body, nullptr, false);
}

std::string HostOf(const std::string& process) {
  return process.substr(0, process.rfind('.'));
}

// Returns hosts other than the one called `id`.
std::vector<EntryHost*> OtherHosts(TestFixture& fixture,
                                   const std::string& id) {
  std::vector<EntryHost*> others;
  for (EntryHost& host : fixture.deployment().hosts()) {
    if (host.id != id) others.push_back(&host);
  }
  return others;
}

int CountRuns(TestFixture& fixture, const std::string& id) {
  int runs = 0;
  for (const Execution& execution : fixture.Executions()) {
    const bool may_have_run = execution.end == Execution::End::kDone ||
                              execution.end == Execution::End::kNone;
    if (execution.key == id && may_have_run) ++runs;
  }
  return runs;
}

void CheckSuccess(const ClientResponse& response) {
  if (response.status == 200) return;
  const std::string text =
      std::to_string(response.status) + ": " + response.body;
  FAIL(text.c_str());
}

TEST_GROUP(Requests){};

// Guards against a second run when several hosts receive an id before any of
// them knows its outcome.
TEST(Requests, AnIdSentToEveryHostAtOnceRunsOnce) {
  TestFixture fixture(YardLayout({"a"}, 4, 2));
  fixture.Start();
  int correct_responses = 0;
  for (int round = 0; round < 20; ++round) {
    const std::string id = "at-once-" + std::to_string(round);
    for (const EntryHost& host : fixture.deployment().hosts()) {
      fixture.client().Start(
          host.callers, MakeHold("7", id, "?work_us=20000"),
          [&](const ClientResponse& response) {
            if (response.status == 200 && response.body == "hold of 7 by " + id)
              ++correct_responses;
          });
    }
    fixture.client().RunUntil([&] { return fixture.client().in_flight() == 0; },
                              seconds(10));
    LONGS_EQUAL(1, CountRuns(fixture, id));
  }
  LONGS_EQUAL(80, correct_responses);
}

// Guards against a second run when an id is repeated after its response.
TEST(Requests, ARepeatedIdGetsTheStoredResponse) {
  TestFixture fixture(YardLayout({"a"}, 3, 2));
  fixture.Start();
  const auto& hosts = fixture.deployment().hosts();
  LONGS_EQUAL(200, fixture.Hold(hosts[0], "7", "later").status);
  const ClientResponse again = fixture.Hold(hosts[1], "7", "later");
  CheckSuccess(again);
  STRCMP_EQUAL("hold of 7 by later", again.body.c_str());
  STRCMP_EQUAL(
      "true",
      std::string(FindHeader(again.headers, "mimosa-replayed")).c_str());
  LONGS_EQUAL(1, CountRuns(fixture, "later"));
  // Using the same id for a different request is an error of the caller.
  ClientRequest other = MakeHold("7", "later", "");
  other.body = "something else";
  LONGS_EQUAL(422, fixture.client().Call(hosts[2].callers, other).status);
}

TEST(Requests, ANonIdempotentRequestNeedsAnId) {
  TestFixture fixture(YardLayout({"a"}, 1, 1));
  fixture.Start();
  ClientRequest request = MakeHold("7", "", "");
  request.headers.clear();
  const ClientResponse response =
      fixture.client().Call(fixture.deployment().hosts()[0].callers, request);
  LONGS_EQUAL(400, response.status);
  STRCMP_EQUAL("not run", OutcomeOf(response).c_str());
}

// Guards against a second run, or a wrong outcome, when the dispatcher
// crashes before it learns the outcome.
TEST(Requests, AnIdIsNotRunAgainWhenItsDispatcherCrashesWhileItRuns) {
  TestFixture fixture(YardLayout({"a"}, 4, 2));
  fixture.Start();
  const std::string dispatcher = HostOf(OwnerOf(fixture, "7")["dispatcher"]);
  const auto others = OtherHosts(fixture, dispatcher);
  std::string first_outcome;
  fixture.client().Start(others[0]->callers,
                         MakeHold("7", "dies", "?work_us=1500000"),
                         [&](const ClientResponse& response) {
                           first_outcome = OutcomeOf(response);
                         });
  fixture.client().RunFor(milliseconds(300));
  fixture.deployment().Host(dispatcher).process.Kill();
  fixture.client().RunUntil([&] { return fixture.client().in_flight() == 0; },
                            seconds(10));
  const ClientResponse again =
      fixture.Hold(*others[1], "7", "dies", "?work_us=1500000");
  // Whether the upstream completes the request depends on when it detects the
  // closed connection, so both outcomes are valid.
  CHECK_TRUE(OutcomeOf(again) == "unknown" || OutcomeOf(again) == "ran");
  CHECK_TRUE(first_outcome != "not run" || CountRuns(fixture, "dies") == 0);
  CHECK_TRUE(CountRuns(fixture, "dies") <= 1);
}

// Guards against the loss of a stored response with the dispatcher that
// recorded it.
TEST(Requests, AResponseIsStillStoredAfterItsDispatcherCrashed) {
  TestFixture fixture(YardLayout({"a"}, 4, 2));
  fixture.Start();
  const std::string dispatcher = HostOf(OwnerOf(fixture, "7")["dispatcher"]);
  const auto others = OtherHosts(fixture, dispatcher);
  LONGS_EQUAL(200, fixture.Hold(*others[0], "7", "known").status);
  // The outcome is replicated after the response is sent.
  fixture.client().RunFor(milliseconds(100));
  fixture.deployment().Host(dispatcher).process.Kill();
  const ClientResponse again = fixture.Hold(*others[1], "7", "known", "");
  CheckSuccess(again);
  STRCMP_EQUAL("hold of 7 by known", again.body.c_str());
  LONGS_EQUAL(1, CountRuns(fixture, "known"));
}

// Guards against a ledger that is not copied to a new replica after the first
// replica was lost.
TEST(Requests, AResponseIsStillStoredAfterItsReplicaThenDispatcherCrashed) {
  TestFixture fixture(YardLayout({"a"}, 4, 2));
  fixture.Start();
  const std::string dispatcher = HostOf(OwnerOf(fixture, "7")["dispatcher"]);
  LONGS_EQUAL(
      200,
      fixture.Hold(fixture.deployment().Host(dispatcher), "7", "twice").status);
  // The test cannot see which host is the replica, so every other host crashes
  // once and restarts.
  for (EntryHost* host : OtherHosts(fixture, dispatcher)) {
    host->process.Kill();
    fixture.client().RunFor(seconds(2));
    fixture.deployment().StartHost(*host);
    fixture.client().RunFor(seconds(2));
  }
  const std::string last = HostOf(OwnerOf(fixture, "7")["dispatcher"]);
  fixture.deployment().Host(last).process.Kill();
  const auto others = OtherHosts(fixture, last);
  const ClientResponse again = fixture.Hold(*others[0], "7", "twice");
  CheckSuccess(again);
  STRCMP_EQUAL("hold of 7 by twice", again.body.c_str());
  LONGS_EQUAL(1, CountRuns(fixture, "twice"));
}

// Guards against responses that reach the wrong caller, and against truncated
// responses that are passed on as complete. Both can happen when an upstream
// connection is reused after a caller disconnected early or a response was
// truncated.
TEST(Requests, EveryCallerGetsItsOwnCompleteResponse) {
  TestFixture fixture(YardLayout({"a"}, 3, 3));
  fixture.Start();
  Random random(kSeed);
  const auto& hosts = fixture.deployment().hosts();
  int wrong_bodies = 0;
  int complete = 0;
  int truncated_as_complete = 0;
  int sent = 0;
  TimerService& timers = fixture.client().loop().timers();
  const TimerId timer = timers.Every(milliseconds(1), [&] {
    if (fixture.client().in_flight() >= 100 || sent >= 4000) return;
    ++sent;
    const std::string id = "body-" + std::to_string(sent);
    const bool truncate = random.Below(10) == 0;
    const std::string work = std::to_string(random.Below(8000));
    ClientRequest request =
        MakeHold(std::to_string(random.Below(64)), id,
                 "?work_us=" + work + (truncate ? "&truncate=1" : ""));
    request.body = id + ":" +
                   std::string(random.Below(60000),
                               static_cast<char>('a' + random.Below(26)));
    const std::string expected = request.body;
    const auto check = [&, expected, truncate](const ClientResponse& response) {
      if (response.status != 200 || response.failure != ClientFailure::kNone)
        return;
      ++complete;
      if (response.body != expected) ++wrong_bodies;
      if (truncate) ++truncated_as_complete;
    };
    // A caller that disconnects early must not affect the next request on the
    // same upstream connection.
    if (random.Below(20) == 0) request.timeout = milliseconds(2);
    fixture.client().Start(hosts[random.Below(hosts.size())].callers, request,
                           check);
  });
  fixture.client().RunUntil(
      [&] { return sent >= 4000 && fixture.client().in_flight() == 0; },
      seconds(60));
  timers.Cancel(timer);
  LONGS_EQUAL(4000, sent);
  LONGS_EQUAL(0, wrong_bodies);
  LONGS_EQUAL(0, truncated_as_complete);
  CHECK_TRUE(complete > 3000);
  fixture.CheckRecords();
}

// Guards against a second run of a non-idempotent request whose response was
// truncated: the upstream has run it.
TEST(Requests, AHoldWithATruncatedResponseIsUnknownAndNotRunAgain) {
  TestFixture fixture(YardLayout({"a"}, 3, 2));
  fixture.Start();
  const auto& hosts = fixture.deployment().hosts();
  const ClientResponse response =
      fixture.Hold(hosts[0], "7", "cut", "?truncate=1");
  LONGS_EQUAL(502, response.status);
  STRCMP_EQUAL("unknown", OutcomeOf(response).c_str());
  const ClientResponse again =
      fixture.Hold(hosts[1], "7", "cut", "?truncate=1");
  STRCMP_EQUAL("unknown", OutcomeOf(again).c_str());
  LONGS_EQUAL(1, CountRuns(fixture, "cut"));
}

}  // namespace
}  // namespace mimosadeal
