// The record in the platform's store that names a group's controller. Writing
// it conditionally is the only way to become controller.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"

namespace mimosadeal {

struct ControlRecord {
  uint64_t term = 0;
  std::string controller;
  std::string controller_address;
  std::string standby;
  std::string standby_address;
  // The hosts whose promises carry the controller's authority. Sorted.
  std::vector<std::string> members;
  // Names the write, so that a write whose reply was lost can be recognised.
  std::string write_id;
};

std::string EncodeControlRecord(const ControlRecord& record);
// Errors: kMalformed.
Result<ControlRecord> DecodeControlRecord(std::string_view text);

// Names of a group's objects in the store.
std::string ControlRecordName(std::string_view group);
std::string TableObjectName(std::string_view group);

inline constexpr char kConfigurationObjectName[] = "configuration";

}  // namespace mimosadeal
