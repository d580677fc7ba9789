#include "inner/messages.h"

#include "inner/move_messages.h"

namespace mimosadeal {
namespace {

template <typename Message>
Result<void> Check(std::string_view body) {
  BOOST_OUTCOME_TRY(DecodeBody<Message>(body));
  return outcome::success();
}

}  // namespace

Result<void> CheckBody(MessageType type, std::string_view body) {
  switch (type) {
    case MessageType::kHello:
      return Check<Hello>(body);
    case MessageType::kLeaseRequest:
      return Check<LeaseRequest>(body);
    case MessageType::kLeaseReply:
      return Check<LeaseReply>(body);
    case MessageType::kControllerNotice:
      return Check<ControllerNotice>(body);
    case MessageType::kTableRequest:
      return Check<TableRequest>(body);
    case MessageType::kTableReply:
      return Check<TableReply>(body);
    case MessageType::kConfigurationRequest:
      return Check<ConfigurationRequest>(body);
    case MessageType::kConfigurationReply:
      return Check<ConfigurationReply>(body);
    case MessageType::kDispatchRequest:
      return Check<DispatchRequest>(body);
    case MessageType::kDispatchReply:
      return Check<DispatchReply>(body);
    case MessageType::kDispatchCancel:
      return Check<DispatchCancel>(body);
    case MessageType::kLedgerUpdate:
      return Check<LedgerUpdate>(body);
    case MessageType::kLedgerAck:
      return Check<LedgerAck>(body);
    case MessageType::kLedgerFetch:
      return Check<LedgerFetch>(body);
    case MessageType::kLedgerEntries:
      return Check<LedgerEntries>(body);
    case MessageType::kZoneHello:
      return Check<ZoneHello>(body);
    case MessageType::kZoneStatus:
      return Check<ZoneStatus>(body);
    case MessageType::kCrashReport:
      return Check<CrashReport>(body);
    case MessageType::kLoadReport:
      return Check<LoadReport>(body);
    case MessageType::kViewUpdate:
      return Check<ViewUpdate>(body);
    case MessageType::kLeavingReport:
      return Check<LeavingReport>(body);
    case MessageType::kLeaseNotice:
      return Check<LeaseNotice>(body);
    case MessageType::kChangeNotice:
      return Check<ChangeNotice>(body);
    case MessageType::kTableStepNotice:
      return Check<TableStepNotice>(body);
    case MessageType::kLimitReport:
      return Check<LimitReport>(body);
    case MessageType::kPermitRequest:
      return Check<PermitRequest>(body);
    case MessageType::kPermitReply:
      return Check<PermitReply>(body);
    case MessageType::kColdPermitRequest:
      return Check<ColdPermitRequest>(body);
    case MessageType::kColdReport:
      return Check<ColdReport>(body);
    case MessageType::kRelayProbe:
      return Check<RelayProbe>(body);
    case MessageType::kRelayOffer:
      return Check<RelayOffer>(body);
    case MessageType::kRelayRequest:
      return Check<RelayRequest>(body);
    case MessageType::kRelayReply:
      return Check<RelayReply>(body);
    case MessageType::kRelayCancel:
      return Check<RelayCancel>(body);
    case MessageType::kRoomDemand:
      return Check<RoomDemand>(body);
    case MessageType::kRoomLoan:
      return Check<RoomLoan>(body);
    case MessageType::kOwnerContention:
      return Check<OwnerContention>(body);
    case MessageType::kOwnerPlaceRequest:
      return Check<OwnerPlaceRequest>(body);
    case MessageType::kOwnerPlaceNotice:
      return Check<OwnerPlaceNotice>(body);
    case MessageType::kMoveNotice:
      return Check<MoveNotice>(body);
  }
  return MakeError(ErrorCode::kMalformed, "unknown message type");
}

}  // namespace mimosadeal
