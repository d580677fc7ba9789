#include "entry/path_monitor.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"

namespace mimosadeal {
namespace {

// Connecting to any zone takes 2 ms. A retransmission takes a second.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(150);
// Between probes of a service while connecting fails. Bounds how late a host
// notices that its paths are back.
constexpr Duration kProbeInterval = std::chrono::milliseconds(150);
// Upstreams tried at a time. One of them may be overloaded.
constexpr size_t kMinProbes = 2;

}  // namespace

PathMonitor::PathMonitor(EventLoop& loop, const DeploymentView& view,
                         EventLog& log)
    : loop_(loop), view_(view), log_(log), random_(SystemSeed()) {}

PathMonitor::~PathMonitor() {
  loop_.timers().Cancel(timer_);
  for (const auto& [id, probe] : probes_) loop_.timers().Cancel(probe.timer);
}

size_t PathMonitor::ServingCount(const std::string& service) const {
  return view_.directory().ServingUpstreams(service).size();
}

void PathMonitor::OnConnected(const UpstreamRecord& upstream) {
  Service& service = services_[upstream.service];
  NoteConnected(service.paths, upstream.id, loop_.timers().now());
  Update(upstream.service, service);
}

void PathMonitor::OnConnectFailed(const UpstreamRecord& upstream,
                                  bool refused) {
  Service& service = services_[upstream.service];
  NoteConnectFailed(service.paths, upstream.id, refused, loop_.timers().now());
  Update(upstream.service, service);
  if (timer_ == 0) loop_.Post([this] { ProbeFailing(); });
  Notify();
}

void PathMonitor::Check(const UpstreamRecord& upstream) {
  if (!IsUnreached(upstream)) StartProbe(upstream);
}

bool PathMonitor::IsCutOff(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         mimosadeal::IsCutOff(found->second.paths, ServingCount(service),
                              loop_.timers().now());
}

Duration PathMonitor::OutageOf(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return Duration::zero();
  return mimosadeal::OutageOf(found->second.paths, ServingCount(service),
                              loop_.timers().now());
}

bool PathMonitor::IsUnreached(const UpstreamRecord& upstream) const {
  const auto found = services_.find(upstream.service);
  return found != services_.end() &&
         mimosadeal::IsUnreached(found->second.paths, upstream.id,
                                 loop_.timers().now());
}

bool PathMonitor::ConnectedSince(const std::string& service,
                                 MonotonicTime since) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         found->second.paths.connected_at != kNever &&
         found->second.paths.connected_at >= since;
}

std::vector<std::string> PathMonitor::ReachedServices() const {
  std::vector<std::string> reached;
  if (view_.routes() == nullptr) return reached;
  for (const auto& [name, config] : view_.routes()->services) {
    if (!IsCutOff(name)) reached.push_back(name);
  }
  return reached;
}

size_t PathMonitor::cut_off_services() const {
  return static_cast<size_t>(std::count_if(
      services_.begin(), services_.end(),
      [this](const auto& entry) { return IsCutOff(entry.first); }));
}

void PathMonitor::Update(const std::string& name, Service& service) {
  const MonotonicTime now = loop_.timers().now();
  const bool cut_off = IsCutOff(name);
  if (cut_off == service.cut_off) return;
  service.cut_off = cut_off;
  const MonotonicTime since = std::exchange(service.cut_off_since, now);
  log_.LogStateChange(
      cut_off ? "paths.lost" : "paths.regained",
      {{"service", name},
       {"unreached",
        static_cast<uint64_t>(CountFailedPaths(service.paths, now))},
       {"upstreams", static_cast<uint64_t>(ServingCount(name))},
       {"after_ms", since == kNever ? Duration::zero() : now - since}});
  Notify();
}

void PathMonitor::Notify() {
  if (std::exchange(notifying_, true)) return;
  loop_.Post([this] {
    notifying_ = false;
    if (listener_) listener_();
  });
}

void PathMonitor::StartProbe(const UpstreamRecord& upstream) {
  if (probes_.contains(upstream.id)) return;
  TcpStreamHandlers handlers;
  handlers.on_connected = [this, upstream] {
    EndProbe(upstream, [&] { OnConnected(upstream); });
  };
  handlers.on_data = [](std::string_view) {};
  handlers.on_end = [this, upstream](StreamEnd end) {
    EndProbe(upstream,
             [&] { OnConnectFailed(upstream, end == StreamEnd::kRefused); });
  };
  auto stream =
      TcpStream::Connect(loop_, upstream.address, std::move(handlers));
  if (!stream.has_value()) return;
  Probe& probe = probes_[upstream.id];
  probe.stream = std::move(stream.value());
  probe.timer = loop_.timers().After(kProbeTimeout, [this, upstream] {
    EndProbe(upstream, [&] { OnConnectFailed(upstream, false); });
  });
}

void PathMonitor::EndProbe(const UpstreamRecord& upstream,
                           const std::function<void()>& note) {
  auto ended = probes_.extract(upstream.id);
  if (ended.empty()) return;
  loop_.timers().Cancel(ended.mapped().timer);
  // The stream may be the caller.
  loop_.Post([stream = std::shared_ptr<TcpStream>(
                  std::move(ended.mapped().stream))] {});
  note();
}

void PathMonitor::ProbeFailing() {
  const MonotonicTime now = loop_.timers().now();
  bool any = false;
  for (auto& [name, service] : services_) {
    Update(name, service);
    const size_t failed = CountFailedPaths(service.paths, now);
    if (failed == 0) continue;
    any = true;
    const auto& serving = view_.directory().ServingUpstreams(name);
    if (serving.empty()) continue;
    const size_t needed = std::min(kMinFailedPaths, serving.size());
    const size_t missing = needed - std::min(failed, needed);
    const size_t wanted = std::max(kMinProbes, missing);
    const size_t start = random_.Below(serving.size());
    for (size_t i = 0, begun = 0; i < serving.size() && begun < wanted; ++i) {
      const UpstreamRecord& record =
          serving[(start + i) % serving.size()]->record;
      if (missing > 0 && IsUnreached(record)) continue;
      StartProbe(record);
      ++begun;
    }
  }
  timer_ = 0;
  if (any) {
    timer_ = loop_.timers().After(kProbeInterval, [this] { ProbeFailing(); });
  }
}

}  // namespace mimosadeal
