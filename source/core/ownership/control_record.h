// The control record in the platform's store, which names the controller of a
// control group (hosts of one zone that share a controller). A host becomes
// controller only by a conditional write of this record.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"

namespace mimosadeal {

struct ControlRecord {
  uint64_t term = 0;  // Increases with each change of the controller.
  std::string controller;
  std::string controller_address;
  // The host that stores the controller's tables besides the store, and that
  // may act for the controller during a store outage.
  std::string standby;
  std::string standby_address;
  // Ids of the hosts of whose promises the controller needs a majority. Sorted.
  std::vector<std::string> members;
  // Unique to the write, so that its writer can recognise it when the reply was
  // lost.
  std::string write_id;
};

std::string EncodeControlRecord(const ControlRecord& record);
// Errors: kMalformed if a field is missing or has the wrong type.
Result<ControlRecord> DecodeControlRecord(std::string_view text);

// Names of a group's objects in the store.
std::string ControlRecordName(std::string_view group);
std::string TableObjectName(std::string_view group);

inline constexpr char kConfigurationObjectName[] = "configuration";

}  // namespace mimosadeal
