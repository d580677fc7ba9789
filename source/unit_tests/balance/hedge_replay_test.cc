// Replays second tries of late requests without a network, against named loads:
// hosts send requests to upstreams with slots and a queue, and take every
// decision with the code of the product. Times are simulated.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <tuple>
#include <vector>

#include "balance/hedge_decision.h"
#include "balance/hedge_limit.h"
#include "balance/latency_quantile.h"
#include "balance/retry_budget.h"
#include "balance/upstream_choice.h"
#include "common/ids.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};
constexpr Duration kTimeLimit = seconds(2);
constexpr size_t kQueue = 4;
constexpr RetryBudgetPolicy kRetryPolicy = {0.1, 0.25, 3};
constexpr Duration kShortMemory = seconds(2);
constexpr Duration kWindow = seconds(10);
constexpr int kSeeds = 6;

struct Load {
  int hosts = 4;
  int upstreams = 20;
  int slots = 2;
  double requests_per_second = 80;  // Of all hosts.
  double work_ms = 150;             // Mean.
  Duration length = seconds(60);
  // Factor of a request's work, by upstream and time since the start.
  std::function<double(int upstream, Duration at, Random&)> factor;
  double lost = 0;  // Share of the responses.
};

struct Outcome {
  std::vector<double> latencies_ms;
  int requests = 0;
  int hedges = 0;
  int unserved = 0;  // Refused, or without a response in time.
  // By host.
  std::map<int, std::vector<MonotonicTime>> sent;
  std::map<int, std::vector<MonotonicTime>> hedged;

  double Percentile(double share) {
    std::sort(latencies_ms.begin(), latencies_ms.end());
    const double last = static_cast<double>(latencies_ms.size() - 1);
    return latencies_ms[static_cast<size_t>(share * last)];
  }
};

class Replay {
 public:
  Replay(const Load& load, double share, uint64_t seed)
      : load_(load),
        share_(share),
        arrivals_(seed),
        random_(seed + 1),
        work_seed_(seed),
        hosts_(static_cast<size_t>(load.hosts)),
        upstreams_(static_cast<size_t>(load.upstreams)) {
    for (Host& host : hosts_) {
      host.loads.resize(upstreams_.size());
      for (UpstreamLoad& known : host.loads) known.slots = load.slots;
    }
  }

  Outcome Run() {
    At(Duration::zero(), [this] { Arrive(); });
    while (!events_.empty()) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    return std::move(outcome_);
  }

 private:
  struct Event {
    MonotonicTime at;
    uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };
  struct Host {
    std::vector<UpstreamLoad> loads;
    LatencyQuantile latencies;
    HedgeLimit limit;
    RetryBudget budget;
    MonotonicTime short_until = kNever;
  };
  struct Upstream {
    std::vector<size_t> running;
    std::vector<size_t> queue;
  };
  struct Try {
    size_t request = 0;
    size_t upstream = 0;
    MonotonicTime sent_at = kNever;
    bool ended = false;
  };
  struct Request {
    size_t host = 0;
    MonotonicTime sent_at = kNever;
    std::vector<size_t> tries;
    bool ended = false;
  };

  void At(Duration after, std::function<void()> run) {
    events_.push({now_ + after, ++event_number_, std::move(run)});
  }

  void Arrive() {
    if (now_ - kStart > load_.length) return;
    const double gap =
        -std::log(1 - arrivals_.Unit()) / load_.requests_per_second;
    At(Duration(static_cast<int64_t>(gap * 1e9)), [this] { Arrive(); });
    const size_t id = requests_.size();
    const size_t host_number = arrivals_.Below(hosts_.size());
    requests_.push_back({host_number, now_, {}, false});
    Host& host = hosts_[host_number];
    CountRequest(host.limit, now_);
    EarnForRequest(host.budget, kRetryPolicy, now_);
    ++outcome_.requests;
    outcome_.sent[static_cast<int>(host_number)].push_back(now_);
    const int chosen = Choose(host, -1);
    HedgePlanInput plan;
    plan.share = share_;
    plan.repeatable = true;
    plan.late_after = LatencyAt(host.latencies, LateQuantile(share_));
    const HedgePlan made = PlanHedge(plan);
    if (made.refusal == HedgeRefusal::kNone)
      At(made.after, [this, id] { OnLate(id); });
    At(kTimeLimit, [this, id] { GiveUp(id); });
    Send(id, static_cast<size_t>(chosen));
  }

  int Choose(const Host& host, int without) {
    std::vector<ChoiceCandidate> candidates;
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      if (static_cast<int>(i) != without)
        candidates.push_back({std::to_string(i), host.loads[i], true, {}});
    }
    const int chosen = ChooseUpstream(candidates, 0, random_.Next(), now_);
    return std::stoi(candidates[static_cast<size_t>(chosen)].id);
  }

  void OnLate(size_t id) {
    Request& request = requests_[id];
    if (request.ended) return;
    Host& host = hosts_[request.host];
    const int chosen =
        Choose(host, static_cast<int>(tries_[request.tries[0]].upstream));
    HedgeInput input;
    input.time_left = request.sent_at + kTimeLimit - now_;
    input.typical = LatencyAt(host.latencies, 0.5).value_or(Duration());
    input.service_short = host.short_until > now_;
    input.attempts_left = true;
    input.target.usable = true;
    input.target.load = host.loads[static_cast<size_t>(chosen)];
    input.share_left = AllowsHedge(host.limit, share_, now_);
    input.budget_left = HasTokenForHedge(host.budget, kRetryPolicy, now_);
    if (DecideHedge(input, now_) != HedgeRefusal::kNone) return;
    SpendOnRetry(host.budget, kRetryPolicy, now_);
    CountHedge(host.limit, now_);
    ++outcome_.hedges;
    outcome_.hedged[static_cast<int>(request.host)].push_back(now_);
    Send(id, static_cast<size_t>(chosen));
  }

  void Send(size_t id, size_t upstream_number) {
    const size_t number = tries_.size();
    tries_.push_back({id, upstream_number, now_, false});
    requests_[id].tries.push_back(number);
    Host& host = hosts_[requests_[id].host];
    ++host.loads[upstream_number].in_flight;
    Upstream& upstream = upstreams_[upstream_number];
    if (upstream.running.size() >= static_cast<size_t>(load_.slots) &&
        upstream.queue.size() >= kQueue) {
      host.short_until = now_ + kShortMemory;
      EndTry(number);
      Report(host, upstream_number);
      const std::vector<size_t>& all = requests_[id].tries;
      if (std::all_of(all.begin(), all.end(),
                      [this](size_t one) { return tries_[one].ended; })) {
        End(id);
        ++outcome_.unserved;
      }
      return;
    }
    upstream.queue.push_back(number);
    StartNext(upstream_number);
  }

  void StartNext(size_t upstream_number) {
    Upstream& upstream = upstreams_[upstream_number];
    while (upstream.running.size() < static_cast<size_t>(load_.slots) &&
           !upstream.queue.empty()) {
      const size_t number = upstream.queue.front();
      upstream.queue.erase(upstream.queue.begin());
      upstream.running.push_back(number);
      const Request& request = requests_[tries_[number].request];
      const uint64_t second = request.tries.front() == number ? 0 : 1;
      Random random(work_seed_ + 2 * tries_[number].request + second);
      double work = load_.work_ms * (0.7 + 0.6 * random.Unit());
      if (load_.factor) {
        work *= load_.factor(static_cast<int>(upstream_number), now_ - kStart,
                             random);
      }
      const bool lost = random.Unit() < load_.lost;
      At(Duration(static_cast<int64_t>(work * 1e6)), [this, number, lost] {
        if (!tries_[number].ended) Finish(number, lost);
      });
    }
  }

  void Finish(size_t number, bool lost) {
    const Try done = tries_[number];
    Leave(number);
    if (lost) return;  // The host waits on.
    Request& request = requests_[done.request];
    Host& host = hosts_[request.host];
    OnServiceTime(host.loads[done.upstream], now_ - done.sent_at, 0);
    Report(host, done.upstream);
    ObserveLatency(host.latencies, now_ - request.sent_at, now_);
    outcome_.latencies_ms.push_back(1e3 * ToSeconds(now_ - request.sent_at));
    NoteSlowLosers(done.request, number);
    End(done.request);
  }

  // As RequestForwarder::EndOtherTry does.
  void NoteSlowLosers(size_t id, size_t winner) {
    Host& host = hosts_[requests_[id].host];
    for (const size_t number : requests_[id].tries) {
      const Try& loser = tries_[number];
      UpstreamLoad& known = host.loads[loser.upstream];
      if (number < winner && !loser.ended &&
          ToSeconds(now_ - loser.sent_at) > known.service_seconds) {
        OnServiceTime(known, now_ - loser.sent_at, 0);
      }
    }
  }

  void Report(Host& host, size_t upstream_number) {
    const Upstream& upstream = upstreams_[upstream_number];
    OnLoadReport(host.loads[upstream_number],
                 {static_cast<int>(upstream.running.size()),
                  static_cast<int>(upstream.queue.size()), load_.slots, 1},
                 now_);
  }

  void GiveUp(size_t id) {
    if (requests_[id].ended) return;
    Host& host = hosts_[requests_[id].host];
    ObserveLatency(host.latencies, kTimeLimit, now_);
    outcome_.latencies_ms.push_back(1e3 * ToSeconds(kTimeLimit));
    ++outcome_.unserved;
    End(id);
  }

  // Cancels the request's tries.
  void End(size_t id) {
    requests_[id].ended = true;
    for (const size_t number : requests_[id].tries) EndTry(number);
  }

  void EndTry(size_t number) {
    Try& ended = tries_[number];
    if (ended.ended) return;
    ended.ended = true;
    --hosts_[requests_[ended.request].host].loads[ended.upstream].in_flight;
    Leave(number);
  }

  // Frees the slot or the place in the queue of a try.
  void Leave(size_t number) {
    Upstream& upstream = upstreams_[tries_[number].upstream];
    std::erase(upstream.running, number);
    std::erase(upstream.queue, number);
    StartNext(tries_[number].upstream);
  }

  Load load_;
  double share_;
  // Arrivals and work are the same with and without second tries.
  Random arrivals_;
  Random random_;
  uint64_t work_seed_;
  std::vector<Host> hosts_;
  std::vector<Upstream> upstreams_;
  std::vector<Request> requests_;
  std::vector<Try> tries_;
  std::priority_queue<Event> events_;
  uint64_t event_number_ = 0;
  MonotonicTime now_ = kStart;
  Outcome outcome_;
};

TEST_GROUP(HedgeReplay) {
  Load load;

  // Of several replays, each with hosts of its own.
  Outcome Run(double share) {
    Outcome all;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      Outcome one = Replay(load, share, static_cast<uint64_t>(seed)).Run();
      all.latencies_ms.insert(all.latencies_ms.end(), one.latencies_ms.begin(),
                              one.latencies_ms.end());
      all.requests += one.requests;
      all.hedges += one.hedges;
      all.unserved += one.unserved;
      for (auto& [host, times] : one.sent)
        all.sent[seed * load.hosts + host] = std::move(times);
      for (auto& [host, times] : one.hedged)
        all.hedged[seed * load.hosts + host] = std::move(times);
    }
    return all;
  }

  static double TailOf(int, Duration, Random& random) {
    return random.Unit() < 0.03 ? 7 : 1;
  }

  // In each 10 s that end with a second try, at each host.
  static void CheckShare(const Outcome& outcome, double share) {
    for (const auto& [host, hedged] : outcome.hedged) {
      for (const MonotonicTime end : hedged) {
        const auto in_window = [end](const std::vector<MonotonicTime>& times) {
          return std::count_if(times.begin(), times.end(), [end](auto time) {
            return time > end - kWindow && time <= end;
          });
        };
        CHECK(static_cast<double>(in_window(hedged)) <=
              share * static_cast<double>(in_window(outcome.sent.at(host))));
      }
    }
  }

  // Second tries must cut the slowest answers, and cost no answer.
  static void CheckBetter(Outcome off, Outcome on, double percentile) {
    CHECK(on.hedges > 0);
    LONGS_EQUAL(0, off.hedges);
    CHECK_TEXT(on.Percentile(percentile) < off.Percentile(percentile),
               (std::to_string(on.Percentile(percentile)) + " ms, " +
                std::to_string(off.Percentile(percentile)) + " ms without")
                   .c_str());
    CHECK(on.Percentile(0.5) <= 1.1 * off.Percentile(0.5));
    CHECK(on.unserved <= off.unserved);
  }
};

// The choice of an upstream avoids those that are known to be slow; another
// third of them becomes slow every 10 s.
TEST(HedgeReplay, CutsTheTailWhenAThirdOfTheUpstreamsIsSlow) {
  load.factor = [](int upstream, Duration at, Random&) {
    return (upstream + at / seconds(10)) % 3 == 0 ? 5.0 : 1.0;
  };
  CheckBetter(Run(0), Run(0.1), 0.99);
}

// Then nothing is to be gained, and nothing must be lost.
TEST(HedgeReplay, CostsNothingWhenTheSlowUpstreamsAreKnown) {
  load.factor = [](int upstream, Duration, Random&) {
    return upstream % 3 == 0 ? 5.0 : 1.0;
  };
  Outcome off = Run(0);
  Outcome on = Run(0.1);
  CHECK(on.Percentile(0.5) <= 1.05 * off.Percentile(0.5));
  CHECK(on.Percentile(0.99) <= 1.05 * off.Percentile(0.99));
  CHECK(on.unserved <= off.unserved);
}

TEST(HedgeReplay, CutsATailOfThreePercent) {
  load.factor = TailOf;
  CheckBetter(Run(0), Run(0.05), 0.99);
}

TEST(HedgeReplay, ReplacesLostAnswers) {
  load.lost = 0.02;
  Outcome off = Run(0);
  Outcome on = Run(0.05);
  CHECK(on.unserved < off.unserved / 2);
  CheckBetter(std::move(off), std::move(on), 0.99);
}

// The second tries before the first refusal are made while the service is not
// short yet.
TEST(HedgeReplay, SendsNoneWhileTheServiceIsOverloaded) {
  load.requests_per_second = 350;  // Of 267 that the upstreams can run.
  load.factor = TailOf;
  const Outcome outcome = Run(0.1);
  CHECK(outcome.unserved > outcome.requests / 10);
  for (const auto& [host, hedged] : outcome.hedged) {
    for (const MonotonicTime time : hedged) CHECK(time < kStart + seconds(5));
  }
}

TEST(HedgeReplay, StaysWithinTheShareWhileResponseTimesDrift) {
  load.requests_per_second = 40;
  load.length = seconds(120);
  load.factor = [](int, Duration at, Random& random) {
    return (at > seconds(60) ? 3 : 1) * (random.Unit() < 0.03 ? 2.0 : 1.0);
  };
  const Outcome outcome = Run(0.05);
  CheckShare(outcome, 0.05);
  // The quantile has followed: 5% of the responses are late, not all.
  int late = 0;
  for (const auto& [host, hedged] : outcome.hedged) {
    late += static_cast<int>(std::count_if(
        hedged.begin(), hedged.end(),
        [](MonotonicTime time) { return time > kStart + seconds(100); }));
  }
  CHECK(late <= 0.05 * 40 * 20 * kSeeds);
}

TEST(HedgeReplay, AddsNoMoreWorkThanTheOperatorAllows) {
  load.factor = TailOf;
  for (const double share : {0.0, 0.02, 0.1}) {
    const Outcome outcome = Run(share);
    CheckShare(outcome, share);
    CHECK(outcome.hedges <= share * outcome.requests);
    CHECK((outcome.hedges == 0) == (share == 0));
  }
}

}  // namespace
}  // namespace mimosadeal
