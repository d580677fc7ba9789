// The metrics that /metrics serves, kept as prometheus-cpp families.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <tuple>

#include "common/boot_clock.h"
#include "inner/request_messages.h"

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
template <typename T>
class Family;
}  // namespace prometheus

namespace mimosadeal {

enum class GaugeName : uint8_t {
  kLeaseValid,
  kIsController,
  kTerm,
  kTableSequence,
  kConfigurationVersion,
  kUpstreamsDispatched,
  kShardsDispatched,
  kOpenRequests,
  kLedgerEntries,
  kControlBytesSent,
  kPlatformReads,
  kPlatformWrites,
  kPlatformWatches,
  kPlatformFailures,
};

class Metrics {
 public:
  // Only the first `max_tenants` tenants get a label of their own; all others
  // share the label "other".
  explicit Metrics(size_t max_tenants);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Counts a caller's request when this host, as its ingress, responds to it.
  // `latency` is the time from the request's arrival.
  void ObserveRequest(const std::string& service, const std::string& rank,
                      const std::string& tenant, DispatchStatus status,
                      RequestOutcome outcome, Duration latency);
  // Records the time that a request waited in the dispatcher's queue.
  void ObserveWait(const std::string& service, const std::string& rank,
                   Duration wait);
  void Set(GaugeName name, double value);

  // Returns all metrics in the Prometheus text format.
  std::string Serialize() const;

 private:
  using Key = std::pair<std::string, std::string>;
  using CountKey =
      std::tuple<std::string, std::string, DispatchStatus, RequestOutcome>;

  std::string TenantLabel(const std::string& tenant);

  size_t max_tenants_;
  std::unique_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& request_counts_;
  prometheus::Family<prometheus::Histogram>& request_seconds_;
  prometheus::Family<prometheus::Histogram>& tenant_seconds_;
  prometheus::Family<prometheus::Histogram>& wait_seconds_;
  // One metric for each set of labels. These caches avoid the lookup in
  // prometheus-cpp, which hashes a map of labels each time.
  std::map<CountKey, prometheus::Counter*> count_cache_;
  std::map<Key, prometheus::Histogram*> request_cache_;
  std::map<Key, prometheus::Histogram*> tenant_cache_;
  std::map<Key, prometheus::Histogram*> wait_cache_;
  std::map<std::string, std::string> tenant_labels_;
  std::map<GaugeName, prometheus::Gauge*> gauges_;
};

}  // namespace mimosadeal
