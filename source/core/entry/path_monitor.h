// Knows which services this host has lost its paths to, from the outcome of its
// attempts to connect to upstreams and from connections that it opens to find
// out. They are closed at once and carry no request.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "balance/upstream_paths.h"
#include "common/ids.h"
#include "fleet/upstream_record.h"

namespace mimosadeal {

class DeploymentView;
class EventLog;
class EventLoop;
class TcpStream;

class PathMonitor {
 public:
  PathMonitor(EventLoop& loop, const DeploymentView& view, EventLog& log);
  ~PathMonitor();
  PathMonitor(const PathMonitor&) = delete;
  PathMonitor& operator=(const PathMonitor&) = delete;

  // `listener` runs when the paths to a service are lost or regained, and when
  // connecting to one of its upstreams fails.
  void SetListener(std::function<void()> listener) {
    listener_ = std::move(listener);
  }
  void OnConnected(const UpstreamRecord& upstream);
  // `refused`: by the upstream's address; else there was no answer.
  void OnConnectFailed(const UpstreamRecord& upstream, bool refused);
  // Finds out whether the upstream accepts a connection, unless that is known
  // from a recent attempt or being tried.
  void Check(const UpstreamRecord& upstream);

  // Whether this host has lost its paths to the service.
  bool IsCutOff(const std::string& service) const;
  // Returns for how long no connection to the service could be opened; zero if
  // that is not shown.
  Duration OutageOf(const std::string& service) const;
  // Whether this host recently failed to connect to the upstream.
  bool IsUnreached(const UpstreamRecord& upstream) const;
  // Whether a connection to an upstream of the service was established since.
  bool ConnectedSince(const std::string& service, MonotonicTime since) const;
  // Returns the services of the configuration that this host has paths to.
  std::vector<std::string> ReachedServices() const;
  // Returns the number of services that this host has lost its paths to.
  size_t cut_off_services() const;

 private:
  struct Service {
    ServicePaths paths;
    bool cut_off = false;  // As last logged.
    MonotonicTime cut_off_since = kNever;
  };
  struct Probe {
    std::unique_ptr<TcpStream> stream;
    uint64_t timer = 0;
  };

  void StartProbe(const UpstreamRecord& upstream);
  // Ends the probe, if it is in progress, and runs `note`.
  void EndProbe(const UpstreamRecord& upstream,
                const std::function<void()>& note);
  // Logs whether the paths to the service were lost or regained.
  void Update(const std::string& name, Service& service);
  // Runs the listener in the next iteration of the loop.
  void Notify();
  // Tries further upstreams of the services at which connecting failed last.
  void ProbeFailing();
  size_t ServingCount(const std::string& service) const;

  EventLoop& loop_;
  const DeploymentView& view_;
  EventLog& log_;
  std::function<void()> listener_;
  bool notifying_ = false;
  Random random_;
  std::map<std::string, Service> services_;
  std::map<std::string, Probe> probes_;  // In progress, by upstream.
  uint64_t timer_ = 0;
};

}  // namespace mimosadeal
