// The metrics of an entry host: counters, gauges and latency histograms, in the
// Prometheus text format.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

#include "common/boot_clock.h"

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
template <typename T>
class Family;
}  // namespace prometheus

namespace mimosadeal {

enum class PropagationPart : uint8_t;

enum class EntryGauge : uint8_t {
  kConfigurationVersion,
  kOpenRequests,
  kCallerConnections,
  kUpstreamConnections,
  kStoreReads,
  kStoreWatches,
  kStoreWrites,
  kStoreFailures,
  kZoneLeasesHeld,
  kReady,
  kServicesCutOff,
  kZonesEvacuated,
  kColdUpstreams,
  kUnreadableRegistrations,
  kUnreadableObjects,
  kLogLinesDropped,
  kHedgePercent,
};

class EntryMetrics {
 public:
  EntryMetrics();
  ~EntryMetrics();
  EntryMetrics(const EntryMetrics&) = delete;
  EntryMetrics& operator=(const EntryMetrics&) = delete;

  // An upstream's response was returned to the caller.
  void ObserveAnswer(const std::string& service, int rank, int status,
                     Duration latency);
  // This host refused the request; see RefusalReason.
  void ObserveRefusal(std::string_view reason);
  // The caller closed its connection before the response.
  void ObserveAbandoned();
  // A request was sent to an upstream `after` this host learned that it is
  // leaving.
  void ObserveSentToLeaving(Duration after);
  // A request was sent to an upstream `after` this host learned that its
  // registration lapsed.
  void ObserveSentToLapsed(Duration after);
  // A request was sent to an upstream `after` this host learned that its zone
  // is evacuated.
  void ObserveSentToEvacuated(Duration after);
  // A part of the way of a change from the store to the requests took `time`.
  void ObservePropagation(PropagationPart part, Duration time);
  // A request was sent to an upstream that has stated a limit.
  void ObserveSentToLimited();
  // A request was sent to an upstream that counts as cold.
  void ObserveSentToCold();
  // A permit for such a request was given or refused; see
  // RequestForwarder::OnPermit.
  void ObservePermit(std::string_view outcome);
  // Another host was asked to send a request; see ExchangeRelay::OnReply.
  void ObserveRelayed(std::string_view outcome);
  // A second try of a late request was sent or ended; see docs/OPERATIONS.md
  // for the outcomes.
  void ObserveHedge(std::string_view outcome);
  // What was decided about a request whose key was being moved, or how its wait
  // ended.
  void ObserveMoveWait(std::string_view outcome);
  // A late request got no second try; see HedgeRefusal.
  void ObserveHedgeRefusal(std::string_view reason);
  // This host refused or closed a caller because bytes or connections ran
  // short; see PressureAction.
  void ObservePressure(std::string_view action);
  // A request met scarce room; see RequestForwarder::FindInRoom.
  void ObserveRoom(std::string_view outcome);
  // A decision about a contended owner of keys; see docs/OPERATIONS.md for the
  // outcomes.
  void ObserveOwnerRoom(std::string_view outcome);
  void Set(EntryGauge gauge, double value);

  // Returns all metrics in the Prometheus text format.
  std::string Serialize() const;

 private:
  using AnswerKey = std::tuple<std::string, int, int>;

  std::unique_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Histogram>& request_seconds_;
  prometheus::Histogram& sent_to_leaving_seconds_;
  prometheus::Histogram& sent_to_lapsed_seconds_;
  prometheus::Histogram& sent_to_evacuated_seconds_;
  prometheus::Family<prometheus::Histogram>& propagation_seconds_;
  std::map<PropagationPart, prometheus::Histogram*> propagation_;
  prometheus::Counter& sent_to_limited_;
  prometheus::Counter& sent_to_cold_;
  prometheus::Family<prometheus::Counter>& permits_;
  prometheus::Family<prometheus::Counter>& relayed_;
  prometheus::Family<prometheus::Counter>& hedges_;
  prometheus::Family<prometheus::Counter>& move_waits_;
  prometheus::Family<prometheus::Counter>& hedge_refusals_;
  prometheus::Family<prometheus::Counter>& pressure_;
  prometheus::Family<prometheus::Counter>& room_;
  prometheus::Family<prometheus::Counter>& owner_room_;
  // Metrics by label values, so that each is looked up in its family only once.
  std::map<AnswerKey, prometheus::Counter*> answer_cache_;
  std::map<std::pair<std::string, int>, prometheus::Histogram*>
      request_seconds_cache_;
  std::map<std::string, prometheus::Counter*> refusal_cache_;
  std::map<EntryGauge, prometheus::Gauge*> gauges_;
};

}  // namespace mimosadeal
