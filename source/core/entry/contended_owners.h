// The owners of keys that this host takes for contended: requests to them need
// a place, which one host gives. Also the zones whose giver does not answer;
// without one, this host goes by the load that it knows.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "common/boot_clock.h"

namespace mimosadeal {

class EventLog;
class EventLoop;
struct ListedUpstream;

// How long an owner counts as contended after a sign of it. Reports reach all
// hosts in some milliseconds, and each response that shows it renews it.
inline constexpr Duration kContendedTime = std::chrono::milliseconds(1000);

class ContendedOwners {
 public:
  ContendedOwners(EventLoop& loop, EventLog& log) : loop_(loop), log_(log) {}

  // The owner is contended for this long from now on. Never shortens what is
  // known. Returns whether other hosts are to be told.
  bool Note(const std::string& upstream, int64_t incarnation, Duration left,
            std::string_view reason);
  // Returns for how long the owner still counts as contended.
  Duration Left(const std::string& upstream, int64_t incarnation) const;
  // Whether requests to the owner need a place.
  bool NeedsPlace(const ListedUpstream& upstream) const;
  // The zone's giver did not answer.
  void NoteSilentGiver(const std::string& zone);

 private:
  struct Mark {
    int64_t incarnation = 0;
    MonotonicTime until = kNever;
  };

  EventLoop& loop_;
  EventLog& log_;
  std::map<std::string, Mark> marks_;                  // By upstream.
  std::map<std::string, MonotonicTime> silent_until_;  // By zone.
};

}  // namespace mimosadeal
