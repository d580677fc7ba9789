// Gives and asks for permits to send requests to upstreams that limit the
// requests per second of all hosts together, or that are cold.
//
// The holder of the lease on an upstream's availability zone gives the permits
// for it, so that at most one host does. While the store does not confirm its
// lease, it goes on with a part of the limit, which together with the limit of
// a successor stays within what upstreams tolerate. A successor begins without
// saved permits. A host that gets no permit sends nothing.
//
// For contended owners of keys a permit comes with a place, of which there are
// as many as the owner has room for; see OwnerPlaces. A host that hears nothing
// of a giver sends without one.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "balance/owner_places.h"
#include "balance/permit_queue.h"
#include "common/boot_clock.h"
#include "common/ids.h"
#include "fleet/upstream_limit.h"
#include "inner/zone_messages.h"

namespace mimosadeal {

class DeploymentView;
class EventLog;
class EventLoop;
struct ListedUpstream;
struct OwnerPlaceNotice;
struct OwnerPlaceRequest;

// The host that gives permits for the upstreams of a zone.
struct PermitGiver {
  bool is_self = false;
  double share = 1;   // Part of the limit that this host may give.
  uint64_t term = 0;  // Of this host's lease on the zone.
  // Inner address of the giver, or of a host that knows it; empty if unknown.
  std::string address;
};

struct PermitDecision {
  bool granted = false;
  bool answered = false;  // Whether a giver decided.
  Duration retry_after{};
  // If granted, the number of the place that came with the permit, which is to
  // be returned; 0 if none was asked for.
  uint64_t place = 0;
};

// A request for a place at a contended owner, from now on.
struct PlaceAsk {
  Duration in_time{};  // See PlaceWait.
  Duration hold{};     // Until the end of the request's time.
  Duration work{};     // Mean time of a request in a slot; zero if unknown.
};

struct PermitBrokerHandlers {
  std::function<PermitGiver(const std::string& zone)> find_giver;
  // With `cold_ms` 0, the upstream is not known to be cold.
  std::function<void(const std::string& address, const ColdPermitRequest&)>
      send_request;
  std::function<void(const std::string& address, const PermitReply&)>
      send_reply;
  // Another host told what an upstream stated about its limit.
  std::function<void(const std::string& upstream, int64_t incarnation,
                     const UpstreamLimit& stated)>
      on_limit;
  // Another host takes an upstream for cold.
  std::function<void(const std::string& upstream, uint32_t cold_ms)> on_cold;
  // The rest is for places only.
  std::function<void(const std::string& address, const OwnerPlaceRequest&)>
      send_place_request;
  std::function<void(const std::string& address, const OwnerPlaceNotice&)>
      send_notice;
  // For how long this host still takes an owner for contended.
  std::function<Duration(const std::string& upstream, int64_t incarnation)>
      contended_left;
  // Requests wait for places at an owner.
  std::function<void(const std::string& upstream, int64_t incarnation)>
      on_contended;
};

class PermitBroker {
 public:
  using Callback = std::function<void(const PermitDecision&)>;

  PermitBroker(EventLoop& loop, const DeploymentView& view, EventLog& log,
               std::string address, PermitBrokerHandlers handlers);
  ~PermitBroker();
  PermitBroker(const PermitBroker&) = delete;
  PermitBroker& operator=(const PermitBroker&) = delete;

  // Asks for a permit to send one request to the upstream, and for a place if
  // `place` is set. `wait`: how long the request may wait for it. The callback
  // runs once, later than this call.
  void Ask(const ListedUpstream& upstream, int rank, Duration wait,
           Callback callback, const std::optional<PlaceAsk>& place = {});
  // The place is needed no more. Fills in this host's address.
  void ReturnPlace(OwnerPlaceNotice notice);
  void OnRequest(const ColdPermitRequest& message);
  void OnPlaceRequest(const OwnerPlaceRequest& message);
  void OnReply(const PermitReply& reply);
  void OnNotice(const OwnerPlaceNotice& notice);

 private:
  using UpstreamKey = std::pair<std::string, int64_t>;  // Id and incarnation.

  struct PendingAsk {
    PermitRequest request;
    UpstreamLimit limit;
    MonotonicTime give_up_at = kNever;
    uint64_t timer = 0;
    Callback callback;
    std::optional<PlaceAsk> place;
    MonotonicTime asked_at = kNever;
    // When the giver said last that the request waits for a place; at first,
    // `asked_at`.
    MonotonicTime heard_at = kNever;
  };
  // Who waits for a permit, by ticket.
  struct Asker {
    std::string address;
    uint64_t id = 0;
    bool for_place = false;
  };
  struct GiverState {
    std::string zone;
    uint64_t term = 0;
    PermitQueue queue;
    std::map<uint64_t, Asker> askers;
    uint64_t timer = 0;
    bool limited = false;  // Whether a limit bounds the rate of the queue.
    // While the upstream is contended. Invariant: `places` is set if
    // `contended_until` is not kNever.
    MonotonicTime contended_until = kNever;
    std::optional<OwnerPlaces> places;
    std::map<uint64_t, Asker> holders;  // Of places in use, by ticket.
  };

  void SendAsk(uint64_t id);
  void Complete(uint64_t id, const PermitDecision& decision);
  void Decide(const PermitRequest& request, const PermitGiver& giver);
  // Returns the state for the upstream, new if this host began to give permits
  // for it. `limit`: unset if only places bound its requests.
  GiverState& StateFor(const PermitRequest& request, const PermitGiver& giver,
                       std::optional<double> limit);
  void Serve(const UpstreamKey& upstream);
  // Refuses all that wait for a permit for the upstream, and forgets it.
  void StopGiving(const UpstreamKey& upstream);
  // Ends giving for the upstream, because it has no limit any more: all that
  // wait may send.
  void EndLimit(const UpstreamKey& upstream);
  // Forgets upstreams that have no limit any more.
  void RemoveUnlimited();
  void Reply(const UpstreamKey& upstream, const Asker& asker, bool granted,
             Duration retry_after);
  void SendPlaceAsk(PendingAsk& ask, const PermitGiver& giver);
  // Whether the giver said lately that the request waits for a place.
  bool WasHeard(const PendingAsk& ask) const;
  void DecidePlace(const OwnerPlaceRequest& message, const PermitGiver& giver);
  void NoteContended(GiverState& state, const ListedUpstream& upstream,
                     const OwnerPlaceRequest& message);
  // The owner stays contended while requests wait for it, or hardly any place
  // is free.
  void KeepContended(const UpstreamKey& upstream, GiverState& state,
                     double share);
  bool IsContended(const GiverState& state) const;
  // Gives the permits of the moment, by the limit and the places.
  std::vector<PermitOutcome> TakeFrom(GiverState& state, double share);
  MonotonicTime NextServiceOf(const GiverState& state, double share) const;
  void SetStateRate(GiverState& state, const std::optional<double>& limit,
                    double share);
  void TakeBack(const OwnerPlaceNotice& notice, PlaceOutcome outcome);
  // The least target latency of the routes to the service.
  Duration TargetOf(const std::string& service) const;
  // Returns 0 if there is none.
  static uint64_t FindTicket(const std::map<uint64_t, Asker>& askers,
                             const Asker& asker);
  // Returns null if this host does not list that incarnation.
  const ListedUpstream* Find(const UpstreamKey& upstream) const;

  EventLoop& loop_;
  const DeploymentView& view_;
  EventLog& log_;
  std::string address_;  // This host's inner address.
  PermitBrokerHandlers handlers_;
  // Starts at random, so that replies to an earlier process of this host match
  // nothing.
  uint64_t next_id_;
  uint64_t next_ticket_ = 1;
  std::map<uint64_t, PendingAsk> asks_;
  std::map<UpstreamKey, GiverState> given_;
};

}  // namespace mimosadeal
