// Forwards callers' requests to upstreams: selects an upstream for each
// request, retries it if allowed, and sends the caller the upstream's response
// or a refusal with a Retry-After value.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "balance/crash_suspects.h"
#include "balance/hedge_limit.h"
#include "balance/latency_quantile.h"
#include "balance/retry_budget.h"
#include "balance/room_queue.h"
#include "common/ids.h"
#include "entry/upstream_pool.h"
#include "forwarding/deployment_protocol.h"
#include "net/http_server.h"
#include "ranges/move_notices.h"
#include "routing/weighted_round_robin.h"

namespace mimosadeal {

class ContendedOwners;
class DeploymentView;
class EntryMetrics;
class EventLog;
class EventLoop;
class ExchangeRelay;
class PathMonitor;
enum class HedgeRefusal : uint8_t;
class RoomBorrower;
enum class PlaceOutcome : uint8_t;
struct ChoiceCandidate;
struct HedgeTarget;
struct HeldPlace;
struct KeyRange;
struct ListedUpstream;
struct MoveNotice;
struct NextChance;
struct OwnerRoomHandlers;
struct PermitDecision;
struct RegistrationLapse;
struct RoomSearch;
struct UpstreamLimit;

struct RequestForwarderOptions {
  std::string host;
  std::string zone;
  RetryBudgetPolicy retry_policy;
  CrashSuspectPolicy crash_policy;
  // Share of a service's requests that may get a second try because their
  // response is late; 0 for none.
  double hedge_share = 0;
  // How long a leaving upstream may still receive requests.
  Duration drain{};
  // Time limit for a new configuration to take effect on all hosts.
  Duration configuration_apply{};
  // Of the copy of the registry; see LongestConfirmationAge.
  Duration longest_confirmation_age{};
};

struct RequestForwarderHandlers {
  std::function<void(ExchangeId, HttpResponse&&)> respond;
  // A request was in flight at an upstream that crashed. The incarnation is
  // written as "ID/START_TIME".
  std::function<void(uint64_t fingerprint,
                     const std::string& upstream_incarnation)>
      on_crash;
  // An upstream announced in a response that it is leaving.
  std::function<void(const std::string& upstream, int64_t incarnation)>
      on_leaving;
  // What an upstream stated about its limit in a response; see UpstreamLimit.
  std::function<void(const std::string& upstream, int64_t incarnation,
                     const UpstreamLimit& stated)>
      on_limit;
  // An upstream refused a connection.
  std::function<void(const std::string& upstream)> on_refused;
  // Asks for a permit to send one request of this rank to an upstream with a
  // limit; see PermitBroker::Ask.
  std::function<void(const ListedUpstream& upstream, int rank, Duration wait,
                     std::function<void(const PermitDecision&)>)>
      ask_for_permit;
  // A request for a key arrived. `slot_time`: the time for which it is expected
  // to occupy one of its owner's slots.
  std::function<void(const std::string& service, int key, Duration slot_time)>
      on_load;
  // An upstream served a request for a key in `taken`, not counting the wait
  // for a slot; the mean on the request's route is `expected`.
  std::function<void(const std::string& service, const std::string& upstream,
                     Duration expected, Duration taken)>
      on_service_time;
};

class RequestForwarder {
 public:
  RequestForwarder(EventLoop& loop, const DeploymentProtocol& protocol,
                   const DeploymentView& view, UpstreamPool& pool,
                   PathMonitor& paths, ExchangeRelay& relay,
                   EntryMetrics& metrics, EventLog& log,
                   RequestForwarderOptions options,
                   RequestForwarderHandlers handlers);
  ~RequestForwarder();
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  void OnRequest(ExchangeId exchange, HttpRequest&& request);
  // The caller closed its connection. Cancels the request's call to an
  // upstream.
  void OnAbandoned(ExchangeId exchange);
  // The process ends at `end_at`. Every request gets a response before, and
  // those that are read from `refuse_from` on are refused.
  void BeginStop(MonotonicTime refuse_from, MonotonicTime end_at);
  // Retries the requests that wait for their key's owner.
  void OnViewChanged();
  // Keys are being moved, or are not after all. Requests for them wait for the
  // new owner, as far as they can be in time.
  void OnMoveNotice(const MoveNotice& notice);
  // Other hosts may send requests whose upstreams this host has no path to.
  // Sends those that wait, and those whose connection is still being opened.
  void OnHelper();
  // Another host reported that an upstream crashed with this request in flight.
  void NoteCrash(uint64_t fingerprint, const std::string& upstream_incarnation);

  // Returns the time until which requests may be sent to the upstream; kForever
  // while it serves and is registered.
  MonotonicTime UsableUntil(const ListedUpstream& upstream) const;
  // Checks a little later whether an upstream that closed its connection during
  // a request has crashed.
  void CheckForCrash(uint64_t fingerprint, const UpstreamRecord& upstream);

  // From now on, requests of services without keys are sent within this host's
  // room only; see RoomBorrower.
  void SetRoom(RoomBorrower& room) { room_ = &room; }
  // From now on, requests to contended owners of keys are sent with places
  // only; see ContendedOwners.
  void SetOwnerRoom(ContendedOwners& contended, OwnerRoomHandlers handlers);
  // The room of a service changed, or some of it became free.
  void OnRoomChanged(const std::string& service);

  size_t pending() const { return pending_.size(); }
  // Returns the second tries of late requests as a percentage of the requests,
  // in the last 10 s, of the service with the highest one.
  double HedgePercent() const;

 private:
  struct PendingRequest;

  // See UsableUntil, without regard to evacuations.
  MonotonicTime UsableUntilDeparture(const ListedUpstream& upstream) const;
  // Whether the owner of the range may get no more requests because its zone is
  // evacuated. `range` may be null.
  bool IsOwnerEvacuated(const KeyRange* range) const;
  // Whether no upstream of the service may be used because of evacuations.
  bool IsServiceEvacuated(const std::string& service) const;
  // Logs a request that was sent to an upstream of an evacuated zone.
  void LogSentToEvacuated(const PendingRequest& pending,
                          const UpstreamRecord& upstream,
                          MonotonicTime chosen_at,
                          const ExchangeResult& result);

  // Selects an upstream and sends the request to it. Without one, the request
  // waits or is refused.
  void TrySend(PendingRequest& pending);
  // Returns the owner of the request's key, or null when there is none that may
  // be used. `range`: set to the key's range, if the key has one.
  const ListedUpstream* FindOwner(PendingRequest& pending,
                                  const KeyRange** range);
  // Returns the upstream of an unkeyed service that is expected to respond
  // soonest, or null when none may be used. `next`: set to when the first of
  // the upstreams may be used that are excluded only for a rest or their limit.
  const ListedUpstream* FindBestUpstream(const PendingRequest& pending,
                                         NextChance& next);
  // Adds those of `upstreams` that may be used now; see FindBestUpstream for
  // `next`.
  void AddCandidates(const PendingRequest& pending,
                     const std::vector<const ListedUpstream*>& upstreams,
                     std::vector<ChoiceCandidate>& candidates,
                     NextChance& next);
  // Returns the service's upstreams that this host prefers; cached.
  const std::vector<const ListedUpstream*>& PreferredFor(
      const std::string& service);
  // Returns at most kMaxCandidates upstreams, spread evenly over `serving`.
  std::vector<const ListedUpstream*> SampleUpstreams(
      const std::vector<const ListedUpstream*>& serving);
  // Whether the request is sent within this host's room.
  bool UsesRoom(const PendingRequest& pending) const;
  void NoteRoomArrival(const PendingRequest& pending);
  // Returns the upstream within this host's room that is expected to respond
  // soonest, or null.
  const ListedUpstream* FindInRoom(const PendingRequest& pending,
                                   RoomSearch& search);
  // As FindInRoom, of the room that is lent; of the room that a host without
  // loans uses; of upstreams with a limit.
  const ListedUpstream* FindLent(const PendingRequest& pending,
                                 RoomSearch& search);
  const ListedUpstream* FindAlone(const PendingRequest& pending,
                                  RoomSearch& search);
  const ListedUpstream* FindLimited(const PendingRequest& pending,
                                    RoomSearch& search);
  // Returns the best of `upstreams` that has fewer of this host's requests than
  // `room` returns for it.
  const ListedUpstream* ChooseWithin(
      const PendingRequest& pending,
      const std::vector<const ListedUpstream*>& upstreams,
      const std::function<int(const UpstreamRecord&)>& room,
      RoomSearch& search);
  // Keeps the request until there is room for it, or refuses it at once if that
  // would be too late.
  void WaitForRoom(PendingRequest& pending, const RoomSearch& search);
  void RefuseForRoom(PendingRequest& pending, RefusalReason reason,
                     Duration retry_after, size_t ahead);
  // Refuses those that wait for room and would be sent too late.
  void RefuseLateWaiters(const std::string& service);
  // Requests per second that this host's room takes when it is full, or that
  // it may send without loans.
  double RoomRate(const std::string& service);
  // Sends those that wait for room, as far as there is some.
  void ServeRoom(const std::string& service);
  // A call of the request ended.
  void NoteRoomFreed(const PendingRequest& pending);
  void LeaveRoomQueue(PendingRequest& pending);
  void ArmRoomCheck();
  // Refuses the request because every upstream that could serve it rests or is
  // at its limit.
  void RefuseUntil(PendingRequest& pending, const NextChance& next);
  // Returns the upstream of an unkeyed service that the request has a permit
  // for, or null.
  const ListedUpstream* FindPermitted(const PendingRequest& pending) const;
  // Whether the request may be sent to the upstream now, as far as its limit is
  // concerned.
  bool HasPermit(const PendingRequest& pending,
                 const ListedUpstream& upstream) const;
  // Keeps the request until it has a permit for the upstream, for a bounded
  // time.
  void AskForPermit(PendingRequest& pending, const ListedUpstream& upstream);
  void OnPermit(ExchangeId exchange, const UpstreamRecord& upstream,
                const PermitDecision& decision);
  // Whether requests to the upstream, an owner of keys, need a place.
  bool NeedsPlace(const ListedUpstream& upstream) const;
  // Keeps the request until it has a place at the owner, for a bounded time.
  void AskForPlace(PendingRequest& pending, const ListedUpstream& upstream);
  void OnPlace(ExchangeId exchange, const UpstreamRecord& upstream,
               const PermitDecision& decision);
  // The request is being sent to the upstream.
  void UsePlace(PendingRequest& pending, const UpstreamRecord& upstream);
  // Does nothing for a request without a place. `held`: see PlaceReturn.
  void ReturnPlace(PendingRequest& pending, PlaceOutcome outcome,
                   std::optional<int> held);
  void SendReturn(const HeldPlace& place, PlaceOutcome outcome,
                  std::optional<int> held);
  // The request ends.
  void EndPlace(PendingRequest& pending);
  // Mean time of a request in a slot of the upstream; zero if unknown.
  Duration WorkOf(const PendingRequest& pending,
                  const UpstreamRecord& upstream) const;
  void NoteContended(const UpstreamRecord& upstream, std::string_view reason);
  // Records what the end of a request's call shows of its key's owner, and
  // returns its place.
  void NoteOwnerAnswer(PendingRequest& pending, const UpstreamRecord& upstream,
                       const UpstreamResponse& answer);
  void NoteOwnerFailure(PendingRequest& pending, const UpstreamRecord& upstream,
                        const ExchangeResult& result);
  // The request's time is up while its key's owner has it.
  void NoteOwnerUnanswered(const PendingRequest& pending);
  // A connection to the upstream failed, by what is known of its end.
  void NoteRefused(const UpstreamRecord& upstream, StreamEnd end);
  // Whether a change of the view may help the request: it waits for an owner of
  // its key, or for a permit for an upstream that does not own it any more.
  bool MayTryAgain(PendingRequest& pending);
  // Whether requests to the upstream are to be sent through another host.
  bool UsesRelay(const ListedUpstream& upstream) const;
  // Sends the request to the upstream, through another host if `relayed`.
  void StartCall(PendingRequest& pending, const UpstreamRecord& upstream,
                 ExchangeRequest request, bool relayed,
                 std::function<void(ExchangeResult)> callback);
  // Ends the request's call, if it has one. Returns whether the upstream may
  // have received the request.
  bool CancelCall(PendingRequest& pending);
  void Send(PendingRequest& pending, const ListedUpstream& upstream);
  // Whether the request's only call still opens its connection.
  bool IsUnsent(const PendingRequest& pending) const;
  // Cancels the calls whose connections are still being opened and whose
  // upstreams may be used for a shorter time than when they were selected, and
  // tries to send their requests again.
  void DecideUnsentAgain();
  // Takes back what Send counted, because nothing of the request was written.
  static void NoteUnsent(PendingRequest& pending);
  // Logs a request that was sent to a leaving upstream. `upstream`: its entry
  // in the directory when this host selected it at `chosen_at`.
  void LogSentToLeaving(const PendingRequest& pending,
                        const ListedUpstream& upstream, MonotonicTime chosen_at,
                        const ExchangeResult& result);
  // Records how old the copy of the registry is by which the upstream was
  // selected. At times logs a request for which it is older than while all is
  // well.
  void NoteCopyAge(const PendingRequest& pending,
                   const ListedUpstream& upstream);
  // Logs a request that is being sent to an upstream whose registration lapsed.
  void NoteSentToLapsed(const PendingRequest& pending,
                        const RegistrationLapse& lapse);
  // Logs a request that is being sent to an upstream with a limit, or to a cold
  // one.
  void NoteSentToLimited(const PendingRequest& pending,
                         const ListedUpstream& upstream);
  // Records what a response says about the limit of its upstream.
  void NoteStatedLimit(const PendingRequest& pending,
                       const UpstreamRecord& upstream,
                       const UpstreamResponse& answer);
  // Keeps the request until its key has an owner that may be used, for a
  // bounded time, and refuses it with `reason` after that. Tries again when the
  // view changes, and after `recheck_after` unless that is zero.
  void WaitForOwner(PendingRequest& pending, RefusalReason reason,
                    Duration recheck_after);
  // Until when the request may wait for an owner.
  MonotonicTime OwnerWaitEnd(const PendingRequest& pending) const;
  // Whether the request must not be sent now because its key is being moved or
  // was moved just now. If so, it waits, or is refused.
  bool WaitsForMove(PendingRequest& pending, const KeyRange& range);
  void NoteMoveWait(const PendingRequest& pending, const NoticedMove& move,
                    const MoveWaitDecision& decision);
  // The move that the request waited for has ended, or is not known any more.
  void EndMoveWait(PendingRequest& pending, const KeyRange& range);
  void ApplyTablesToMoves();
  void OnResult(ExchangeId exchange, int try_number,
                const UpstreamRecord& upstream, ExchangeResult result);
  // Plans the second try of a request whose first one is being sent to the
  // upstream.
  void PlanSecondTry(PendingRequest& pending, const ListedUpstream& upstream,
                     bool relayed);
  // The response to the first try is late: sends the second one or not.
  void OnLate(ExchangeId exchange);
  HedgeRefusal DecideSecondTry(const PendingRequest& pending,
                               const ListedUpstream* upstream);
  HedgeTarget DescribeTarget(const ListedUpstream* upstream) const;
  void SendSecondTry(PendingRequest& pending, const ListedUpstream& upstream);
  // Makes the other try in flight the request's call, and the reverse.
  static void SwapTries(PendingRequest& pending);
  // A try ended without a response for the caller. Returns whether the request
  // goes on with its other try, in which case nothing else is to be done.
  // `answer`: null if there was no response.
  bool ContinuesWithOtherTry(PendingRequest& pending,
                             const UpstreamRecord& upstream,
                             const ExchangeResult& result,
                             const UpstreamResponse* answer);
  // A try got the response for the caller: cancels the other one.
  void EndOtherTry(PendingRequest& pending);
  // Cancels the other try. Returns whether its upstream may have received the
  // request.
  bool CancelOtherTry(PendingRequest& pending, std::string_view outcome);
  // Records how long the request was at upstreams.
  void NoteLatency(const PendingRequest& pending);
  // Records a refusal that shows a lack of room.
  void NoteRefusal(const PendingRequest& pending, RefusalReason reason);
  // Records that the service has too little room for its requests.
  void NoteShort(const std::string& service);
  bool IsShort(const std::string& service) const;
  // `relayed`: the request was sent through another host.
  void OnFailure(PendingRequest& pending, const UpstreamRecord& upstream,
                 const ExchangeResult& result, bool relayed);
  // The upstream did not run the request: sends it elsewhere, waits or refuses.
  void OnNotRun(PendingRequest& pending, const UpstreamResponse& answer);
  // Returns false if the request was refused because of earlier crashes.
  bool PassesSuspects(PendingRequest& pending);
  void ProbeForCrash(uint64_t fingerprint, const UpstreamRecord& upstream);
  // The upstream refused a connection at `refused_at`. Notes a crash once its
  // registration has ended, or if this host reached another upstream of the
  // service since. Otherwise it waits, for a bounded time.
  void DecideOnCrash(uint64_t fingerprint, const UpstreamRecord& upstream,
                     MonotonicTime refused_at);
  // The request's time has run out; see PendingRequest::give_up_at.
  void OnGiveUp(ExchangeId exchange);
  void Deliver(PendingRequest& pending, HttpResponse&& response);
  void Refuse(PendingRequest& pending, RefusalReason reason,
              Duration retry_after = Duration::zero());
  void Finish(PendingRequest& pending);
  void NoteServiceTime(const PendingRequest& pending,
                       const UpstreamRecord& upstream, Duration taken);
  // Makes the request end by the end of its time, and by that of this process.
  void ArmGiveUp(PendingRequest& pending);
  // Returns `delay` with random jitter, so that callers that were refused
  // together do not return together, limited to what callers honour.
  Duration RetryAfter(const PendingRequest& pending, Duration delay);

  EventLoop& loop_;
  const DeploymentProtocol& protocol_;
  const DeploymentView& view_;
  UpstreamPool& pool_;
  PathMonitor& paths_;
  ExchangeRelay& relay_;
  EntryMetrics& metrics_;
  EventLog& log_;
  RequestForwarderOptions options_;
  RequestForwarderHandlers handlers_;
  Random random_;
  // By service, so that requests for one service do not earn retries for
  // another.
  std::map<std::string, RetryBudget> retry_budgets_;
  CrashSuspects suspects_;
  // Of routes with repeatable requests, by route name; empty without hedging.
  std::map<std::string, LatencyQuantile> latencies_;
  // By service.
  std::map<std::string, HedgeLimit> hedge_limits_;
  std::map<std::string, MonotonicTime> short_until_;
  // Mean time in seconds that a request occupies a slot, by route name.
  std::map<std::string, double> route_seconds_;
  // By route name; valid for configuration version `round_robin_version_`.
  std::map<std::string, RoundRobinState> round_robin_states_;
  uint64_t round_robin_version_ = 0;
  // Preferred upstreams by service; valid for directory version
  // `preferred_version_`.
  std::map<std::string, std::vector<const ListedUpstream*>> preferred_;
  uint64_t preferred_version_ = 0;
  // Both null unless owners may count as contended.
  ContendedOwners* contended_ = nullptr;
  std::unique_ptr<OwnerRoomHandlers> owner_room_;
  std::map<std::string, MoveNotices> move_notices_;  // By service.
  RoomBorrower* room_ = nullptr;                  // Null unless room is scarce.
  std::map<std::string, RoomQueue> room_queues_;  // By service.
  std::set<std::string> room_posted_;  // Services that ServeRoom runs for soon.
  uint64_t room_timer_ = 0;
  MonotonicTime old_copy_logged_at_ = kNever;  // See NoteCopyAge.
  // See BeginStop; kForever while no stop is planned.
  MonotonicTime refuse_from_ = kForever;
  MonotonicTime respond_by_ = kForever;
  std::map<ExchangeId, std::unique_ptr<PendingRequest>> pending_;
};

}  // namespace mimosadeal
