// The product's metrics: prometheus-cpp families, and the text that /metrics
// serves.
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
  // Tenants beyond `max_tenants` share the label "other".
  explicit Metrics(size_t max_tenants);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // One request of a caller, as ingress answered it.
  void ObserveRequest(const std::string& service, const std::string& rank,
                      const std::string& tenant, DispatchStatus status,
                      RequestOutcome outcome, Duration latency);
  // Time that a request waited in a dispatcher's queue.
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
  // Found once for each label set, since prometheus-cpp looks labels up by a
  // hash of a map.
  std::map<CountKey, prometheus::Counter*> count_cache_;
  std::map<Key, prometheus::Histogram*> request_cache_;
  std::map<Key, prometheus::Histogram*> tenant_cache_;
  std::map<Key, prometheus::Histogram*> wait_cache_;
  std::map<std::string, std::string> tenant_labels_;
  std::map<GaugeName, prometheus::Gauge*> gauges_;
};

}  // namespace mimosadeal
