#include "entry/room_borrower.h"

#include <algorithm>
#include <cmath>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/upstream_pool.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// A burst must find its room within a second or two.
constexpr Duration kReportInterval = std::chrono::milliseconds(500);
// Time constants of the demand. A host gets a handful of requests per second,
// so a mean takes some seconds.
constexpr double kMeanSeconds = 4;
constexpr double kRecentSeconds = 1;
// Weight of a response in the mean time to a response.
constexpr double kTimeWeight = 0.1;
// Used until a response was received.
constexpr double kAssumedSeconds = 0.2;
constexpr double kMilli = 1000;
constexpr double kMicro = 1e6;
constexpr double kNano = 1e9;

// Returns the weight of the last interval in a mean.
double WeightOf(double time_constant) {
  return 1 - std::exp(-ToSeconds(kReportInterval) / time_constant);
}

}  // namespace

RoomBorrower::RoomBorrower(EventLoop& loop, const DeploymentView& view,
                           UpstreamPool& pool, EventLog& log,
                           RoomBorrowerOptions options,
                           RoomBorrowerHandlers handlers)
    : loop_(loop),
      view_(view),
      pool_(pool),
      log_(log),
      options_(std::move(options)),
      handlers_(std::move(handlers)) {
  timer_ = loop_.timers().Every(kReportInterval, [this] { Report(); });
}

RoomBorrower::~RoomBorrower() { loop_.timers().Cancel(timer_); }

void RoomBorrower::NoteArrival(const std::string& service) {
  ++services_[service].arrivals;
}

void RoomBorrower::NoteServed(const std::string& service, Duration taken) {
  double& seconds = services_[service].seconds;
  seconds = seconds == 0 ? ToSeconds(taken)
                         : seconds + kTimeWeight * (ToSeconds(taken) - seconds);
}

Duration RoomBorrower::ExpectedTime(const std::string& service) const {
  const auto known = services_.find(service);
  const double seconds = known == services_.end() || known->second.seconds == 0
                             ? kAssumedSeconds
                             : known->second.seconds;
  return Duration(static_cast<int64_t>(seconds * kNano));
}

// A loan counts from when the demand that it answers was sent, so that it ends
// here before it ends at its lender.
void RoomBorrower::OnLoan(const RoomLoan& loan) {
  const MonotonicTime now = loop_.timers().now();
  const MonotonicTime asked_at{std::chrono::milliseconds(loan.sent_at_ms)};
  Borrowed& borrowed = services_[loan.service];
  const std::pair<uint64_t, uint64_t> number = {loan.term, loan.number};
  const std::pair<uint64_t, uint64_t> last = {borrowed.term, borrowed.number};
  // An answer to an earlier process of this host.
  const bool foreign = loan.borrower != options_.host || asked_at > now;
  if (foreign || number <= last) return;
  for (const auto& [id, former] : borrowed.loans) borrowed.former.insert(id);
  borrowed.loans.clear();
  borrowed.term = loan.term;
  borrowed.number = loan.number;
  for (const mimosadeal::LentRoom& part : loan.loans) {
    borrowed.loans[part.upstream] = {
        part.incarnation, static_cast<int>(part.room),
        asked_at + std::chrono::milliseconds(part.time_ms)};
  }
  Settle(borrowed);
  LogLoans(loan.service, borrowed);
  handlers_.on_loans_changed(loan.service);
}

int RoomBorrower::LentRoom(const UpstreamRecord& upstream) const {
  const auto borrowed = services_.find(upstream.service);
  if (borrowed == services_.end()) return 0;
  const auto loan = borrowed->second.loans.find(upstream.id);
  const bool valid = loan != borrowed->second.loans.end() &&
                     loan->second.incarnation == upstream.incarnation &&
                     loan->second.until > loop_.timers().now();
  return valid ? loan->second.room : 0;
}

std::vector<std::string> RoomBorrower::LentUpstreams(
    const std::string& service) const {
  std::vector<std::string> ids;
  const auto borrowed = services_.find(service);
  if (borrowed == services_.end()) return ids;
  for (const auto& [id, loan] : borrowed->second.loans) {
    if (loan.until > loop_.timers().now()) ids.push_back(id);
  }
  return ids;
}

// By Little's law: while the room is full, its size is the rate times the time
// that a request takes.
double RoomBorrower::RequestsPerSecond(const std::string& service) const {
  int room = 0;
  for (const std::string& id : LentUpstreams(service)) {
    const ListedUpstream* listed = view_.directory().Find(id);
    if (listed != nullptr) room += LentRoom(listed->record);
  }
  return room / ToSeconds(ExpectedTime(service));
}

void RoomBorrower::UpdateDemand(Borrowed& borrowed) {
  const double seconds =
      borrowed.seconds == 0 ? kAssumedSeconds : borrowed.seconds;
  const double asked = static_cast<double>(borrowed.arrivals) * seconds /
                       ToSeconds(kReportInterval);
  borrowed.arrivals = 0;
  borrowed.mean += WeightOf(kMeanSeconds) * (asked - borrowed.mean);
  borrowed.recent += WeightOf(kRecentSeconds) * (asked - borrowed.recent);
}

void RoomBorrower::Settle(Borrowed& borrowed) {
  const auto within = [&](const std::string& id) {
    const ListedUpstream* listed = view_.directory().Find(id);
    const UpstreamLoad* load =
        listed == nullptr ? nullptr : pool_.FindLoad(listed->record);
    return load == nullptr || load->in_flight <= LentRoom(listed->record);
  };
  const bool settled =
      std::all_of(borrowed.former.begin(), borrowed.former.end(), within);
  if (!settled) return;
  borrowed.former.clear();
  borrowed.settled_term = borrowed.term;
  borrowed.settled = borrowed.number;
}

void RoomBorrower::LogLoans(const std::string& service, Borrowed& borrowed) {
  int room = 0;
  for (const auto& [id, loan] : borrowed.loans) {
    if (loan.until > loop_.timers().now()) room += loan.room;
  }
  const bool alone = room == 0;
  if (alone == borrowed.alone) return;
  borrowed.alone = alone;
  log_.LogStateChange(
      alone ? "room.alone" : "room.borrowed",
      {{"service", service},
       {"term", borrowed.term},
       {"number", borrowed.number},
       {"upstreams", static_cast<uint64_t>(borrowed.loans.size())},
       {"room", room}});
}

void RoomBorrower::Report() {
  if (view_.routes() == nullptr) return;
  const MonotonicTime now = loop_.timers().now();
  for (const auto& [name, service] : view_.routes()->services) {
    if (service.keyed) continue;
    Borrowed& borrowed = services_[name];
    UpdateDemand(borrowed);
    Settle(borrowed);
    LogLoans(name, borrowed);
    RoomDemand demand;
    demand.borrower = options_.host;
    demand.process = options_.process;
    demand.address = options_.address;
    demand.zone = options_.zone;
    demand.service = name;
    demand.sent_at_ms = ToMilliseconds(now.time_since_epoch());
    demand.mean_milli = static_cast<uint32_t>(borrowed.mean * kMilli);
    demand.recent_milli = static_cast<uint32_t>(borrowed.recent * kMilli);
    demand.settled = borrowed.settled;
    demand.settled_term = borrowed.settled_term;
    for (const auto& [id, loan] : borrowed.loans) {
      if (loan.until <= now) continue;
      demand.loans.push_back(
          {id, loan.incarnation, static_cast<uint32_t>(loan.room),
           static_cast<uint32_t>(ToMilliseconds(loan.until - now))});
      const ListedUpstream* listed = view_.directory().Find(id);
      const UpstreamLoad* load =
          listed == nullptr ? nullptr : pool_.FindLoad(listed->record);
      if (load != nullptr && load->service_seconds > 0) {
        demand.times.push_back(
            {id, static_cast<uint32_t>(load->service_seconds * kMicro)});
      }
    }
    handlers_.send_demand(demand);
  }
}

}  // namespace mimosadeal
