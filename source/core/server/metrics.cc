#include "server/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

#include "common/enum_names.h"
#include "requests/outcome_names.h"

namespace mimosadeal {
namespace {

constexpr EnumNames<GaugeName, 14> kGaugeNames = {{
    {GaugeName::kLeaseValid, "mimosadeal_lease_valid"},
    {GaugeName::kIsController, "mimosadeal_is_controller"},
    {GaugeName::kTerm, "mimosadeal_term"},
    {GaugeName::kTableSequence, "mimosadeal_table_sequence"},
    {GaugeName::kConfigurationVersion, "mimosadeal_configuration_version"},
    {GaugeName::kUpstreamsDispatched, "mimosadeal_upstreams_dispatched"},
    {GaugeName::kShardsDispatched, "mimosadeal_shards_dispatched"},
    {GaugeName::kOpenRequests, "mimosadeal_open_requests"},
    {GaugeName::kLedgerEntries, "mimosadeal_ledger_entries"},
    {GaugeName::kControlBytesSent, "mimosadeal_control_bytes_sent"},
    {GaugeName::kPlatformReads, "mimosadeal_platform_reads"},
    {GaugeName::kPlatformWrites, "mimosadeal_platform_writes"},
    {GaugeName::kPlatformWatches, "mimosadeal_platform_watches"},
    {GaugeName::kPlatformFailures, "mimosadeal_platform_failures"},
}};

constexpr std::string_view kOtherTenants = "other";
constexpr std::string_view kNoTenant = "none";

// Bucket boundaries in seconds.
prometheus::Histogram::BucketBoundaries Buckets() {
  return {0.0005, 0.001, 0.002, 0.005, 0.01, 0.017, 0.025, 0.05,
          0.1,    0.25,  0.5,   1,     2.5,  5,     10,    30};
}

prometheus::Family<prometheus::Histogram>& HistogramFamily(
    prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

}  // namespace

Metrics::Metrics(size_t max_tenants)
    : max_tenants_(max_tenants),
      registry_(std::make_unique<prometheus::Registry>()),
      request_counts_(prometheus::BuildCounter()
                          .Name("mimosadeal_requests_total")
                          .Help("Callers' requests by status and outcome")
                          .Register(*registry_)),
      request_seconds_(
          HistogramFamily(*registry_, "mimosadeal_request_seconds",
                          "Time from a request's arrival to its answer")),
      tenant_seconds_(HistogramFamily(
          *registry_, "mimosadeal_tenant_request_seconds",
          "Time from a request's arrival to its answer, by tenant")),
      wait_seconds_(
          HistogramFamily(*registry_, "mimosadeal_queue_seconds",
                          "Time that a request waited at its dispatcher")) {
  for (const EnumName<GaugeName>& entry : kGaugeNames) {
    auto& family = prometheus::BuildGauge()
                       .Name(std::string(entry.name))
                       .Register(*registry_);
    gauges_[entry.value] = &family.Add({});
  }
}

Metrics::~Metrics() = default;

std::string Metrics::TenantLabel(const std::string& tenant) {
  if (tenant.empty()) return std::string(kNoTenant);
  const auto known = tenant_labels_.find(tenant);
  if (known != tenant_labels_.end()) return known->second;
  if (tenant_labels_.size() >= max_tenants_) return std::string(kOtherTenants);
  tenant_labels_[tenant] = tenant;
  return tenant;
}

void Metrics::ObserveRequest(const std::string& service,
                             const std::string& rank, const std::string& tenant,
                             DispatchStatus status, RequestOutcome outcome,
                             Duration latency) {
  prometheus::Counter*& count =
      count_cache_[CountKey(service, rank, status, outcome)];
  if (count == nullptr) {
    count = &request_counts_.Add(
        {{"service", service},
         {"rank", rank},
         {"status", std::string(DispatchStatusName(status))},
         {"outcome", std::string(OutcomeName(outcome))}});
  }
  count->Increment();
  prometheus::Histogram*& by_rank = request_cache_[Key(service, rank)];
  if (by_rank == nullptr)
    by_rank = &request_seconds_.Add({{"service", service}, {"rank", rank}},
                                    Buckets());
  by_rank->Observe(ToSeconds(latency));
  const std::string label = TenantLabel(tenant);
  prometheus::Histogram*& by_tenant = tenant_cache_[Key(service, label)];
  if (by_tenant == nullptr)
    by_tenant = &tenant_seconds_.Add({{"service", service}, {"tenant", label}},
                                     Buckets());
  by_tenant->Observe(ToSeconds(latency));
}

void Metrics::ObserveWait(const std::string& service, const std::string& rank,
                          Duration wait) {
  prometheus::Histogram*& histogram = wait_cache_[Key(service, rank)];
  if (histogram == nullptr)
    histogram =
        &wait_seconds_.Add({{"service", service}, {"rank", rank}}, Buckets());
  histogram->Observe(ToSeconds(wait));
}

void Metrics::Set(GaugeName name, double value) {
  gauges_.at(name)->Set(value);
}

std::string Metrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace mimosadeal
