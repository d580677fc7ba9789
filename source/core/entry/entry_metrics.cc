#include "entry/entry_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "common/enum_names.h"
#include "fleet/propagation.h"

namespace mimosadeal {
namespace {

constexpr EnumNames<EntryGauge, 17> kEntryGaugeNames = {{
    {EntryGauge::kConfigurationVersion, "mimosadeal_configuration_version"},
    {EntryGauge::kOpenRequests, "mimosadeal_open_requests"},
    {EntryGauge::kCallerConnections, "mimosadeal_caller_connections"},
    {EntryGauge::kUpstreamConnections,
     "mimosadeal_upstream_connections_opened"},
    {EntryGauge::kStoreReads, "mimosadeal_store_reads"},
    {EntryGauge::kStoreWatches, "mimosadeal_store_watches"},
    {EntryGauge::kStoreWrites, "mimosadeal_store_writes"},
    {EntryGauge::kStoreFailures, "mimosadeal_store_failures"},
    {EntryGauge::kZoneLeasesHeld, "mimosadeal_zone_leases_held"},
    {EntryGauge::kReady, "mimosadeal_ready"},
    {EntryGauge::kServicesCutOff, "mimosadeal_services_cut_off"},
    {EntryGauge::kZonesEvacuated, "mimosadeal_zones_evacuated"},
    {EntryGauge::kColdUpstreams, "mimosadeal_cold_upstreams"},
    {EntryGauge::kUnreadableRegistrations,
     "mimosadeal_unreadable_registrations"},
    {EntryGauge::kUnreadableObjects, "mimosadeal_unreadable_objects"},
    {EntryGauge::kLogLinesDropped, "mimosadeal_log_lines_dropped"},
    {EntryGauge::kHedgePercent, "mimosadeal_hedge_extra_work_percent"},
}};

// Bounds of the latency buckets, in seconds.
prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  return {0.005, 0.017, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4,
          0.6,   0.8,   1,    1.5, 2,    3,   5};
}

}  // namespace

EntryMetrics::EntryMetrics()
    : registry_(std::make_unique<prometheus::Registry>()),
      answers_(prometheus::BuildCounter()
                   .Name("mimosadeal_answers_total")
                   .Help("Upstreams' answers passed on, by status")
                   .Register(*registry_)),
      refusals_(prometheus::BuildCounter()
                    .Name("mimosadeal_refusals_total")
                    .Help("Final answers of this host's own, by reason")
                    .Register(*registry_)),
      request_seconds_(prometheus::BuildHistogram()
                           .Name("mimosadeal_request_seconds")
                           .Help("Time from a request's arrival to its answer")
                           .Register(*registry_)),
      sent_to_leaving_seconds_(
          prometheus::BuildHistogram()
              .Name("mimosadeal_sent_to_leaving_seconds")
              .Help("Time from hearing that an upstream leaves to a request "
                    "that is sent to it all the same")
              .Register(*registry_)
              .Add({}, LatencyBuckets())),
      sent_to_lapsed_seconds_(
          prometheus::BuildHistogram()
              .Name("mimosadeal_sent_to_lapsed_seconds")
              .Help("Time from learning that an upstream's registration "
                    "lapsed to a request that is sent to it all the same")
              .Register(*registry_)
              .Add({}, LatencyBuckets())),
      sent_to_evacuated_seconds_(
          prometheus::BuildHistogram()
              .Name("mimosadeal_sent_to_evacuated_seconds")
              .Help("Time from learning that an upstream's zone is evacuated "
                    "to a request that is sent to it all the same")
              .Register(*registry_)
              .Add({}, LatencyBuckets())),
      propagation_seconds_(
          prometheus::BuildHistogram()
              .Name("mimosadeal_propagation_seconds")
              .Help("Parts of the way of a change from the store to the "
                    "requests")
              .Register(*registry_)),
      sent_to_limited_(prometheus::BuildCounter()
                           .Name("mimosadeal_sent_to_limited_total")
                           .Help("Requests sent to upstreams that have stated "
                                 "a limit of requests per second")
                           .Register(*registry_)
                           .Add({})),
      sent_to_cold_(prometheus::BuildCounter()
                        .Name("mimosadeal_sent_to_cold_total")
                        .Help("Requests sent to upstreams that count as cold")
                        .Register(*registry_)
                        .Add({})),
      permits_(prometheus::BuildCounter()
                   .Name("mimosadeal_permits_total")
                   .Help("Permits for requests to upstreams with a limit, by "
                         "outcome")
                   .Register(*registry_)),
      relayed_(prometheus::BuildCounter()
                   .Name("mimosadeal_relayed_total")
                   .Help("Requests that another host was asked to send, by "
                         "outcome")
                   .Register(*registry_)),
      hedges_(prometheus::BuildCounter()
                  .Name("mimosadeal_hedges_total")
                  .Help("Second tries of late requests, sent and by outcome")
                  .Register(*registry_)),
      move_waits_(prometheus::BuildCounter()
                      .Name("mimosadeal_move_waits_total")
                      .Help("Requests for keys that were being moved, by what "
                            "was decided, and by how their wait ended")
                      .Register(*registry_)),
      hedge_refusals_(prometheus::BuildCounter()
                          .Name("mimosadeal_hedge_refusals_total")
                          .Help("Late requests without a second try, by reason")
                          .Register(*registry_)),
      pressure_(prometheus::BuildCounter()
                    .Name("mimosadeal_caller_pressure_total")
                    .Help("Callers refused or closed because bytes or "
                          "connections ran short, by action")
                    .Register(*registry_)),
      room_(prometheus::BuildCounter()
                .Name("mimosadeal_room_total")
                .Help("Requests to services whose room is lent that had no "
                      "free loan, by what was done")
                .Register(*registry_)),
      owner_room_(prometheus::BuildCounter()
                      .Name("mimosadeal_owner_room_total")
                      .Help("Signs that owners of keys are contended, and "
                            "decisions about places at them, by outcome")
                      .Register(*registry_)) {
  for (const EnumName<EntryGauge>& entry : kEntryGaugeNames) {
    auto& family = prometheus::BuildGauge()
                       .Name(std::string(entry.name))
                       .Register(*registry_);
    gauges_[entry.value] = &family.Add({});
  }
}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::ObserveAnswer(const std::string& service, int rank,
                                 int status, Duration latency) {
  prometheus::Counter*& counter = answer_cache_[{service, rank, status}];
  if (counter == nullptr) {
    counter = &answers_.Add({{"service", service},
                             {"rank", std::to_string(rank)},
                             {"status", std::to_string(status)}});
  }
  counter->Increment();
  prometheus::Histogram*& histogram = request_seconds_cache_[{service, rank}];
  if (histogram == nullptr) {
    histogram = &request_seconds_.Add(
        {{"service", service}, {"rank", std::to_string(rank)}},
        LatencyBuckets());
  }
  histogram->Observe(ToSeconds(latency));
}

void EntryMetrics::ObserveRefusal(std::string_view reason) {
  prometheus::Counter*& counter = refusal_cache_[std::string(reason)];
  if (counter == nullptr)
    counter = &refusals_.Add({{"reason", std::string(reason)}});
  counter->Increment();
}

void EntryMetrics::ObserveAbandoned() { ObserveRefusal("abandoned"); }

void EntryMetrics::ObserveSentToLeaving(Duration after) {
  sent_to_leaving_seconds_.Observe(ToSeconds(after));
}

void EntryMetrics::ObserveSentToLapsed(Duration after) {
  sent_to_lapsed_seconds_.Observe(ToSeconds(after));
}

void EntryMetrics::ObserveSentToEvacuated(Duration after) {
  sent_to_evacuated_seconds_.Observe(ToSeconds(after));
}

void EntryMetrics::ObservePropagation(PropagationPart part, Duration time) {
  prometheus::Histogram*& histogram = propagation_[part];
  if (histogram == nullptr) {
    const std::string name(NameOf(kPropagationPartNames, part));
    histogram = &propagation_seconds_.Add({{"part", name}}, LatencyBuckets());
  }
  histogram->Observe(ToSeconds(time));
}

void EntryMetrics::ObserveSentToLimited() { sent_to_limited_.Increment(); }

void EntryMetrics::ObserveSentToCold() { sent_to_cold_.Increment(); }

void EntryMetrics::ObservePermit(std::string_view outcome) {
  permits_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void EntryMetrics::ObserveRelayed(std::string_view outcome) {
  relayed_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void EntryMetrics::ObserveHedge(std::string_view outcome) {
  hedges_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void EntryMetrics::ObserveMoveWait(std::string_view outcome) {
  move_waits_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void EntryMetrics::ObserveHedgeRefusal(std::string_view reason) {
  hedge_refusals_.Add({{"reason", std::string(reason)}}).Increment();
}

void EntryMetrics::ObservePressure(std::string_view action) {
  pressure_.Add({{"action", std::string(action)}}).Increment();
}

void EntryMetrics::ObserveRoom(std::string_view outcome) {
  room_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void EntryMetrics::ObserveOwnerRoom(std::string_view outcome) {
  owner_room_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void EntryMetrics::Set(EntryGauge gauge, double value) {
  gauges_.at(gauge)->Set(value);
}

std::string EntryMetrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace mimosadeal
