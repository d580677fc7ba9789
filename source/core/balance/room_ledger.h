// What the lender of the upstreams' room has lent out, and until when. A loan
// that was replaced by a smaller one counts until its borrower has shown that
// it keeps to the smaller one, or until it expires.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "balance/room_plan.h"
#include "common/boot_clock.h"

namespace mimosadeal {

struct OutstandingLoan {
  uint64_t number = 0;
  RoomByUpstream room;
  MonotonicTime until = kNever;  // Including requests that outlast it.
};

struct RoomLedger {
  // By borrower, in the order in which they were lent.
  std::map<std::string, std::vector<OutstandingLoan>> loans;
};

// Returns the most of the upstream's room that the borrower may use by any of
// its loans.
int CoveredRoom(const RoomLedger& ledger, const std::string& borrower,
                const std::string& upstream);
// Returns the sum over all borrowers but `except`.
int CoveredByOthers(const RoomLedger& ledger, const std::string& except,
                    const std::string& upstream);
// Lends as much of `planned` as other borrowers' loans leave of `room`, by
// upstream. Returns what is lent.
RoomByUpstream Lend(RoomLedger& ledger, const std::string& borrower,
                    const RoomByUpstream& planned, const RoomByUpstream& room,
                    uint64_t number, MonotonicTime until);
// The borrower keeps to this loan, so that its earlier ones have ended.
void SettleLoan(RoomLedger& ledger, const std::string& borrower,
                uint64_t number);
// Counts a loan that another lender gave.
void AdoptLoan(RoomLedger& ledger, const std::string& borrower,
               const RoomByUpstream& room, MonotonicTime until);
// The borrower has no loans any more; its requests may last until `until`.
void EndLoans(RoomLedger& ledger, const std::string& borrower,
              MonotonicTime until);
void RemoveExpired(RoomLedger& ledger, MonotonicTime now);

}  // namespace mimosadeal
