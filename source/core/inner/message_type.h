// The types of messages between entry hosts, and their names.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "common/enum_names.h"

namespace mimosadeal {

enum class MessageType : uint8_t {
  kHello = 1,
  kLeaseRequest = 2,
  kLeaseReply = 3,
  kControllerNotice = 4,
  kTableRequest = 5,
  kTableReply = 6,
  kConfigurationRequest = 7,
  kConfigurationReply = 8,
  kDispatchRequest = 9,
  kDispatchReply = 10,
  kDispatchCancel = 11,
  kLedgerUpdate = 12,
  kLedgerAck = 13,
  kLedgerFetch = 14,
  kLedgerEntries = 15,
  kZoneHello = 16,
  kZoneStatus = 17,
  kCrashReport = 18,
  kLoadReport = 19,
  kViewUpdate = 20,
  kLeavingReport = 21,
  kLeaseNotice = 22,
  kTableStepNotice = 23,
  kLimitReport = 24,
  kPermitRequest = 25,
  kPermitReply = 26,
  kRelayProbe = 27,
  kRelayOffer = 28,
  kRelayRequest = 29,
  kRelayReply = 30,
  kRelayCancel = 31,
  kColdReport = 40,
  kColdPermitRequest = 41,
  kRoomDemand = 42,
  kRoomLoan = 43,
  kMoveNotice = 44,
};

inline constexpr EnumNames<MessageType, 36> kMessageTypeNames = {{
    {MessageType::kHello, "hello"},
    {MessageType::kLeaseRequest, "lease-request"},
    {MessageType::kLeaseReply, "lease-reply"},
    {MessageType::kControllerNotice, "controller-notice"},
    {MessageType::kTableRequest, "table-request"},
    {MessageType::kTableReply, "table-reply"},
    {MessageType::kConfigurationRequest, "configuration-request"},
    {MessageType::kConfigurationReply, "configuration-reply"},
    {MessageType::kDispatchRequest, "dispatch-request"},
    {MessageType::kDispatchReply, "dispatch-reply"},
    {MessageType::kDispatchCancel, "dispatch-cancel"},
    {MessageType::kLedgerUpdate, "ledger-update"},
    {MessageType::kLedgerAck, "ledger-ack"},
    {MessageType::kLedgerFetch, "ledger-fetch"},
    {MessageType::kLedgerEntries, "ledger-entries"},
    {MessageType::kZoneHello, "zone-hello"},
    {MessageType::kZoneStatus, "zone-status"},
    {MessageType::kCrashReport, "crash-report"},
    {MessageType::kLoadReport, "load-report"},
    {MessageType::kViewUpdate, "view-update"},
    {MessageType::kLeavingReport, "leaving-report"},
    {MessageType::kLeaseNotice, "lease-notice"},
    {MessageType::kTableStepNotice, "table-step-notice"},
    {MessageType::kLimitReport, "limit-report"},
    {MessageType::kPermitRequest, "permit-request"},
    {MessageType::kPermitReply, "permit-reply"},
    {MessageType::kRelayProbe, "relay-probe"},
    {MessageType::kRelayOffer, "relay-offer"},
    {MessageType::kRelayRequest, "relay-request"},
    {MessageType::kRelayReply, "relay-reply"},
    {MessageType::kRelayCancel, "relay-cancel"},
    {MessageType::kColdReport, "cold-report"},
    {MessageType::kColdPermitRequest, "cold-permit-request"},
    {MessageType::kRoomDemand, "room-demand"},
    {MessageType::kRoomLoan, "room-loan"},
    {MessageType::kMoveNotice, "move-notice"},
}};

}  // namespace mimosadeal
