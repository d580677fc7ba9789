// The part of RequestForwarder that concerns evacuated availability zones.

#include <algorithm>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/entry_metrics.h"
#include "entry/request_forwarder.h"
#include "entry/request_forwarder_state.h"
#include "net/event_loop.h"

namespace mimosadeal {

bool RequestForwarder::IsOwnerEvacuated(const KeyRange* range) const {
  return range != nullptr &&
         loop_.timers().now() >= view_.ZoneUsableUntil(range->zone);
}

bool RequestForwarder::IsServiceEvacuated(const std::string& service) const {
  const auto& serving = view_.directory().ServingUpstreams(service);
  return !serving.empty() &&
         std::all_of(serving.begin(), serving.end(),
                     [this](const ListedUpstream* upstream) {
                       const std::string& zone = upstream->record.zone;
                       return view_.IsEvacuated(zone) ||
                              view_.ZoneUsableUntil(zone) != kForever;
                     });
}

void RequestForwarder::LogSentToEvacuated(const PendingRequest& pending,
                                          const UpstreamRecord& upstream,
                                          MonotonicTime chosen_at,
                                          const ExchangeResult& result) {
  const MonotonicTime known_since = view_.EvacuatedAt(upstream.zone);
  if (result.sent_at == kNever || known_since == kNever) return;
  metrics_.ObserveSentToEvacuated(result.sent_at - known_since);
  log_.LogRequest(
      "request.sent-to-evacuated",
      {{"id", pending.request.id},
       {"upstream", upstream.id},
       {"zone", upstream.zone},
       {"heard_ms_before", result.sent_at - known_since},
       {"chosen_ms_before", result.sent_at - chosen_at},
       {"sent_ms_ago", loop_.timers().now() - result.sent_at},
       {"evacuations",
        view_.Revisions().at(static_cast<size_t>(ViewKind::kEvacuations))}});
}

}  // namespace mimosadeal
