// Messages about moves of key ranges that are under way. They are datagrams:
// hosts of former builds ignore unknown ones, but close a connection on which
// they read a message of an unknown type.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "inner/message_type.h"
#include "inner/wire_archive.h"

namespace mimosadeal {

struct MovingRange {
  int32_t first = 0;
  int32_t last = 0;         // Inclusive.
  std::string owner;        // The old owner's id.
  uint64_t generation = 0;  // Of the range in the table.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(first, last, owner, generation);
  }
};

// A lease holder asks the owners of these ranges to release them; see
// ranges/move_notices.h.
struct MoveNotice {
  static constexpr MessageType kType = MessageType::kMoveNotice;

  std::string service;
  std::vector<MovingRange> ranges;
  // How long the notice is valid; 0 if the owners keep the ranges after all.
  uint32_t lifetime_ms = 0;
  uint8_t scope = 0;  // ReportScope.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, ranges, lifetime_ms, scope);
  }
};

}  // namespace mimosadeal
