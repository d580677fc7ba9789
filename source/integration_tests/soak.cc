#include "soak.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 4;
constexpr int kKeys = 65536;
// Their addresses come before those of the others.
constexpr int kKeyedUpstreams = 4;
// Between requests: low enough that overload plays no part.
constexpr Duration kRequestInterval = milliseconds(25);
constexpr Duration kLongestPause = milliseconds(900);
// The routes' 1.5 s, and what a busy machine adds.
constexpr Duration kAnswerLimit = seconds(6);
// A host that was frozen or restarted closes what it had.
constexpr Duration kAfterDisturbance = seconds(2);
// Holds of 10 s, a slow clock and a move.
constexpr Duration kRecoveryLimit = seconds(25);

}  // namespace

Soak::Soak(EntryFixture& fixture, uint64_t seed)
    : fixture_(fixture), random_(seed) {}

std::vector<std::string> Soak::Run(Duration time) {
  constexpr std::array<Action, 14> actions = {
      &Soak::KillHost,      &Soak::FreezeHost,
      &Soak::StopHost,      &Soak::HangUpHost,
      &Soak::CutHostOff,    &Soak::SilenceStore,
      &Soak::RefuseAtStore, &Soak::LoseStoreAnswers,
      &Soak::DropHistory,   &Soak::ChangeConfiguration,
      &Soak::CrashUpstream, &Soak::DrainUpstream,
      &Soak::IgnoreOrders,  &Soak::LoseAnswers};
  fixture_.StartDefaultDeployment(kHosts);
  const MonotonicTime end = Now() + time;
  MonotonicTime next = Now();
  while (Now() < end) {
    Ask();
    fixture_.RunFor(kRequestInterval);
    CheckAnswers(false);
    while (!ends_.empty() && ends_.begin()->first <= Now()) {
      const auto finish = std::move(ends_.begin()->second);
      ends_.erase(ends_.begin());
      finish();
    }
    if (Now() < next) continue;
    (this->*actions.at(random_.Below(actions.size())))();
    next = Now() + milliseconds(random_.Below(ToMilliseconds(kLongestPause)));
  }
  Recover();
  return broken_;
}

void Soak::Recover() {
  // One fault's end may begin another.
  while (!ends_.empty()) {
    const auto finish = std::move(ends_.begin()->second);
    ends_.erase(ends_.begin());
    finish();
  }
  const auto recovered = [this] {
    for (const auto& [name, host] : fixture_.hosts) {
      if (!fixture_.Ready(*host)) return false;
      for (int key = 0; key < kKeys; key += kKeys / 16) {
        if (fixture_.SendAndWait(*host, "GET", "/lookup/a", key).status != 200)
          return false;
      }
    }
    return fixture_.EveryKeyIsHeld();
  };
  if (!fixture_.RunUntil(recovered, kRecoveryLimit))
    Break("not every key was served again within 25 s of the last fault");
  CheckAnswers(true);
  for (const std::string& violation : fixture_.record.violations)
    Break(violation);
}

void Soak::Break(const std::string& what) { broken_.push_back(what); }

void Soak::Later(Duration longest, std::function<void()> end) {
  ends_.emplace(Now() + milliseconds(random_.Below(ToMilliseconds(longest))),
                std::move(end));
}

std::string Soak::PickHost() {
  return "host-" + std::to_string(1 + random_.Below(kHosts));
}

std::string Soak::PickUpstream(bool keyed) {
  return keyed ? "yard-" + std::to_string(1 + random_.Below(4))
               : "desk-" + std::to_string(1 + random_.Below(2));
}

void Soak::Disturb(const std::string& host) {
  disturbed_until_[host] = Now() + kAfterDisturbance;
}

void Soak::KillHost() {
  const std::string name = PickHost();
  if (!fixture_.hosts.at(name)->process.running()) return;
  Disturb(name);
  fixture_.hosts.at(name)->process.Kill();
  Later(seconds(2), [this, name] {
    Disturb(name);
    fixture_.AddHost(name, fixture_.hosts.at(name)->zone);
  });
}

void Soak::FreezeHost() {
  const std::string name = PickHost();
  if (!fixture_.hosts.at(name)->process.running()) return;
  Disturb(name);
  fixture_.hosts.at(name)->process.Signal(SIGSTOP);
  Later(seconds(4), [this, name] {
    Disturb(name);
    if (fixture_.hosts.at(name)->process.running())
      fixture_.hosts.at(name)->process.Signal(SIGCONT);
  });
}

void Soak::StopHost() {
  const std::string name = PickHost();
  if (!fixture_.hosts.at(name)->process.running()) return;
  Disturb(name);
  fixture_.hosts.at(name)->process.Signal(SIGTERM);
  Later(seconds(7), [this, name] {
    Disturb(name);
    if (fixture_.hosts.at(name)->process.running())
      fixture_.hosts.at(name)->process.Kill();
    fixture_.AddHost(name, fixture_.hosts.at(name)->zone);
  });
}

void Soak::HangUpHost() {
  const ChildProcess& process = fixture_.hosts.at(PickHost())->process;
  if (process.running()) process.Signal(SIGHUP);
}

void Soak::CutHostOff() {
  const std::string name = PickHost();
  fixture_.SetStorePartition(name, true);
  Later(seconds(6), [this, name] { fixture_.SetStorePartition(name, false); });
}

void Soak::SilenceStore() {
  fixture_.store->faults().silent = true;
  fixture_.store->CancelWatches();
  Later(seconds(6), [this] { fixture_.store->faults().silent = false; });
}

void Soak::RefuseAtStore() {
  fixture_.store->faults().refuse = true;
  Later(seconds(6), [this] { fixture_.store->faults().refuse = false; });
}

void Soak::LoseStoreAnswers() {
  fixture_.store->faults().lose_write_answers += 3;
  Later(seconds(3),
        [this] { fixture_.store->faults().lose_write_answers = 0; });
}

void Soak::DropHistory() {
  fixture_.store->Compact();
  fixture_.store->CancelWatches();
}

void Soak::ChangeConfiguration() {
  fixture_.store->Put("config", "main", fixture_.Configuration(++version_));
}

void Soak::CrashUpstream() { Replace(PickUpstream(true)); }

void Soak::Replace(const std::string& id) {
  if (!crashed_.insert(id).second) return;
  const DeploymentUpstreamOptions options =
      fixture_.upstreams.at(id)->options();
  fixture_.CrashUpstream(id);
  const int index = id.back() - '0' + (options.keyed ? 0 : kKeyedUpstreams);
  Later(seconds(4), [this, id, options, index] {
    fixture_.AddUpstream(id, options.service, options.zone, index);
    crashed_.erase(id);
  });
}

// An upstream that leaves does not come back but as another life.
void Soak::DrainUpstream() {
  const std::string id = PickUpstream(random_.Below(2) == 0);
  if (crashed_.contains(id)) return;
  fixture_.upstreams.at(id)->Report("draining");
  Later(seconds(5), [this, id] { Replace(id); });
}

void Soak::IgnoreOrders() {
  const std::string id = PickUpstream(true);
  if (crashed_.contains(id)) return;
  fixture_.upstreams.at(id)->faults().ignore_grants = true;
  fixture_.upstreams.at(id)->faults().ignore_releases = true;
  Later(seconds(6), [this, id] {
    if (crashed_.contains(id)) return;
    fixture_.upstreams.at(id)->faults().ignore_grants = false;
    fixture_.upstreams.at(id)->faults().ignore_releases = false;
  });
}

void Soak::LoseAnswers() {
  const std::string id = PickUpstream(random_.Below(2) == 0);
  if (crashed_.contains(id)) return;
  fixture_.upstreams.at(id)->faults().lose_answers = true;
  Later(seconds(1), [this, id] {
    if (!crashed_.contains(id))
      fixture_.upstreams.at(id)->faults().lose_answers = false;
  });
}

void Soak::Ask() {
  struct Kind {
    const char* method;
    const char* target;
    bool keyed;
  };
  constexpr std::array<Kind, 4> kinds = {{{"GET", "/lookup/a", true},
                                          {"POST", "/hold/a", true},
                                          {"POST", "/charge/a", false},
                                          {"GET", "/price/a", false}}};
  const Kind& kind = kinds.at(random_.Below(kinds.size()));
  const int key = kind.keyed ? static_cast<int>(random_.Below(kKeys)) : -1;
  Asked asked;
  asked.host = PickHost();
  asked.method = kind.method;
  asked.at = Now();
  asked.answer = fixture_.Start(*fixture_.hosts.at(asked.host), kind.method,
                                kind.target, key, "body", kAnswerLimit);
  asked.id = fixture_.last_request_id;
  asked_.push_back(std::move(asked));
}

void Soak::CheckAnswers(bool all) {
  while (!asked_.empty()) {
    const Asked& oldest = asked_.front();
    if (!all && Now() - oldest.at < kAnswerLimit + seconds(1)) return;
    Check(oldest);
    asked_.pop_front();
  }
}

void Soak::Check(const Asked& asked) {
  const auto begun = std::count_if(
      fixture_.record.runs.begin(), fixture_.record.runs.end(),
      [&asked](const UpstreamRun& run) {
        return run.request_id == asked.id && run.began_at != kNever;
      });
  const CallerResponse& answer = *asked.answer;
  const std::string what = asked.method + " " + asked.id + " at " + asked.host;
  if (asked.method != "GET" && begun > 1) Break(what + " ran twice");
  if (answer.status == 503 && asked.method != "GET" && begun != 0)
    Break(what + " ran, and its caller was told that it had not");
  if (answer.status == 200) {
    if (begun == 0) Break(what + " was answered and never ran");
    if (FindHeader(answer.headers, "x-request-id") != asked.id ||
        FindHeader(answer.headers, "x-response-signature") != "s-" + asked.id)
      Break(what + " got another request's answer");
  }
  const auto disturbed = disturbed_until_.find(asked.host);
  const bool may_be_lost =
      disturbed != disturbed_until_.end() && asked.at < disturbed->second;
  if (!answer.received && !may_be_lost) Break(what + " got no answer");
}

}  // namespace mimosadeal
