// Messages about the room of contended owners of keys: which they are, and the
// places in them that requests get with their permits. Datagrams: hosts of
// builds without these types drop them.
#pragma once

#include <cstdint>
#include <string>

#include "inner/message_type.h"
#include "inner/wire_archive.h"
#include "inner/zone_messages.h"

namespace mimosadeal {

// An owner of keys has hardly any room left.
struct OwnerContention {
  static constexpr MessageType kType = MessageType::kOwnerContention;

  std::string upstream;
  int64_t incarnation = 0;
  uint32_t left_ms = 0;  // How long it counts as contended.
  uint8_t scope = 0;     // ReportScope.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, incarnation, left_ms, scope);
  }
};

// A host asks for a permit and a place for one request to an owner that it
// takes for contended. The reply is a PermitReply, or while the request waits
// an OwnerPlaceNotice.
struct OwnerPlaceRequest {
  static constexpr MessageType kType = MessageType::kOwnerPlaceRequest;

  // `wait_ms`: the longest wait of a request that is kept.
  PermitRequest request;
  uint32_t cold_ms = 0;  // As in ColdPermitRequest; 0 if it is not cold.
  uint32_t contended_ms = 0;
  // It is kept if it is expected to get its place within this time.
  uint32_t in_time_ms = 0;
  uint32_t hold_ms = 0;  // Until the end of the request's time.
  // Mean time of a request in a slot of the owner, as the asker knows it; 0 if
  // unknown.
  uint32_t work_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, cold_ms, contended_ms, in_time_ms, hold_ms, work_us);
  }
};

enum class PlaceNoticeKind : uint8_t {
  kWaiting,   // From the giver: the request is kept.
  kReturned,  // From the asker: it needs the place no more.
};

// About a request for a place, or the place that it got.
struct OwnerPlaceNotice {
  static constexpr MessageType kType = MessageType::kOwnerPlaceNotice;

  uint64_t id = 0;      // As in PermitRequest.
  std::string address;  // The asking host's inner address.
  std::string upstream;
  int64_t incarnation = 0;
  std::string zone;     // Of the upstream.
  uint8_t kind = 0;     // PlaceNoticeKind.
  uint8_t outcome = 0;  // PlaceOutcome, of a place that is returned.
  int32_t held = -1;    // See PlaceReturn::held; -1 if unknown.
  uint32_t hops = 0;    // How many hosts have forwarded it.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, address, upstream, incarnation, zone, kind, outcome, held,
            hops);
  }
};

}  // namespace mimosadeal
