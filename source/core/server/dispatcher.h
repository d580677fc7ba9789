// The dispatcher is the only host that sends requests to an upstream. This
// class sends to the upstreams that the ownership table assigns to this host.
// It queues requests by rank, keeps the ledger of non-idempotent requests, and
// renews the upstreams' grants.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/rank_scheduler.h"
#include "configuration/configuration.h"
#include "inner/inner_transport.h"
#include "ownership/group_member.h"
#include "requests/ledger.h"
#include "server/ledger_fetcher.h"
#include "server/ledger_replication.h"
#include "settings/settings.h"
#include "upstream/upstream_link.h"

namespace mimosadeal {

class EventLoop;
class Metrics;

class Dispatcher {
 public:
  using ReplyCallback = std::function<void(DispatchReply)>;

  struct Environment {
    EventLoop& loop;
    InnerTransport& transport;
    Metrics& metrics;
    const Settings& settings;
    const GroupMember& member;
    std::string process;
  };

  explicit Dispatcher(Environment environment);
  ~Dispatcher();

  void OnTable(const OwnershipTable& table);
  void OnConfiguration(const Configuration& configuration);

  // Returns true if the ownership table and this host's lease allow it to send
  // requests of `shard`.
  bool Serves(const std::string& service, uint32_t shard) const;

  // Accepts a request. `reply` runs exactly once, unless the request is
  // cancelled. `handle` identifies the request for Cancel and must be unique
  // among the open requests.
  void Submit(uint64_t handle, DispatchRequest request, ReplyCallback reply);
  // Called when the caller has disconnected. Drops a waiting request and aborts
  // an idempotent one that has been sent. A non-idempotent request that has
  // been sent runs to its end.
  void Cancel(uint64_t handle);

  // Must be called at short intervals. Renews grants and fails requests whose
  // deadline has passed.
  void Tick();

  // Returns a report on each upstream for the controller. Also deletes idle
  // upstreams that another dispatcher has taken over.
  std::vector<UpstreamReport> Reports();
  // `on_change` runs when the content of a report has changed.
  void set_on_change(std::function<void()> on_change) {
    on_change_ = std::move(on_change);
  }

  void OnLedgerUpdate(ConnectionId connection, const LedgerUpdate& update);
  void OnLedgerAck(const LedgerAck& ack);
  void OnLedgerFetch(ConnectionId connection, const LedgerFetch& fetch);
  void OnLedgerEntries(const LedgerEntries& entries);
  void OnDisconnected(ConnectionId connection);

  size_t open_requests() const { return requests_.size(); }
  size_t upstream_count() const { return upstreams_.size(); }
  size_t ledger_size() const { return ledger_.size(); }

 private:
  // The shortest time after which a refused caller may come again.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

  enum class Stage : uint8_t {
    kAwaitingLedger,  // The shard's ledger is being fetched.
    kDuplicate,       // A request with the same id is running; this one waits
                      // for its outcome.
    kQueued,
    kAwaitingReplica,  // Selected for sending; holds a slot until its ledger
                       // entry is replicated.
    kSent,
  };

  struct Request {
    DispatchRequest message;
    ReplyCallback reply;
    Stage stage = Stage::kQueued;
    WaitingRequest waiting;
    std::string upstream;  // The upstream it is queued for or was sent to.
    bool replicated = false;
    MonotonicTime sent_at = kNever;
    bool reply_dropped = false;  // Cancelled: `reply` must not run.
  };

  // A ledger fetch of another host that cannot be served yet.
  struct DeferredFetch {
    ConnectionId connection;
    LedgerFetch fetch;
  };

  struct Upstream {
    std::unique_ptr<UpstreamLink> link;
    SchedulerState scheduler;
    std::string service;
  };

  // Checks ownership and the ledger, then queues the request.
  void Admit(uint64_t handle);
  // Records the id of a non-idempotent request. Returns true if the id is new
  // and the request may be queued. Otherwise the request has been finished or
  // waits for the ledger or for an earlier request.
  bool CheckLedger(uint64_t handle);
  void ReplyFromLedger(uint64_t handle, const LedgerRecord& record);
  void Enqueue(uint64_t handle);
  // Returns the upstream to queue the request for, or null.
  Upstream* UpstreamFor(const DispatchRequest& message);
  // Sends queued requests while the upstream has free connections.
  void SendWaiting(const std::string& upstream_id);
  // Refuses queued requests that can no longer meet their rank's target.
  void RefuseLateRequests(Upstream& upstream);
  void SendNow(uint64_t handle, Upstream& upstream);
  void OnReplicated(uint64_t handle);
  void OnUpstreamResult(uint64_t handle, const std::string& upstream_id,
                        UpstreamRequestResult result);
  void FailSentRequests(const std::string& upstream_id);
  void ReleaseSlot(const Request& request, bool completed);
  // Replies to a request that was certainly not sent.
  void FinishUnsent(uint64_t handle, DispatchStatus status,
                    const std::string& detail, Duration retry_after);
  void Finish(uint64_t handle, DispatchReply reply);
  void RecordOutcome(const DispatchRequest& message,
                     const DispatchReply& reply);
  // Admits the requests that waited for the outcome of `message`.
  void ReadmitDuplicates(const DispatchRequest& message);
  // Fails unsent requests of shards that this host no longer serves.
  void RejectRevokedRequests();
  void RetryRequestsAwaitingLedger();
  void ProcessDeferredFetches();
  Duration LeaseLeft() const;
  // Removes the entry of a request that was certainly not run, here and at the
  // replica.
  void RemoveLedgerEntry(const DispatchRequest& message);

  Environment environment_;
  std::function<void()> on_change_;
  OwnershipTable table_;
  uint64_t lapses_at_table_ = 0;  // GroupMember::lapses at the last table.
  Configuration configuration_;
  std::map<std::string, Upstream> upstreams_;
  std::unordered_map<uint64_t, Request> requests_;
  // Handles of requests in stage kDuplicate, by service and id.
  std::multimap<std::pair<std::string, std::string>, uint64_t> duplicates_;
  // Fetches of other hosts that wait until this host's own fetches are done.
  std::vector<DeferredFetch> deferred_fetches_;
  Ledger ledger_;
  LedgerReplication replication_;
  LedgerFetcher fetcher_;
};

}  // namespace mimosadeal
