#include "load_run.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace mimosadeal {
namespace {

constexpr Duration kSendInterval = std::chrono::microseconds(500);
constexpr Duration kDrainTimeout = std::chrono::seconds(15);
// Time after a request's deadline until the client gives up.
constexpr Duration kResponseSlack = std::chrono::seconds(2);

std::string ReplacePlaceholder(std::string text, const std::string& placeholder,
                               const std::string& value) {
  const size_t at = text.find(placeholder);
  if (at != std::string::npos) text.replace(at, placeholder.size(), value);
  return text;
}

double Share(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

std::string FormatRow(const std::string& phase, const LoadClass& load_class,
                      const LoadCounts& counts) {
  const uint64_t not_served = counts.failed + counts.not_sent;
  char row[256];
  std::snprintf(
      row, sizeof(row),
      "%-12s %-10s %8llu %9.2f%% %8llu %8llu %7llu %7llu %9.1f %9.1f %9.1f "
      "%9.1f\n",
      phase.c_str(), load_class.name.c_str(),
      static_cast<unsigned long long>(counts.offered),
      100 * Share(counts.in_target, counts.offered),
      static_cast<unsigned long long>(counts.refused),
      static_cast<unsigned long long>(counts.late),
      static_cast<unsigned long long>(counts.unknown),
      static_cast<unsigned long long>(not_served),
      Percentile(counts.latencies_us, 0.5) / 1000.0,
      Percentile(counts.latencies_us, 0.99) / 1000.0,
      Percentile(counts.latencies_us, 0.999) / 1000.0,
      Percentile(counts.refusals_us, 0.99) / 1000.0);
  return row;
}

}  // namespace

uint32_t Percentile(std::vector<uint32_t> values, double part) {
  if (values.empty()) return 0;
  const auto rank =
      static_cast<size_t>(std::ceil(part * static_cast<double>(values.size())));
  const size_t index = std::clamp<size_t>(rank, 1, values.size()) - 1;
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

LoadRun::LoadRun(HttpExchange& client, LoadPlan plan,
                 std::function<std::vector<std::string>()> hosts)
    : client_(client),
      plan_(std::move(plan)),
      hosts_(std::move(hosts)),
      random_(plan_.seed),
      run_id_(NewUniqueId().substr(0, 8)) {}

double LoadRun::RateOf(const LoadClass& load_class,
                       const LoadPhase& phase) const {
  const auto factor = phase.factors.find(load_class.name);
  return load_class.rate *
         (factor == phase.factors.end() ? 1.0 : factor->second);
}

Duration LoadRun::NextInterval(double rate) {
  const double seconds = -std::log(1.0 - random_.Unit()) / rate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

void LoadRun::Run(const std::function<void(const LoadPhase&)>& on_phase) {
  for (const LoadPhase& phase : plan_.phases) {
    on_phase(phase);
    const MonotonicTime start = BootClock::now();
    for (const LoadClass& load_class : plan_.classes) {
      const double rate = RateOf(load_class, phase);
      arrivals_[load_class.name].next =
          rate > 0 ? start + NextInterval(rate) : kForever;
      counts_[phase.name][load_class.name];
    }
    const TimerId timer = client_.loop().timers().Every(
        kSendInterval, [this, &phase] { SendDue(phase); });
    client_.RunFor(phase.length);
    client_.loop().timers().Cancel(timer);
  }
  client_.RunUntil([this] { return client_.in_flight() == 0; }, kDrainTimeout);
}

void LoadRun::SendDue(const LoadPhase& phase) {
  const MonotonicTime now = BootClock::now();
  for (const LoadClass& load_class : plan_.classes) {
    MonotonicTime& next = arrivals_[load_class.name].next;
    while (next <= now) {
      SendOne(load_class, phase.name, next);
      next += NextInterval(RateOf(load_class, phase));
    }
  }
}

void LoadRun::SendOne(const LoadClass& load_class, const std::string& phase,
                      MonotonicTime due) {
  LoadCounts& counts = counts_[phase][load_class.name];
  ++counts.offered;
  ++sent_;
  const std::vector<std::string> hosts = hosts_();
  if (client_.in_flight() >= plan_.max_in_flight || hosts.empty()) {
    ++counts.not_sent;
    return;
  }
  const bool hot = random_.Unit() < load_class.hot_share;
  const uint64_t key =
      hot ? 0 : random_.Below(static_cast<uint64_t>(load_class.keys));
  const std::string number = std::to_string(sent_);
  ClientRequest request;
  request.method = load_class.method;
  request.path = ReplacePlaceholder(
      ReplacePlaceholder(load_class.path, "{key}", std::to_string(key)), "{id}",
      number);
  request.body = load_class.body;
  request.timeout = load_class.deadline + kResponseSlack;
  request.headers.push_back(
      {"mimosa-deadline-ms",
       std::to_string(ToMilliseconds(load_class.deadline))});
  if (load_class.needs_id)
    request.headers.push_back({"idempotency-key", run_id_ + "-" + number});
  client_.Start(
      hosts[random_.Below(hosts.size())], std::move(request),
      [&counts, &load_class, due](const ClientResponse& response) {
        const Duration latency = BootClock::now() - due;
        const auto microseconds =
            static_cast<uint32_t>(ToMicroseconds(latency));
        const std::string_view outcome =
            FindHeader(response.headers, "mimosa-outcome");
        if (response.failure == ClientFailure::kNone &&
            response.status == 200) {
          counts.latencies_us.push_back(microseconds);
          ++(latency <= load_class.target ? counts.in_target : counts.late);
        } else if (outcome == "not run") {
          ++counts.refused;
          counts.refusals_us.push_back(microseconds);
        } else if (outcome == "unknown") {
          ++counts.unknown;
        } else {
          ++counts.failed;
        }
      });
}

std::string LoadTable(const LoadRun& run) {
  std::string text =
      "phase        class       offered  in target  refused     late unknown  "
      "failed    p50 ms    p99 ms  p99.9 ms"
      " refusal p99\n";
  for (const LoadPhase& phase : run.plan().phases) {
    for (const LoadClass& load_class : run.plan().classes) {
      text += FormatRow(phase.name, load_class,
                        run.counts().at(phase.name).at(load_class.name));
    }
  }
  return text;
}

nlohmann::json LoadJson(const LoadRun& run) {
  nlohmann::json phases = nlohmann::json::array();
  for (const LoadPhase& phase : run.plan().phases) {
    nlohmann::json classes = nlohmann::json::object();
    for (const LoadClass& load_class : run.plan().classes) {
      const LoadCounts& counts =
          run.counts().at(phase.name).at(load_class.name);
      classes[load_class.name] = {
          {"offered", counts.offered},
          {"in_target", counts.in_target},
          {"late", counts.late},
          {"refused", counts.refused},
          {"unknown", counts.unknown},
          {"failed", counts.failed},
          {"not_sent", counts.not_sent},
          {"p50_us", Percentile(counts.latencies_us, 0.5)},
          {"p99_us", Percentile(counts.latencies_us, 0.99)},
          {"p999_us", Percentile(counts.latencies_us, 0.999)},
          {"refusal_p99_us", Percentile(counts.refusals_us, 0.99)},
          {"worth", load_class.worth * static_cast<double>(counts.in_target)}};
    }
    phases.push_back({{"phase", phase.name},
                      {"seconds", ToSeconds(phase.length)},
                      {"classes", classes}});
  }
  return phases;
}

}  // namespace mimosadeal
