#include "entry/room_lender.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// A borrower that sent no demand for this time, which is six, gets no loan. Its
// last one expires.
constexpr Duration kDemandTimeout = std::chrono::seconds(3);
// Two renewals may be lost before a loan ends.
constexpr Duration kRenewInterval = std::chrono::milliseconds(900);
// A zone asks others for room above this load of its slots, until the load is
// below kEnoughLoad, and lends as much as keeps its own load below
// kLendableLoad. Queues grow quickly above.
constexpr double kShortLoad = 0.8;
constexpr double kEnoughLoad = 0.7;
constexpr double kLendableLoad = 0.7;
// A zone goes on asking for this time after its load was last short.
constexpr Duration kAskingTime = std::chrono::seconds(3);
// A measured speed counts within these limits, relative to the mean.
constexpr double kMinSpeed = 0.3;
constexpr double kMaxSpeed = 2.5;
// Weight of a reported service time in the mean.
constexpr double kTimeWeight = 0.2;
// A plan that moves loans is logged at most this often for each service.
constexpr Duration kLogInterval = std::chrono::seconds(5);
// Used for a service without routes, which gets no requests.
constexpr Duration kDefaultTarget = std::chrono::seconds(1);
constexpr double kMilli = 1000;
constexpr double kMicro = 1e6;

double DemandOf(const RoomDemand& demand) {
  return std::max(demand.mean_milli, demand.recent_milli) / kMilli;
}

RoomByUpstream ToRoom(const std::vector<LentRoom>& loans) {
  RoomByUpstream room;
  for (const LentRoom& loan : loans)
    room[loan.upstream] = static_cast<int>(loan.room);
  return room;
}

// Returns how many requests at once moved from the former loan to the new one.
int MovedRoom(const RoomByUpstream& before, const RoomByUpstream& after) {
  int moved = 0;
  for (const auto& [upstream, room] : after) {
    const auto former = before.find(upstream);
    moved += std::max(0, room - (former == before.end() ? 0 : former->second));
  }
  return moved;
}

}  // namespace

RoomLender::RoomLender(EventLoop& loop, const DeploymentView& view,
                       EventLog& log, RoomLenderOptions options,
                       RoomLenderHandlers handlers)
    : loop_(loop),
      view_(view),
      log_(log),
      options_(std::move(options)),
      handlers_(std::move(handlers)) {}

void RoomLender::OnLeaseGained(bool first_ever) {
  services_.clear();
  // Above the numbers of an earlier process of this host.
  last_number_ =
      std::max(last_number_, static_cast<uint64_t>(ToMilliseconds(
                                 loop_.timers().now().time_since_epoch())));
  adopt_until_ = first_ever
                     ? kNever
                     : loop_.timers().now() + kRoomLoanTime + kRoomLoanTail;
}

void RoomLender::OnLeaseLost() {
  // While the store does not confirm the lease, loans are renewed from here.
  adopt_until_ = kForever;
}

void RoomLender::OnDemand(const RoomDemand& demand) {
  if (handlers_.state() == LendingState::kNone) return;
  const MonotonicTime now = loop_.timers().now();
  Lent& lent = services_[demand.service];
  const auto known = lent.borrowers.find(demand.borrower);
  const bool is_new = known == lent.borrowers.end();
  if (!is_new && demand.process == known->second.demand.process &&
      demand.sent_at_ms < known->second.demand.sent_at_ms) {
    return;  // Overtaken by a later one.
  }
  if (!is_new && demand.process != known->second.demand.process) {
    EndLoans(lent.ledger, demand.borrower, now + kRoomLoanTail);
    known->second.lent.clear();
  }
  if (demand.settled_term == handlers_.term())
    SettleLoan(lent.ledger, demand.borrower, demand.settled);
  Borrower& borrower = lent.borrowers[demand.borrower];
  // By another lender, perhaps. Its loans keep their own time.
  if (demand.settled_term != handlers_.term() && !demand.loans.empty()) {
    Duration left{};
    for (const LentRoom& loan : demand.loans)
      left = std::max<Duration>(left, std::chrono::milliseconds(loan.time_ms));
    AdoptLoan(lent.ledger, demand.borrower, ToRoom(demand.loans),
              now + std::min(left, kRoomLoanTime) + kRoomLoanTail);
    if (borrower.renewed_at == kNever) borrower.lent = ToRoom(demand.loans);
  }
  borrower.demand = demand;
  borrower.heard_at = now;
  for (const MeasuredTime& time : demand.times) {
    double& seconds = lent.seconds[time.upstream];
    const double measured = time.mean_us / kMicro;
    seconds =
        seconds == 0 ? measured : seconds + kTimeWeight * (measured - seconds);
  }
}

void RoomLender::OnLoan(const RoomLoan& loan) {
  const MonotonicTime now = loop_.timers().now();
  Lent& lent = services_[loan.service];
  auto& last = lent.foreign_loans[loan.zone];
  const std::pair<uint64_t, uint64_t> number = {loan.term, loan.number};
  const MonotonicTime asked_at{std::chrono::milliseconds(loan.sent_at_ms)};
  if (number <= last || asked_at > now) return;
  last = number;
  std::erase_if(lent.foreign, [&loan](const auto& entry) {
    return entry.second.zone == loan.zone;
  });
  for (const LentRoom& part : loan.loans) {
    lent.foreign[part.upstream] = {
        loan.zone, part.incarnation, static_cast<int>(part.room),
        asked_at + std::chrono::milliseconds(part.time_ms)};
  }
}

Duration RoomLender::TargetOf(const std::string& service) const {
  Duration target = kDefaultTarget;
  bool found = false;
  for (const auto& [host, routes] : view_.routes()->hosts) {
    for (const Route& route : routes) {
      const bool leads_there = std::any_of(
          route.weighted_services.begin(), route.weighted_services.end(),
          [&service](const WeightedService& part) {
            return part.service == service;
          });
      if (!leads_there) continue;
      target =
          found ? std::min(target, route.target_latency) : route.target_latency;
      found = true;
    }
  }
  return target;
}

double RoomLender::SpeedOf(const Lent& lent,
                           const std::string& upstream) const {
  double sum = 0;
  for (const auto& [id, seconds] : lent.seconds) sum += seconds;
  const auto known = lent.seconds.find(upstream);
  if (known == lent.seconds.end() || known->second <= 0) return 1;
  const double mean = sum / static_cast<double>(lent.seconds.size());
  return std::clamp(mean / known->second, kMinSpeed, kMaxSpeed);
}

std::vector<PlannedUpstream> RoomLender::UpstreamsToLend(
    const ServiceConfig& service, Lent& lent, RoomByUpstream& room) const {
  const MonotonicTime now = loop_.timers().now();
  std::vector<PlannedUpstream> planned;
  const auto add = [&](const std::string& id, int lendable) {
    room[id] = lendable;
    planned.push_back({id, lendable, SpeedOf(lent, id)});
  };
  const Duration target = TargetOf(service.name);
  for (const ListedUpstream* listed :
       view_.directory().ServingUpstreams(service.name)) {
    const UpstreamRecord& record = listed->record;
    // Permits are given for those with a limit.
    if (record.zone != options_.zone || view_.RateLimitOf(*listed).has_value())
      continue;
    const auto known = lent.seconds.find(record.id);
    const auto time =
        known == lent.seconds.end()
            ? Duration::zero()
            : Duration(static_cast<int64_t>(known->second * kMicro * kMilli));
    add(record.id, RoomOf(record.slots, time, target));
  }
  std::erase_if(lent.foreign, [&](const auto& entry) {
    const ListedUpstream* listed = view_.directory().Find(entry.first);
    return entry.second.until <= now || listed == nullptr ||
           listed->record.incarnation != entry.second.incarnation;
  });
  for (const auto& [id, part] : lent.foreign) {
    if (!room.contains(id)) add(id, part.room);
  }
  std::erase_if(lent.seconds, [this](const auto& entry) {
    return view_.directory().Find(entry.first) == nullptr;
  });
  return planned;
}

std::vector<PlannedHost> RoomLender::Demands(const Lent& lent,
                                             double capacity) const {
  std::vector<PlannedHost> hosts;
  double own = 0;
  double others = 0;
  for (const auto& [name, borrower] : lent.borrowers) {
    (borrower.demand.for_zone ? others : own) += DemandOf(borrower.demand);
    if (!borrower.demand.for_zone)
      hosts.push_back({name, DemandOf(borrower.demand)});
  }
  const double spare = std::max(0.0, kLendableLoad * capacity - own);
  for (const auto& [name, borrower] : lent.borrowers) {
    if (!borrower.demand.for_zone || others <= 0) continue;
    const double part =
        DemandOf(borrower.demand) * std::min(1.0, spare / others);
    if (part >= 1) hosts.push_back({name, part});
  }
  return hosts;
}

RoomByHost RoomLender::PlanLoans(const ServiceConfig& service, const Lent& lent,
                                 const std::vector<PlannedUpstream>& upstreams,
                                 const std::vector<PlannedHost>& hosts) const {
  RoomByHost current;
  for (const auto& [name, borrower] : lent.borrowers)
    current[name] = borrower.lent;
  if (loop_.timers().now() < adopt_until_ ||
      handlers_.state() != LendingState::kFull) {
    return current;
  }
  int slots = 0;
  for (const ListedUpstream* listed :
       view_.directory().ServingUpstreams(service.name))
    slots = std::max(slots, listed->record.slots);
  return PlanRoom(upstreams, RoomPart(slots), hosts, current);
}

void RoomLender::PlanService(const ServiceConfig& service, Lent& lent) {
  const MonotonicTime now = loop_.timers().now();
  RemoveExpired(lent.ledger, now);
  std::erase_if(lent.borrowers, [now](const auto& entry) {
    return now - entry.second.heard_at > kDemandTimeout;
  });
  RoomByUpstream room;
  const std::vector<PlannedUpstream> upstreams =
      UpstreamsToLend(service, lent, room);
  double capacity = 0;  // Of the zone's own slots.
  for (const PlannedUpstream& upstream : upstreams) {
    const ListedUpstream* listed = view_.directory().Find(upstream.id);
    if (!lent.foreign.contains(upstream.id))
      capacity += listed->record.slots * upstream.speed;
  }
  const std::vector<PlannedHost> hosts = Demands(lent, capacity);
  double demand = 0;
  for (const auto& [name, borrower] : lent.borrowers) {
    if (!borrower.demand.for_zone) demand += DemandOf(borrower.demand);
  }
  const RoomByHost plan = PlanLoans(service, lent, upstreams, hosts);
  int moved = 0;
  for (auto& [name, borrower] : lent.borrowers) {
    const auto planned = plan.find(name);
    const RoomByUpstream none;
    const RoomByUpstream before = borrower.lent;
    SendLoan(service.name, lent, name,
             planned == plan.end() ? none : planned->second, room);
    moved += MovedRoom(before, borrower.lent);
  }
  if (handlers_.state() == LendingState::kFull)
    AskOtherZones(service.name, lent, demand, capacity);
  LogPlan(service.name, lent, room, demand, moved);
}

void RoomLender::SendLoan(const std::string& service, Lent& lent,
                          const std::string& name,
                          const RoomByUpstream& planned,
                          const RoomByUpstream& room) {
  const MonotonicTime now = loop_.timers().now();
  Borrower& borrower = lent.borrowers.at(name);
  const uint64_t number = last_number_ + 1;
  const RoomByUpstream now_lent = Lend(lent.ledger, name, planned, room, number,
                                       now + kRoomLoanTime + kRoomLoanTail);
  const bool renew = now - borrower.renewed_at >= kRenewInterval;
  if (now_lent == borrower.lent && !renew) return;
  last_number_ = number;
  borrower.lent = now_lent;
  borrower.renewed_at = now;
  RoomLoan loan;
  loan.borrower = name;
  loan.for_zone = borrower.demand.for_zone;
  loan.zone = options_.zone;
  loan.service = service;
  loan.term = handlers_.term();
  loan.number = number;
  loan.sent_at_ms = borrower.demand.sent_at_ms;
  for (const auto& [id, part] : now_lent) {
    const ListedUpstream* listed = view_.directory().Find(id);
    if (listed == nullptr) continue;
    const auto foreign = lent.foreign.find(id);
    const Duration time =
        foreign == lent.foreign.end()
            ? kRoomLoanTime
            : std::min(kRoomLoanTime, foreign->second.until - now);
    loan.loans.push_back({id, listed->record.incarnation,
                          static_cast<uint32_t>(part),
                          static_cast<uint32_t>(ToMilliseconds(time))});
  }
  handlers_.send_loan(borrower.demand.address, loan);
}

void RoomLender::AskOtherZones(const std::string& service, Lent& lent,
                               double demand, double capacity) {
  const MonotonicTime now = loop_.timers().now();
  if (demand > kShortLoad * capacity) lent.asked_at = now;
  if (now - lent.asked_at > kAskingTime) return;
  RoomDemand ask;
  ask.borrower = options_.zone;
  ask.process = options_.process;
  ask.address = options_.address;
  ask.for_zone = true;
  ask.service = service;
  ask.sent_at_ms = ToMilliseconds(now.time_since_epoch());
  const double missing = std::max(0.0, demand - kEnoughLoad * capacity);
  ask.mean_milli = static_cast<uint32_t>(missing * kMilli);
  ask.recent_milli = ask.mean_milli;
  handlers_.ask_other_zones(ask);
}

void RoomLender::LogPlan(const std::string& service, Lent& lent,
                         const RoomByUpstream& room, double demand, int moved) {
  const MonotonicTime now = loop_.timers().now();
  if (moved == 0 || now - lent.logged_at < kLogInterval) return;
  lent.logged_at = now;
  int total = 0;
  for (const auto& [id, part] : room) total += part;
  int lent_room = 0;
  for (const auto& [name, borrower] : lent.borrowers) {
    for (const auto& [id, part] : borrower.lent) lent_room += part;
  }
  log_.LogStateChange(
      "room.lent",
      {{"service", service},
       {"zone", options_.zone},
       {"term", handlers_.term()},
       {"upstreams", static_cast<uint64_t>(room.size())},
       {"of_other_zones", static_cast<uint64_t>(lent.foreign.size())},
       {"room", total},
       {"lent", lent_room},
       {"borrowers", static_cast<uint64_t>(lent.borrowers.size())},
       {"demand", demand},
       {"moved", moved}});
}

void RoomLender::Round() {
  if (handlers_.state() == LendingState::kNone || view_.routes() == nullptr)
    return;
  for (const auto& [name, service] : view_.routes()->services) {
    const auto lent = services_.find(name);
    if (!service.keyed && lent != services_.end())
      PlanService(service, lent->second);
  }
}

}  // namespace mimosadeal
