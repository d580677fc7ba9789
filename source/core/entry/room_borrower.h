// This host's part of the room of upstreams: it reports the demand of its
// callers to the holder of its zone's lease, and keeps the loans that it got.
// See RoomLender.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "inner/room_messages.h"

namespace mimosadeal {

class DeploymentView;
class EventLog;
class EventLoop;
class UpstreamPool;
struct UpstreamRecord;

struct RoomBorrowerOptions {
  std::string host;
  std::string process;
  std::string zone;
  std::string address;  // This host's inner address.
};

struct RoomBorrowerHandlers {
  // Sends a demand to the holder of the zone's lease.
  std::function<void(const RoomDemand&)> send_demand;
  // The loans of a service changed.
  std::function<void(const std::string& service)> on_loans_changed;
};

class RoomBorrower {
 public:
  RoomBorrower(EventLoop& loop, const DeploymentView& view, UpstreamPool& pool,
               EventLog& log, RoomBorrowerOptions options,
               RoomBorrowerHandlers handlers);
  ~RoomBorrower();
  RoomBorrower(const RoomBorrower&) = delete;
  RoomBorrower& operator=(const RoomBorrower&) = delete;

  void OnLoan(const RoomLoan& loan);
  // A request for the service arrived.
  void NoteArrival(const std::string& service);
  // A request of the service was served in `taken`, waits at the upstream
  // included.
  void NoteServed(const std::string& service, Duration taken);

  // Returns how many requests this host may have at the upstream at once; 0
  // without a loan.
  int LentRoom(const UpstreamRecord& upstream) const;
  // Returns the ids of the upstreams of which this host has room.
  std::vector<std::string> LentUpstreams(const std::string& service) const;
  // Returns how many requests per second this host's room takes when it is
  // full; 0 while it has none.
  double RequestsPerSecond(const std::string& service) const;
  // Returns the mean time from sending a request to its response.
  Duration ExpectedTime(const std::string& service) const;

 private:
  struct Loan {
    int64_t incarnation = 0;
    int room = 0;
    MonotonicTime until = kNever;
  };
  struct Borrowed {
    std::map<std::string, Loan> loans;  // By upstream.
    uint64_t term = 0;                  // Of the last loan's lender.
    uint64_t number = 0;
    // The last loan that this host's requests in flight were seen to keep to.
    uint64_t settled_term = 0;
    uint64_t settled = 0;
    // Upstreams of earlier loans that are not settled.
    std::set<std::string> former;
    bool alone = true;      // As last logged.
    uint64_t arrivals = 0;  // Since the last report.
    double mean = 0;        // Requests in service at once, as asked for.
    double recent = 0;      // As `mean`, over the last second.
    double seconds = 0;     // Mean time to a response; 0 if unknown.
  };

  void Report();
  void UpdateDemand(Borrowed& borrowed);
  // Notes whether the requests in flight keep to the last loan.
  void Settle(Borrowed& borrowed);
  void LogLoans(const std::string& service, Borrowed& borrowed);

  EventLoop& loop_;
  const DeploymentView& view_;
  UpstreamPool& pool_;
  EventLog& log_;
  RoomBorrowerOptions options_;
  RoomBorrowerHandlers handlers_;
  std::map<std::string, Borrowed> services_;
  uint64_t timer_ = 0;
};

}  // namespace mimosadeal
