#include "traffic.h"

#include <algorithm>
#include <utility>

namespace mimosadeal {
namespace {

constexpr Duration kResponseLimit = std::chrono::seconds(20);
constexpr Duration kResendDelay = std::chrono::milliseconds(200);

}  // namespace

Traffic::Traffic(TestFixture& fixture, TrafficOptions options, uint64_t seed)
    : fixture_(fixture), options_(std::move(options)), random_(seed) {}

Traffic::~Traffic() { fixture_.client().loop().timers().Cancel(timer_); }

size_t Traffic::RandomHost() {
  return random_.Below(fixture_.deployment().hosts().size());
}

void Traffic::RunFor(Duration duration) {
  sending_ = true;
  TimerService& timers = fixture_.client().loop().timers();
  timer_ = timers.Every(options_.interval, [this] { SendOne(); });
  fixture_.client().RunFor(duration);
  timers.Cancel(timer_);
}

void Traffic::StopAndWait() {
  sending_ = false;
  fixture_.client().RunUntil(
      [this] { return fixture_.client().in_flight() == 0; }, kResponseLimit);
}

std::string Traffic::RandomWork() {
  const bool is_long = random_.Unit() < options_.long_work;
  return "?work_us=" +
         std::to_string(is_long ? options_.long_work_us : options_.work_us);
}

void Traffic::SendOne() {
  const std::string key =
      std::to_string(random_.Below(static_cast<uint64_t>(options_.keys)));
  ++sent_;
  if (random_.Unit() >= options_.holds) {
    SendLookup(key);
    return;
  }
  const Hold hold{"id-" + std::to_string(sent_), key, RandomWork(), 0};
  const size_t host = RandomHost();
  SendHold(hold, host);
  if (random_.Unit() < options_.duplicated) SendHold(hold, RandomHost());
}

void Traffic::SendLookup(const std::string& key) {
  const EntryHost& host = fixture_.deployment().hosts()[RandomHost()];
  fixture_.client().Start(host.callers, MakeLookup(key, RandomWork()),
                          [this, key](const ClientResponse& response) {
                            if (response.status != 200) return;
                            ++answered_;
                            const MonotonicTime now = BootClock::now();
                            const auto last = last_response_.find(key);
                            if (last != last_response_.end()) {
                              Duration& longest = longest_gap_[key];
                              longest = std::max(longest, now - last->second);
                            }
                            last_response_[key] = now;
                          });
}

void Traffic::SendHold(const Hold& hold, size_t host) {
  const std::string& address = fixture_.deployment().hosts()[host].callers;
  fixture_.client().Start(address, MakeHold(hold.key, hold.id, hold.query),
                          [this, hold](const ClientResponse& response) {
                            OnHoldResponse(hold, response);
                          });
}

void Traffic::OnHoldResponse(const Hold& hold, const ClientResponse& response) {
  std::string outcome(FindHeader(response.headers, "mimosa-outcome"));
  // A failed connection leaves the outcome unknown to the caller.
  if (response.failure != ClientFailure::kNone) outcome = "unknown";
  if (response.status == 200) {
    ++answered_;
    if (response.body != "hold of " + hold.key + " by " + hold.id)
      violations_.push_back("wrong response to " + hold.id);
  }
  if (outcome == "unknown") ++unknown_;
  std::string& reported = reported_outcomes_[hold.id];
  // "not run" is about this request only; another request with the same id may
  // have run or may run later.
  if (outcome == "not run" && (!reported.empty() && reported != "not run"))
    outcome = reported;
  if (reported != "ran") reported = outcome;
  const bool send_again = outcome != "ran" && options_.resend && sending_ &&
                          hold.resends < options_.max_resends;
  if (!send_again) return;
  Hold next = hold;
  ++next.resends;
  fixture_.client().loop().timers().After(kResendDelay, [this, next] {
    if (sending_) SendHold(next, RandomHost());
  });
}

Duration Traffic::LongestGap() const {
  Duration longest = Duration::zero();
  for (const auto& [key, gap] : longest_gap_) longest = std::max(longest, gap);
  return longest;
}

void Traffic::Check() {
  const std::vector<Execution> executions = fixture_.Executions();
  CheckNone(violations_);
  CheckNone(FindSharedOwnership(executions));
  CheckNone(FindRepetitions(executions));
  CheckNone(FindFalseOutcomes(executions, reported_outcomes_));
}

}  // namespace mimosadeal
