// Tests of entry hosts on an object-store deployment: second tries of
// repeatable requests whose response is late.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <string>

#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kUsualWork = milliseconds(20);
constexpr Duration kSlowWork = milliseconds(1200);
// A second try comes after about a usual response time.
constexpr Duration kSecondTryLimit = milliseconds(900);
constexpr Duration kCloseLimit = milliseconds(300);
constexpr char kHedgingOn[] = "[requests]\nhedge_share = 0.2\n";
constexpr int kWarmUpRequests = 40;
// Of these. They set the time beyond which a response is late, far enough above
// the others' for these to get no second try on a busy machine.
constexpr int kLongerRequests = 8;
constexpr Duration kLongerWork = milliseconds(100);

class EntryHedgingTest : public EntryTest {
 public:
  // Starts a host that knows the response times of both repeatable routes.
  void StartWarm(const std::string& settings) {
    fixture.extra_settings["host-1"] = settings;
    fixture.StartDefaultDeployment(1);
    WarmUp();
  }

  void WarmUp() {
    for (int i = 0; i < kWarmUpRequests; ++i) {
      SetWork(i < kLongerRequests ? kLongerWork : kUsualWork);
      CheckServed(fixture.SendAndWait(Host(1), "GET", "/price/a", -1));
      CheckServed(
          fixture.SendAndWait(Host(1), "GET", "/lookup/a", (i * 1601) % 65536));
    }
    hedges_before_ = Metrics();
  }

  // Returns the second tries with this outcome since the warm-up.
  int Hedges(const std::string& outcome) {
    return CountOf(outcome, Metrics()) - CountOf(outcome, hedges_before_);
  }

  void SetWork(Duration work) {
    for (const auto& [id, upstream] : fixture.upstreams)
      upstream->SetWork(work);
  }

  int Running() {
    int running = 0;
    for (const auto& [id, upstream] : fixture.upstreams)
      running += upstream->running();
    return running;
  }

  bool AwaitRuns(size_t count, Duration limit) {
    return fixture.RunUntil(
        [&] { return RunCount(fixture.last_request_id) >= count; }, limit);
  }

  // Sends a request whose first try takes kSlowWork, and a second one, if there
  // is one, `second_work`.
  std::shared_ptr<CallerResponse> StartSlow(const std::string& method,
                                            const std::string& target, int key,
                                            Duration second_work) {
    SetWork(kSlowWork);
    auto response = fixture.Start(Host(1), method, target, key);
    CHECK(AwaitRuns(1, seconds(1)));
    SetWork(second_work);
    return response;
  }

  bool Await(const CallerResponse& response, Duration limit) {
    return fixture.RunUntil([&] { return response.status != 0; }, limit);
  }

  std::string Metrics() {
    ExchangeRequest request;
    request.method = "GET";
    request.target = "/metrics";
    request.headers = {{"host", "metrics"}};
    ExchangeClient client(fixture.loop, Host(1).operators,
                          {64 * 1024, 1024 * 1024});
    std::string body;
    client.Start(std::move(request), [&body](ExchangeResult result) {
      body = std::move(result.response.body);
    });
    fixture.RunUntil([&body] { return !body.empty(); }, seconds(2));
    return body;
  }

 private:
  static int CountOf(const std::string& outcome, const std::string& metrics) {
    const std::string name =
        "mimosadeal_hedges_total{outcome=\"" + outcome + "\"} ";
    const size_t at = metrics.find(name);
    return at == std::string::npos
               ? 0
               : std::stoi(metrics.substr(at + name.size()));
  }

  std::string hedges_before_;  // Metrics after the last warm-up.
};

TEST_GROUP_BASE(EntryHedging, EntryHedgingTest){};

TEST(EntryHedging, ASlowUpstreamsRequestIsAnsweredByAnotherOne) {
  StartWarm(kHedgingOn);
  const auto response = StartSlow("GET", "/price/a", -1, kUsualWork);
  CHECK(Await(*response, kSecondTryLimit));
  CheckServed(*response);
  LONGS_EQUAL(2, RunCount(fixture.last_request_id));
  const std::string& first =
      fixture.record.runs[fixture.record.runs.size() - 2].upstream;
  CHECK(first != fixture.record.runs.back().upstream);
  STRCMP_EQUAL(("response of " + fixture.record.runs.back().upstream).c_str(),
               response->body.c_str());
  // The loser's connection is closed at once.
  CHECK(fixture.RunUntil([this] { return Running() == 0; }, kCloseLimit));
  LONGS_EQUAL(1, Hedges("sent"));
  LONGS_EQUAL(1, Hedges("won"));
  STRCMP_CONTAINS("mimosadeal_hedge_extra_work_percent ", Metrics().c_str());
  STRCMP_CONTAINS("\"event\":\"request.hedged\"",
                  fixture.HostLog("host-1").c_str());
  STRCMP_CONTAINS("\"second_won\":true", fixture.HostLog("host-1").c_str());
  fixture.CheckRecord();
}

TEST(EntryHedging, AKeysRequestIsSentAgainToItsOwnerThatDoesNotRespond) {
  StartWarm(kHedgingOn);
  const int key = OwnedKey("yard-2");
  fixture.upstreams.at("yard-2")->faults().requests_to_ignore = 1;
  const auto response = fixture.Start(Host(1), "GET", "/lookup/a", key);
  CHECK(Await(*response, kSecondTryLimit));
  CheckServed(*response);
  LONGS_EQUAL(0, fixture.upstreams.at("yard-2")->faults().requests_to_ignore);
  LONGS_EQUAL(1, RunCount(fixture.last_request_id));
  STRCMP_EQUAL("response of yard-2", response->body.c_str());
  fixture.CheckRecord();
}

TEST(EntryHedging, ARequestThatIsNotIdempotentIsNeverSentTwice) {
  StartWarm(kHedgingOn);
  for (const int key : {-1, OwnedKey("yard-1")}) {
    const auto response =
        StartSlow("POST", key < 0 ? "/charge/a" : "/hold/a", key, kUsualWork);
    CHECK(Await(*response, seconds(2)));
    CheckServed(*response);
    LONGS_EQUAL(1, RunCount(fixture.last_request_id));
  }
  fixture.CheckRecord();
}

TEST(EntryHedging, WithoutAShareNothingIsSentTwice) {
  StartWarm("");
  for (const int key : {-1, OwnedKey("yard-1")}) {
    const auto response =
        StartSlow("GET", key < 0 ? "/price/a" : "/lookup/a", key, kUsualWork);
    CHECK(Await(*response, seconds(2)));
    CheckServed(*response);
    LONGS_EQUAL(1, RunCount(fixture.last_request_id));
  }
  CHECK(Metrics().find("mimosadeal_hedges_total{") == std::string::npos);
}

TEST(EntryHedging, ACallerThatLeavesCancelsBothTries) {
  StartWarm(kHedgingOn);
  const auto response = StartSlow("GET", "/price/a", -1, kSlowWork);
  CHECK(AwaitRuns(2, kSecondTryLimit));
  LONGS_EQUAL(2, Running());
  fixture.AbortLastRequest();
  CHECK(fixture.RunUntil([this] { return Running() == 0; }, kCloseLimit));
  LONGS_EQUAL(1, Hedges("cancelled"));
}

TEST(EntryHedging, TheFirstResponseCancelsTheSecondTry) {
  StartWarm(kHedgingOn);
  SetWork(milliseconds(250));
  const auto response = fixture.Start(Host(1), "GET", "/price/a", -1);
  CHECK(AwaitRuns(1, seconds(1)));
  SetWork(kSlowWork);
  CHECK(AwaitRuns(2, milliseconds(200)));
  const std::string first =
      fixture.record.runs[fixture.record.runs.size() - 2].upstream;
  CHECK(Await(*response, kSecondTryLimit));
  CheckServed(*response);
  STRCMP_EQUAL(("response of " + first).c_str(), response->body.c_str());
  CHECK(fixture.RunUntil([this] { return Running() == 0; }, kCloseLimit));
  LONGS_EQUAL(1, Hedges("lost"));
}

TEST(EntryHedging, TheEndOfEitherTryLeavesTheRequestToTheOther) {
  StartWarm(kHedgingOn);
  auto response = StartSlow("GET", "/price/a", -1, milliseconds(400));
  CHECK(AwaitRuns(2, kSecondTryLimit));
  const std::string second = fixture.record.runs.back().upstream;
  fixture.upstreams.at(second)->faults().lose_responses = true;
  CHECK(Await(*response, seconds(2)));
  CheckServed(*response);
  LONGS_EQUAL(2, RunCount(fixture.last_request_id));
  LONGS_EQUAL(1, Hedges("failed"));
  fixture.upstreams.at(second)->faults().lose_responses = false;

  fixture.RunFor(seconds(3));  // Until the service does not count as short.
  WarmUp();
  response = StartSlow("GET", "/price/a", -1, milliseconds(400));
  CHECK(AwaitRuns(2, kSecondTryLimit));
  const std::string first =
      fixture.record.runs[fixture.record.runs.size() - 2].upstream;
  fixture.CrashUpstream(first);
  CHECK(Await(*response, seconds(1)));
  CheckServed(*response);
}

TEST(EntryHedging, AStoppingHostSendsNoSecondTry) {
  StartWarm(kHedgingOn);
  Host(1).process.Signal(SIGTERM);
  CHECK(
      fixture.RunUntil([this] { return !fixture.Ready(Host(1)); }, seconds(2)));
  const auto response = StartSlow("GET", "/price/a", -1, kUsualWork);
  CHECK(Await(*response, seconds(2)));
  CheckServed(*response);
  LONGS_EQUAL(1, RunCount(fixture.last_request_id));
}

// A request that crashes its upstreams must not reach two of them at once.
TEST(EntryHedging, ACrashSuspectGetsNoSecondTry) {
  StartWarm(kHedgingOn);
  auto response = StartSlow("GET", "/price/suspect", -1, kUsualWork);
  fixture.CrashUpstream(fixture.record.runs.back().upstream);
  CHECK(Await(*response, seconds(2)));
  // The registration stays, so the crash is confirmed by the other upstream.
  CHECK(fixture.RunUntil(
      [this] {
        return fixture.HostLog("host-1").find("suspect.noted") !=
               std::string::npos;
      },
      seconds(5)));
  WarmUp();
  response = StartSlow("GET", "/price/suspect", -1, kUsualWork);
  CHECK(Await(*response, seconds(2)));
  CheckServed(*response);
  LONGS_EQUAL(1, RunCount(fixture.last_request_id));
}

}  // namespace
}  // namespace mimosadeal
