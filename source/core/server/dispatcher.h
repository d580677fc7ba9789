// The dispatcher: the only sender to the upstreams that are assigned to this
// host. It queues by rank, keeps the ledger of non-idempotent requests, and
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
#include "server/ledger_intake.h"
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

  // True when this host may send requests of `shard` by its table and lease.
  bool Serves(const std::string& service, uint32_t shard) const;

  // Takes a request; `reply` runs exactly once, unless the request is
  // cancelled. `handle` names the request for Cancel and must be unique among
  // those not yet answered.
  void Handle(uint64_t handle, DispatchRequest request, ReplyCallback reply);
  // The caller has gone: drops the request if it waits, and stops it if it runs
  // and is idempotent.
  void Cancel(uint64_t handle);

  // To be called at short intervals: renews grants and drops requests whose
  // deadline has passed.
  void Tick();

  std::vector<UpstreamReport> Reports();
  // Runs when a report would differ from the one before.
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
  enum class Stage : uint8_t {
    kAwaitingLedger,  // The shard's ledger is being fetched.
    kJoined,  // Waits for the outcome of an earlier request with the same id.
    kQueued,
    kAwaitingReplica,  // Chosen to be sent; its ledger entry is not replicated
                       // yet.
    kSent,
  };

  struct Request {
    DispatchRequest message;
    ReplyCallback reply;
    Stage stage = Stage::kQueued;
    WaitingRequest waiting;
    std::string upstream;  // Where it is queued or was sent.
    bool replicated = false;
    MonotonicTime sent_at = kNever;
    bool reply_dropped = false;
  };

  struct DeferredFetch {
    ConnectionId connection;
    LedgerFetch fetch;
  };

  struct Upstream {
    std::unique_ptr<UpstreamLink> link;
    SchedulerState scheduler;
    std::string service;
  };

  void Admit(uint64_t handle);
  bool CheckLedger(uint64_t handle);
  void AnswerFromLedger(uint64_t handle, const LedgerRecord& record);
  void Enqueue(uint64_t handle);
  Upstream* UpstreamFor(const DispatchRequest& message);
  void SendWaiting(const std::string& upstream_id);
  void RefuseOvertaken(Upstream& upstream);
  void SendNow(uint64_t handle, Upstream& upstream);
  void OnReplicated(uint64_t handle);
  void OnAnswer(uint64_t handle, const std::string& upstream_id,
                UpstreamRequestResult answer);
  void FailSent(const std::string& upstream_id);
  void ReleaseSlot(const Request& request, bool completed);
  // Ends a request that was certainly not sent.
  void FinishUnsent(uint64_t handle, DispatchStatus status,
                    const std::string& detail, Duration retry_after);
  void Finish(uint64_t handle, DispatchReply reply);
  void RecordOutcome(const DispatchRequest& message,
                     const DispatchReply& reply);
  void AnswerJoined(const DispatchRequest& message);
  void DropRevoked();
  void RetryAwaitingLedger();
  void AnswerDeferredFetches();
  Duration LeaseLeft() const;
  void ForgetUnrun(const DispatchRequest& message);

  Environment environment_;
  std::function<void()> on_change_;
  OwnershipTable table_;
  Configuration configuration_;
  std::map<std::string, Upstream> upstreams_;
  std::unordered_map<uint64_t, Request> requests_;
  // Requests in stage kJoined, by service and id.
  std::multimap<std::pair<std::string, std::string>, uint64_t> joined_;
  // Other hosts' questions that wait for this host's own fetches.
  std::vector<DeferredFetch> deferred_fetches_;
  Ledger ledger_;
  LedgerReplication replication_;
  LedgerIntake intake_;
};

}  // namespace mimosadeal
