#include "balance/room_ledger.h"

#include <algorithm>

namespace mimosadeal {

int CoveredRoom(const RoomLedger& ledger, const std::string& borrower,
                const std::string& upstream) {
  const auto found = ledger.loans.find(borrower);
  if (found == ledger.loans.end()) return 0;
  int most = 0;
  for (const OutstandingLoan& loan : found->second) {
    const auto part = loan.room.find(upstream);
    if (part != loan.room.end()) most = std::max(most, part->second);
  }
  return most;
}

int CoveredByOthers(const RoomLedger& ledger, const std::string& except,
                    const std::string& upstream) {
  int sum = 0;
  for (const auto& [borrower, loans] : ledger.loans) {
    if (borrower != except) sum += CoveredRoom(ledger, borrower, upstream);
  }
  return sum;
}

RoomByUpstream Lend(RoomLedger& ledger, const std::string& borrower,
                    const RoomByUpstream& planned, const RoomByUpstream& room,
                    uint64_t number, MonotonicTime until) {
  RoomByUpstream lent;
  for (const auto& [upstream, part] : planned) {
    const auto total = room.find(upstream);
    if (total == room.end()) continue;
    const int left =
        total->second - CoveredByOthers(ledger, borrower, upstream);
    if (std::min(part, left) > 0) lent[upstream] = std::min(part, left);
  }
  std::vector<OutstandingLoan>& loans = ledger.loans[borrower];
  if (!loans.empty() && loans.back().room == lent) {
    loans.back().number = number;
    loans.back().until = std::max(loans.back().until, until);
  } else {
    loans.push_back({number, lent, until});
  }
  return lent;
}

void SettleLoan(RoomLedger& ledger, const std::string& borrower,
                uint64_t number) {
  const auto found = ledger.loans.find(borrower);
  if (found == ledger.loans.end()) return;
  std::erase_if(found->second, [number](const OutstandingLoan& loan) {
    return loan.number < number;
  });
}

void AdoptLoan(RoomLedger& ledger, const std::string& borrower,
               const RoomByUpstream& room, MonotonicTime until) {
  std::vector<OutstandingLoan>& loans = ledger.loans[borrower];
  for (OutstandingLoan& loan : loans) {
    if (loan.number != 0) continue;
    loan = {0, room, until};
    return;
  }
  loans.insert(loans.begin(), {0, room, until});
}

void EndLoans(RoomLedger& ledger, const std::string& borrower,
              MonotonicTime until) {
  const auto found = ledger.loans.find(borrower);
  if (found == ledger.loans.end()) return;
  for (OutstandingLoan& loan : found->second)
    loan.until = std::min(loan.until, until);
}

void RemoveExpired(RoomLedger& ledger, MonotonicTime now) {
  for (auto& [borrower, loans] : ledger.loans) {
    std::erase_if(loans, [now](const OutstandingLoan& loan) {
      return loan.until <= now;
    });
  }
  std::erase_if(ledger.loans,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace mimosadeal
