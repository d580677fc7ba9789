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
// Their addresses precede those of the upstreams without keys.
constexpr int kKeyedUpstreams = 4;
// Time between requests: long enough that the deployment is never overloaded.
constexpr Duration kRequestInterval = milliseconds(25);
// Upper bound of the time between two faults.
constexpr Duration kMaxFaultInterval = milliseconds(900);
// The same for limits, which have a random sequence of their own, so that the
// other faults of a seed do not depend on them.
constexpr Duration kMaxLimitInterval = seconds(6);
constexpr uint64_t kLimitSeedOffset = 1'000'000;
// The same for restores of the store from a copy.
constexpr Duration kMaxRestoreInterval = seconds(12);
constexpr uint64_t kRestoreSeedOffset = 2'000'000;
// The same for hosts that lose their paths to all upstreams.
constexpr Duration kMaxPathsInterval = seconds(8);
constexpr uint64_t kPathsSeedOffset = 3'000'000;
// Lower seeds are kept as they were when they failed, and have no such cuts.
constexpr uint64_t kFirstSeedWithPathCuts = 200;
// The same for evacuations of a zone.
constexpr Duration kMaxEvacuationInterval = seconds(10);
constexpr uint64_t kEvacuationSeedOffset = 4'000'000;
constexpr uint64_t kFirstSeedWithEvacuations = 500;
// The same for the reports of upstreams that are cold after their start.
constexpr Duration kMaxReportDelay = seconds(1);
constexpr uint64_t kColdSeedOffset = 5'000'000;
constexpr uint64_t kFirstSeedWithColdUpstreams = 500;
constexpr double kColdRate = 4.5;
// The same for responses of the store that are lost, one at a time.
constexpr Duration kMaxLostCallInterval = seconds(3);
constexpr uint64_t kLostCallSeedOffset = 6'000'000;
constexpr uint64_t kFirstSeedWithLostCalls = 11'000;
// Calls of all hosts in about 2 s.
constexpr uint64_t kMaxCallsUntilLoss = 16;
// The routes' timeout of 1.5 s, and delays on a busy machine.
constexpr Duration kResponseLimit = seconds(6);
// A host that was frozen or restarted closes its connections.
constexpr Duration kDisturbanceTime = seconds(2);
// Holds of 10 s, an allowance for a slow clock, and a move.
constexpr Duration kRecoveryLimit = seconds(25);

}  // namespace

Soak::Soak(EntryFixture& fixture, uint64_t seed)
    : fixture_(fixture),
      random_(seed),
      limit_random_(seed + kLimitSeedOffset),
      restore_random_(seed + kRestoreSeedOffset),
      paths_random_(seed + kPathsSeedOffset),
      cold_random_(seed + kColdSeedOffset),
      // Through a link, a crashed upstream does not refuse connections, so only
      // every other seed has links.
      loses_paths_(seed >= kFirstSeedWithPathCuts && seed % 2 == 0),
      evacuation_random_(seed + kEvacuationSeedOffset),
      evacuates_(seed >= kFirstSeedWithEvacuations),
      calls_random_(seed + kLostCallSeedOffset),
      loses_responses_(seed >= kFirstSeedWithLostCalls),
      has_cold_upstreams_(seed >= kFirstSeedWithColdUpstreams &&
                          !loses_paths_) {}

std::vector<std::string> Soak::Run(Duration time) {
  constexpr std::array<Action, 14> actions = {&Soak::KillHost,
                                              &Soak::FreezeHost,
                                              &Soak::StopHost,
                                              &Soak::ReloadSettings,
                                              &Soak::PartitionHost,
                                              &Soak::SilenceStore,
                                              &Soak::RefuseStoreRequests,
                                              &Soak::LoseStoreResponses,
                                              &Soak::CompactStore,
                                              &Soak::ChangeConfiguration,
                                              &Soak::CrashUpstream,
                                              &Soak::DrainUpstream,
                                              &Soak::IgnoreCommands,
                                              &Soak::LoseResponses};
  if (has_cold_upstreams_) fixture_.cold_rate = kColdRate;
  fixture_.AddDefaultUpstreams();
  fixture_.link_upstreams = loses_paths_;
  if (evacuates_) fixture_.extra_bounds = kEvacuationBoundText;
  fixture_.StartHosts(kHosts);
  const MonotonicTime end = Now() + time;
  MonotonicTime next = Now();
  MonotonicTime next_limit = Now();
  MonotonicTime next_restore = Now();
  MonotonicTime next_paths = loses_paths_ ? Now() : kForever;
  MonotonicTime next_evacuation = evacuates_ ? Now() : kForever;
  MonotonicTime next_lost_call = loses_responses_ ? Now() : kForever;
  while (Now() < end) {
    SendRequest();
    fixture_.RunFor(kRequestInterval);
    CheckResponses(false);
    CheckBounds();
    while (!fault_ends_.empty() && fault_ends_.begin()->first <= Now()) {
      const auto end_fault = std::move(fault_ends_.begin()->second);
      fault_ends_.erase(fault_ends_.begin());
      end_fault();
    }
    if (Now() >= next_limit) {
      StateLimit();
      next_limit =
          Now() +
          milliseconds(limit_random_.Below(ToMilliseconds(kMaxLimitInterval)));
    }
    if (Now() >= next_restore) {
      RestoreStore();
      next_restore = Now() + milliseconds(restore_random_.Below(
                                 ToMilliseconds(kMaxRestoreInterval)));
    }
    if (Now() >= next_paths) {
      LosePaths();
      next_paths =
          Now() +
          milliseconds(paths_random_.Below(ToMilliseconds(kMaxPathsInterval)));
    }
    if (Now() >= next_evacuation) {
      EvacuateZone();
      next_evacuation = Now() + milliseconds(evacuation_random_.Below(
                                    ToMilliseconds(kMaxEvacuationInterval)));
    }
    if (Now() >= next_lost_call) {
      LoseOneResponse();
      next_lost_call = Now() + milliseconds(calls_random_.Below(
                                   ToMilliseconds(kMaxLostCallInterval)));
    }
    if (Now() < next) continue;
    (this->*actions.at(random_.Below(actions.size())))();
    next =
        Now() + milliseconds(random_.Below(ToMilliseconds(kMaxFaultInterval)));
  }
  Recover();
  return violations_;
}

void Soak::Recover() {
  // The end of a fault may start another fault.
  while (!fault_ends_.empty()) {
    const auto end_fault = std::move(fault_ends_.begin()->second);
    fault_ends_.erase(fault_ends_.begin());
    end_fault();
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
    AddViolation(
        "not every key was served again within 25 s after the last fault");
  CheckResponses(true);
  for (const std::string& violation : fixture_.record.violations)
    AddViolation(violation);
}

void Soak::AddViolation(const std::string& what) {
  violations_.push_back(what);
}

void Soak::EndLater(Duration longest, std::function<void()> end) {
  fault_ends_.emplace(
      Now() + milliseconds(random_.Below(ToMilliseconds(longest))),
      std::move(end));
}

std::string Soak::PickHost() {
  return "host-" + std::to_string(1 + random_.Below(kHosts));
}

std::string Soak::PickUpstream(bool keyed) {
  return keyed ? "yard-" + std::to_string(1 + random_.Below(4))
               : "desk-" + std::to_string(1 + random_.Below(2));
}

void Soak::NoteDisturbance(const std::string& host) {
  disturbed_until_[host] = Now() + kDisturbanceTime;
}

void Soak::KillHost() {
  const std::string name = PickHost();
  if (!fixture_.hosts.at(name)->process.running()) return;
  NoteDisturbance(name);
  NoteOutOfTouch(name, false);
  fixture_.hosts.at(name)->process.Kill();
  EndLater(seconds(2), [this, name] {
    NoteDisturbance(name);
    fixture_.AddHost(name, fixture_.hosts.at(name)->zone);
    NoteOutOfTouch(name, true);
  });
}

void Soak::FreezeHost() {
  const std::string name = PickHost();
  if (!fixture_.hosts.at(name)->process.running()) return;
  NoteDisturbance(name);
  NoteOutOfTouch(name, false);
  fixture_.hosts.at(name)->process.Signal(SIGSTOP);
  EndLater(seconds(4), [this, name] {
    NoteDisturbance(name);
    if (fixture_.hosts.at(name)->process.running())
      fixture_.hosts.at(name)->process.Signal(SIGCONT);
    NoteOutOfTouch(name, true);
  });
}

void Soak::StopHost() {
  const std::string name = PickHost();
  if (!fixture_.hosts.at(name)->process.running()) return;
  NoteDisturbance(name);
  NoteOutOfTouch(name, false);
  fixture_.hosts.at(name)->process.Signal(SIGTERM);
  EndLater(seconds(7), [this, name] {
    NoteDisturbance(name);
    if (fixture_.hosts.at(name)->process.running())
      fixture_.hosts.at(name)->process.Kill();
    fixture_.AddHost(name, fixture_.hosts.at(name)->zone);
    NoteOutOfTouch(name, true);
  });
}

void Soak::ReloadSettings() {
  const ChildProcess& process = fixture_.hosts.at(PickHost())->process;
  if (process.running()) process.Signal(SIGHUP);
}

void Soak::PartitionHost() {
  const std::string name = PickHost();
  fixture_.SetStorePartition(name, true);
  NoteOutOfTouch(name, false);
  EndLater(seconds(6), [this, name] {
    fixture_.SetStorePartition(name, false);
    NoteOutOfTouch(name, true);
  });
}

void Soak::SilenceStore() {
  fixture_.store->faults().silent = true;
  fixture_.store->CancelWatches();
  NoteOutOfTouch("", false);
  EndLater(seconds(6), [this] {
    fixture_.store->faults().silent = false;
    NoteOutOfTouch("", true);
  });
}

void Soak::RefuseStoreRequests() {
  fixture_.store->faults().refuse = true;
  NoteOutOfTouch("", false);
  EndLater(seconds(6), [this] {
    fixture_.store->faults().refuse = false;
    NoteOutOfTouch("", true);
  });
}

void Soak::LoseStoreResponses() {
  fixture_.store->faults().lose_write_responses += 3;
  NoteOutOfTouch("", false);
  EndLater(seconds(3), [this] {
    fixture_.store->faults().lose_write_responses = 0;
    NoteOutOfTouch("", true);
  });
}

void Soak::LoseOneResponse() {
  fixture_.store->faults().call_to_lose =
      1 + static_cast<int>(calls_random_.Below(kMaxCallsUntilLoss));
}

void Soak::CompactStore() {
  fixture_.store->Compact();
  fixture_.store->CancelWatches();
  NoteOutOfTouch("", false);
  NoteOutOfTouch("", true);
}

void Soak::ChangeConfiguration() {
  fixture_.store->Put("config", "main", fixture_.Configuration(++version_));
}

void Soak::CrashUpstream() { ReplaceUpstream(PickUpstream(true)); }

void Soak::ReplaceUpstream(const std::string& id) {
  if (!crashed_.insert(id).second) return;
  leaving_.erase(id);
  const DeploymentUpstreamOptions options =
      fixture_.upstreams.at(id)->options();
  fixture_.CrashUpstream(id);
  const int index = id.back() - '0' + (options.keyed ? 0 : kKeyedUpstreams);
  EndLater(seconds(4), [this, id, options, index] {
    if (has_cold_upstreams_) {
      fixture_.AddColdUpstream(
          id, options.service, options.zone, index,
          milliseconds(cold_random_.Below(ToMilliseconds(kMaxReportDelay))));
    } else {
      fixture_.AddUpstream(id, options.service, options.zone, index);
    }
    crashed_.erase(id);
  });
}

// An upstream that leaves returns only as another incarnation.
void Soak::DrainUpstream() {
  const std::string id = PickUpstream(random_.Below(2) == 0);
  if (crashed_.contains(id)) return;
  fixture_.upstreams.at(id)->Report("draining");
  leaving_.try_emplace(id, Now());
  EndLater(seconds(5), [this, id] { ReplaceUpstream(id); });
}

void Soak::IgnoreCommands() {
  const std::string id = PickUpstream(true);
  if (crashed_.contains(id)) return;
  fixture_.upstreams.at(id)->faults().ignore_grants = true;
  fixture_.upstreams.at(id)->faults().ignore_releases = true;
  EndLater(seconds(6), [this, id] {
    if (crashed_.contains(id)) return;
    fixture_.upstreams.at(id)->faults().ignore_grants = false;
    fixture_.upstreams.at(id)->faults().ignore_releases = false;
  });
}

void Soak::LoseResponses() {
  const std::string id = PickUpstream(random_.Below(2) == 0);
  if (crashed_.contains(id)) return;
  fixture_.upstreams.at(id)->faults().lose_responses = true;
  EndLater(seconds(1), [this, id] {
    if (!crashed_.contains(id))
      fixture_.upstreams.at(id)->faults().lose_responses = false;
  });
}

void Soak::LosePaths() {
  constexpr std::array<UpstreamCut, 3> cuts = {
      UpstreamCut::kSilent, UpstreamCut::kRefused, UpstreamCut::kNewOnly};
  const std::string name =
      "host-" + std::to_string(1 + paths_random_.Below(kHosts));
  fixture_.SetUpstreamPartition(name, cuts.at(paths_random_.Below(3)));
  const auto length = milliseconds(paths_random_.Below(9000));
  NoteOutOfTouch(name, false);
  fault_ends_.emplace(Now() + length, [this, name] {
    fixture_.SetUpstreamPartition(name, UpstreamCut::kNone);
    NoteOutOfTouch(name, true);
  });
}

// The store is away for a moment and returns with a copy some seconds old. What
// operators and upstreams wrote since is written again.
void Soak::RestoreStore() {
  fixture_.store->TakeCopy();
  const auto copy_age = milliseconds(500 + restore_random_.Below(8000));
  const auto absence = milliseconds(restore_random_.Below(2500));
  fault_ends_.emplace(Now() + copy_age, [this] {
    fixture_.store->faults().refuse = true;
    fixture_.store->CancelWatches();
    NoteOutOfTouch("", false);
  });
  fault_ends_.emplace(Now() + copy_age + absence, [this] {
    fixture_.store->faults().refuse = false;
    fixture_.store->RestoreCopy();
    fixture_.store->RewriteLost();
    NoteOutOfTouch("", true);
  });
}

// The upstream itself checks that the hosts keep its limit.
void Soak::StateLimit() {
  constexpr std::array<const char*, 4> limits = {"0", "1.1", "4", "20"};
  const bool keyed = limit_random_.Below(2) == 0;
  const std::string id =
      keyed ? "yard-" + std::to_string(1 + limit_random_.Below(4))
            : "desk-" + std::to_string(1 + limit_random_.Below(2));
  const char* limit = limits.at(limit_random_.Below(limits.size()));
  const auto duration = seconds(4 + limit_random_.Below(6));
  if (crashed_.contains(id)) return;
  fixture_.upstreams.at(id)->StateLimit(limit);
  fault_ends_.emplace(Now() + duration, [this, id] {
    if (!crashed_.contains(id)) fixture_.upstreams.at(id)->StateLimit("");
  });
}

void Soak::SendRequest() {
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
  SentRequest request;
  request.host = PickHost();
  request.method = kind.method;
  request.at = Now();
  request.response =
      fixture_.Start(*fixture_.hosts.at(request.host), kind.method, kind.target,
                     key, "body", kResponseLimit);
  request.id = fixture_.last_request_id;
  sent_requests_.push_back(std::move(request));
}

void Soak::CheckResponses(bool all) {
  while (!sent_requests_.empty()) {
    const SentRequest& oldest = sent_requests_.front();
    if (!all && Now() - oldest.at < kResponseLimit + seconds(1)) return;
    Check(oldest);
    sent_requests_.pop_front();
  }
}

void Soak::Check(const SentRequest& request) {
  const auto started = std::count_if(
      fixture_.record.runs.begin(), fixture_.record.runs.end(),
      [&request](const UpstreamRun& run) {
        return run.request_id == request.id && run.began_at != kNever;
      });
  const CallerResponse& response = *request.response;
  const std::string what =
      request.method + " " + request.id + " at " + request.host;
  if (request.method != "GET" && started > 1) AddViolation(what + " ran twice");
  if (response.status == 503 && request.method != "GET" && started != 0)
    AddViolation(what + " ran, but its caller was told that it did not run");
  if (response.status == 200) {
    if (started == 0) AddViolation(what + " got a response, but never ran");
    if (FindHeader(response.headers, "x-request-id") != request.id ||
        FindHeader(response.headers, "x-response-signature") !=
            "s-" + request.id)
      AddViolation(what + " got the response to another request");
  }
  const auto disturbed = disturbed_until_.find(request.host);
  const bool may_be_lost =
      disturbed != disturbed_until_.end() && request.at < disturbed->second;
  if (!response.received && !may_be_lost)
    AddViolation(what + " got no response");
}

}  // namespace mimosadeal
