// Messages about the room of upstreams: how many requests they may hold at
// once, lent to hosts in bulk. Datagrams: a lost one is followed by another
// within half a second. Hosts of builds without these types drop them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "inner/message_type.h"
#include "inner/wire_archive.h"

namespace mimosadeal {

// Mean time of a request in a slot of one upstream, as the sender measured it.
struct MeasuredTime {
  std::string upstream;
  uint32_t mean_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, mean_us);
  }
};

// A part of one upstream's room.
struct LentRoom {
  std::string upstream;
  int64_t incarnation = 0;
  uint32_t room = 0;  // Requests at once.
  // When the loan ends, counted from when the demand that it answers was sent.
  // In a demand: time that is left of it.
  uint32_t time_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, incarnation, room, time_ms);
  }
};

// A borrower's demand for room, sent to the holder of a zone's lease. Borrowers
// are hosts, and the holders of other zones for the hosts of their zone.
struct RoomDemand {
  static constexpr MessageType kType = MessageType::kRoomDemand;

  std::string borrower;  // A host, or a zone if `for_zone`.
  std::string process;   // Of the sender. Another one holds no loans.
  std::string address;   // The sender's inner address, for the reply.
  bool for_zone = false;
  std::string zone;  // Whose room is asked for.
  std::string service;
  int64_t sent_at_ms = 0;  // The sender's clock; echoed.
  // Requests in service at once that the borrower's callers ask for, in
  // thousandths: the mean over some seconds, and over the last second.
  uint32_t mean_milli = 0;
  uint32_t recent_milli = 0;
  // The last loan whose limits the borrower's requests in flight keep to; 0 if
  // none.
  uint64_t settled = 0;
  uint64_t settled_term = 0;  // Term of that loan's lender.
  std::vector<LentRoom> loans;
  std::vector<MeasuredTime> times;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(borrower, process, address, for_zone, zone, service, sent_at_ms,
            mean_milli, recent_milli, settled, settled_term, loans, times);
  }
};

// All room that the holder of a zone's lease lends to one borrower of one
// service. Replaces the holder's earlier loans to it.
struct RoomLoan {
  static constexpr MessageType kType = MessageType::kRoomLoan;

  std::string borrower;  // As in RoomDemand.
  bool for_zone = false;
  std::string zone;  // The lender's.
  std::string service;
  uint64_t term = 0;       // Of the lender's lease.
  uint64_t number = 0;     // Rises with each loan of the lender.
  int64_t sent_at_ms = 0;  // Echo of RoomDemand::sent_at_ms.
  std::vector<LentRoom> loans;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(borrower, for_zone, zone, service, term, number, sent_at_ms, loans);
  }
};

}  // namespace mimosadeal
