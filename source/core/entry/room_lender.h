// Lends the room of one availability zone's upstreams to hosts: to the zone's
// own, and to other zones whose demand does not fit there. The holder of the
// zone's lease does this; see PlanRoom for what each host gets.
//
// Nothing of it is stored. Loans expire, and a new holder learns them from the
// reports of their borrowers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "balance/room_ledger.h"
#include "balance/room_plan.h"
#include "common/boot_clock.h"
#include "inner/room_messages.h"

namespace mimosadeal {

class DeploymentView;
class EventLog;
class EventLoop;
struct ListedUpstream;
struct ServiceConfig;

// A loan that is not renewed ends after this. Longer than a zone is without a
// lease holder, so that its hosts keep their loans over the loss of one.
inline constexpr Duration kRoomLoanTime = std::chrono::seconds(5);
// Added to a loan at its lender: a request that was sent at the end of the loan
// is in service for some time.
inline constexpr Duration kRoomLoanTail = std::chrono::milliseconds(500);

struct RoomLenderOptions {
  std::string zone;     // Of the upstreams.
  std::string host;     // This host.
  std::string process;  // This host's.
  std::string address;  // This host's inner address.
};

enum class LendingState : uint8_t {
  kNone,       // This host does not hold the zone's lease.
  kRenewOnly,  // The store does not confirm the lease.
  kFull,
};

struct RoomLenderHandlers {
  std::function<LendingState()> state;
  std::function<uint64_t()> term;  // Of the zone's lease.
  std::function<void(const std::string& address, const RoomLoan&)> send_loan;
  // Asks the holders of the other zones' leases. The handler fills in the zone.
  std::function<void(const RoomDemand&)> ask_other_zones;
};

class RoomLender {
 public:
  RoomLender(EventLoop& loop, const DeploymentView& view, EventLog& log,
             RoomLenderOptions options, RoomLenderHandlers handlers);
  RoomLender(const RoomLender&) = delete;
  RoomLender& operator=(const RoomLender&) = delete;

  // The lease was gained or lost. `first_ever`: no other host held it before.
  void OnLeaseGained(bool first_ever);
  void OnLeaseLost();
  void OnDemand(const RoomDemand& demand);
  // Room that another zone's holder lends to this zone.
  void OnLoan(const RoomLoan& loan);
  // Plans the loans, and sends those that changed or need renewal. To be called
  // twice a second.
  void Round();

 private:
  struct Borrower {
    RoomDemand demand;  // The last.
    MonotonicTime heard_at = kNever;
    RoomByUpstream lent;
    MonotonicTime renewed_at = kNever;
  };
  // A part of another zone's room.
  struct Foreign {
    std::string zone;
    int64_t incarnation = 0;
    int room = 0;
    MonotonicTime until = kNever;
  };
  struct Lent {
    RoomLedger ledger;
    std::map<std::string, Borrower> borrowers;
    std::map<std::string, Foreign> foreign;  // By upstream.
    // The last loan of each zone's holder, as (term, number).
    std::map<std::string, std::pair<uint64_t, uint64_t>> foreign_loans;
    std::map<std::string, double> seconds;  // Service time by upstream.
    MonotonicTime logged_at = kNever;
    MonotonicTime asked_at = kNever;
  };

  void PlanService(const ServiceConfig& service, Lent& lent);
  // Returns the upstreams whose room may be lent, and their room in `room`.
  std::vector<PlannedUpstream> UpstreamsToLend(const ServiceConfig& service,
                                               Lent& lent,
                                               RoomByUpstream& room) const;
  // Returns the borrowers' demands. What other zones ask for counts as far as
  // this zone has room to spare.
  std::vector<PlannedHost> Demands(const Lent& lent, double capacity) const;
  // Returns the plan, or what the borrowers have while they may not get more.
  RoomByHost PlanLoans(const ServiceConfig& service, const Lent& lent,
                       const std::vector<PlannedUpstream>& upstreams,
                       const std::vector<PlannedHost>& hosts) const;
  void SendLoan(const std::string& service, Lent& lent,
                const std::string& borrower, const RoomByUpstream& planned,
                const RoomByUpstream& room);
  void AskOtherZones(const std::string& service, Lent& lent, double demand,
                     double capacity);
  void LogPlan(const std::string& service, Lent& lent,
               const RoomByUpstream& room, double demand, int moved);
  double SpeedOf(const Lent& lent, const std::string& upstream) const;
  // The least target latency of the routes to the service.
  Duration TargetOf(const std::string& service) const;

  EventLoop& loop_;
  const DeploymentView& view_;
  EventLog& log_;
  RoomLenderOptions options_;
  RoomLenderHandlers handlers_;
  std::map<std::string, Lent> services_;
  uint64_t last_number_ = 0;
  // Until then only what borrowers report to have is lent.
  MonotonicTime adopt_until_ = kNever;
};

}  // namespace mimosadeal
