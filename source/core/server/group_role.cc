#include "server/group_role.h"

#include <algorithm>
#include <utility>

#include "common/ids.h"
#include "common/log.h"
#include "net/event_loop.h"
#include "ownership/controller_leases.h"

namespace mimosadeal {
namespace {

constexpr Duration kRecordRetryDelay = std::chrono::milliseconds(150);
// Allows several round trips within a zone.
constexpr Duration kClaimConfirmationDelay = std::chrono::milliseconds(30);

}  // namespace

GroupRole::GroupRole(ControllerRole::Environment environment,
                     Callbacks callbacks)
    : environment_(std::move(environment)), callbacks_(std::move(callbacks)) {
  member_ = StartMember(environment_.process, environment_.address,
                        TimingOf(environment_.settings),
                        environment_.loop.timers().now());
}

GroupRole::~GroupRole() = default;

void GroupRole::Tick() {
  const MonotonicTime now = environment_.loop.timers().now();
  if (controller_ != nullptr) controller_->Tick();
  if (now >= next_lease_request_) SendLeaseRequest();
  BecomeActingControllerIfNeeded();
  if (!record_request_pending_ && now >= next_record_check_ &&
      (member_.term == 0 || HasControllerTimedOut()))
    CheckControlRecord();
  const bool has_control_role = IsController() || IsStandby();
  if (has_control_role != has_control_role_) {
    has_control_role_ = has_control_role;
    callbacks_.on_control_role_change(has_control_role);
  }
}

// While this host is acting controller, its own replies renew every lease of
// the group, including its own. Then only replies from the controller itself
// show that the controller is alive.
bool GroupRole::HasControllerTimedOut() const {
  const MonotonicTime now = environment_.loop.timers().now();
  return is_acting_controller_
             ? ControllerIsSilent(member_, now)
             : ShouldSeekTerm(member_, CandidatePosition(), now);
}

void GroupRole::SendLeaseRequest() {
  const MonotonicTime now = environment_.loop.timers().now();
  next_lease_request_ = now + member_.timing.lease_renew;
  if (member_.term == 0) {
    RequestLeaseFromPeers();
    return;
  }
  SendLeaseRequestTo(member_.controller, member_.controller_address);
  if (ShouldAskStandby(member_, now))
    SendLeaseRequestTo(member_.standby, member_.standby_address);
}

void GroupRole::SendLeaseRequestTo(const std::string& holder,
                                   const std::string& address) {
  if (address.empty()) return;
  LeaseRequest request = MakeLeaseRequest(member_, holder, BootClock::now());
  request.table = table_.version;
  request.configuration_version = environment_.configuration.version();
  request.leaving = leaving_;
  request.upstreams = callbacks_.reports();
  environment_.transport.SendDatagram(address, request);
}

// Used while no controller is known, such as after a start during a store
// outage.
void GroupRole::RequestLeaseFromPeers() {
  for (const std::string& address : GroupAddresses())
    SendLeaseRequestTo("", address);
}

std::vector<std::string> GroupRole::GroupAddresses() const {
  std::vector<std::string> addresses = environment_.settings.seed_peers;
  for (const PlatformHost& host : environment_.platform_hosts) {
    if (host.kind == HostKind::kEntry &&
        host.group == environment_.settings.group)
      addresses.push_back(host.address);
  }
  for (const TableHost& host : table_.hosts) {
    if (host.live) addresses.push_back(host.address);
  }
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()),
                  addresses.end());
  std::erase(addresses, environment_.address);
  return addresses;
}

size_t GroupRole::CandidatePosition() const {
  if (IsStandby() || IsController()) return 0;
  size_t position = 1;
  for (const TableHost& host : table_.hosts) {
    if (host.live && host.id < environment_.process) ++position;
  }
  return position;
}

// Returns the hosts that the platform lists for this group, and this host. They
// are the first members of a new group. If this host were the only member, no
// other host could take over if it were lost before the first change of
// members.
std::vector<std::string> GroupRole::ListedGroupHosts() const {
  std::vector<std::string> ids = {HostIdOf(environment_.process)};
  for (const PlatformHost& host : environment_.platform_hosts) {
    const bool own_group = host.kind == HostKind::kEntry &&
                           host.group == environment_.settings.group;
    if (own_group && host.id != ids.front()) ids.push_back(host.id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

ControlRecord GroupRole::KnownRecord() const {
  ControlRecord record;
  record.term = member_.term;
  record.controller = member_.controller;
  record.controller_address = member_.controller_address;
  record.standby = member_.standby;
  record.standby_address = member_.standby_address;
  record.members = members_;
  return record;
}

void GroupRole::CheckControlRecord() {
  record_request_pending_ = true;
  next_record_check_ = environment_.loop.timers().now() + kRecordRetryDelay;
  environment_.platform.Get(
      ControlRecordName(environment_.settings.group),
      [this](const Result<StoredObject>& object) { OnRecordRead(object); });
}

void GroupRole::OnRecordRead(const Result<StoredObject>& object) {
  record_request_pending_ = false;
  ControlRecord record;
  uint64_t version = kNoObject;
  if (object.has_value()) {
    auto decoded = DecodeControlRecord(object.value().value);
    if (!decoded.has_value()) {
      Log(LogPart::kController)
          .error("Cannot decode the control record in the store.");
      return;
    }
    record = std::move(decoded.value());
    version = object.value().version;
  } else if (object.error().code != ErrorCode::kNotFound) {
    return;
  }
  members_ = record.members;
  if (record.term > member_.term) {
    if (record.controller == environment_.process) {
      // The previous controller handed this term over.
      BecomeController(record, version, true);
    } else {
      AdoptRecord(record);
      SendLeaseRequest();
    }
    return;
  }
  if (leaving_ || !MayClaimTerm()) return;
  ClaimTerm(record, version);
}

// A host that was partitioned may reach the store again before it reaches the
// controller. It therefore asks the controller once more before it claims the
// next term.
bool GroupRole::MayClaimTerm() {
  const MonotonicTime now = environment_.loop.timers().now();
  // A new group needs the platform's list for its first members.
  if (member_.term == 0) return !environment_.platform_hosts.empty();
  if (!HasControllerTimedOut()) return false;
  const MonotonicTime last_reply = is_acting_controller_
                                       ? member_.last_controller_extension
                                       : member_.last_extension;
  const MonotonicTime silent_since = std::max(last_reply, member_.term_since);
  if (term_confirmed_ > silent_since)
    return now - term_confirmed_ >= kClaimConfirmationDelay;
  term_confirmed_ = now;
  next_record_check_ = now + kClaimConfirmationDelay;
  SendLeaseRequest();
  return false;
}

void GroupRole::ClaimTerm(const ControlRecord& previous, uint64_t version) {
  record_request_pending_ = true;
  const bool had_control_role = version == kNoObject ||
                                previous.controller == environment_.process ||
                                previous.standby == environment_.process;
  ControlRecord record = previous;
  record.term = previous.term + 1;
  record.controller = environment_.process;
  record.controller_address = environment_.address;
  record.standby.clear();
  record.standby_address.clear();
  // Members change only once no earlier term can have authority. A term's
  // authority comes from a majority of the members, so a change made earlier
  // could give two terms authority at the same time.
  if (record.members.empty()) record.members = ListedGroupHosts();
  record.write_id = NewUniqueId();
  std::string encoded = EncodeControlRecord(record);
  environment_.platform.Put(
      ControlRecordName(environment_.settings.group), version,
      std::move(encoded),
      [this, record, had_control_role](const Result<uint64_t>& written) {
        OnClaimWritten(record, had_control_role, written);
      });
}

void GroupRole::OnClaimWritten(const ControlRecord& record,
                               bool had_control_role,
                               const Result<uint64_t>& written) {
  record_request_pending_ = false;
  if (written.has_value()) {
    BecomeController(record, written.value(), had_control_role);
    return;
  }
  // If the write took effect and only its reply was lost, the next read of the
  // record shows it: the record names this host.
  next_record_check_ = environment_.loop.timers().now() + kRecordRetryDelay;
}

void GroupRole::BecomeController(const ControlRecord& record, uint64_t version,
                                 bool had_control_role) {
  if (record.term <= member_.term) return;
  AdoptControlRecord(member_, record, environment_.loop.timers().now());
  ControllerRole::Callbacks callbacks;
  callbacks.on_table = [this](const OwnershipTable& table) {
    // No other host knows of the new term before its first table is published.
    if (table.version.sequence == 1) {
      const ControllerNotice notice{member_.term, member_.controller,
                                    member_.controller_address, "", ""};
      for (const std::string& address : GroupAddresses())
        environment_.transport.SendDatagram(address, notice);
    }
    ApplyTable(table);
  };
  callbacks.on_superseded = [this] {
    // Deferred to a later loop iteration, because the caller is the role that
    // StepDown destroys.
    environment_.loop.Post([this] {
      StepDown();
      CheckControlRecord();
    });
  };
  StepDown();
  controller_ = std::make_unique<ControllerRole>(
      environment_, std::move(callbacks), record, version, table_,
      had_control_role);
  controller_->Tick();
}

void GroupRole::StepDown() {
  is_acting_controller_ = false;
  if (controller_ == nullptr) return;
  std::shared_ptr<ControllerRole> old_controller = std::move(controller_);
  environment_.loop.Post([old_controller] {});
}

void GroupRole::AdoptRecord(const ControlRecord& record) {
  if (!AdoptControlRecord(member_, record, environment_.loop.timers().now()))
    return;
  Log(LogPart::kController)
      .info("The controller of term {} is {}.", record.term, record.controller);
  StepDown();
}

void GroupRole::BecomeActingControllerIfNeeded() {
  const MonotonicTime now = environment_.loop.timers().now();
  const bool silent = ShouldSeekTerm(member_, 0, now);
  if (controller_ == nullptr && IsStandby() && member_.outage && silent) {
    Log(LogPart::kController)
        .warn("Acting as controller of term {}; the controller is silent.",
              member_.term);
    controller_ = ControllerRole::MakeActingController(environment_, {},
                                                       KnownRecord(), table_);
    is_acting_controller_ = true;
  }
}

void GroupRole::OnPlatformHosts() {
  if (controller_ != nullptr) controller_->OnPlatformHosts();
}

void GroupRole::OnLeaseRequest(const LeaseRequest& request) {
  if (controller_ != nullptr) {
    const auto reply = controller_->OnLeaseRequest(request);
    if (reply.has_value()) {
      environment_.transport.SendDatagram(request.address, *reply);
      return;
    }
  }
  if (request.term > member_.term) {
    // A later term exists. Its record is in the store.
    if (!record_request_pending_) CheckControlRecord();
    return;
  }
  if (request.term == member_.term || member_.term == 0) return;
  const ControllerNotice notice{member_.term, member_.controller,
                                member_.controller_address, member_.standby,
                                member_.standby_address};
  environment_.transport.SendDatagram(request.address, notice);
}

void GroupRole::OnLeaseReply(const LeaseReply& reply) {
  const LeaseReplyEffect effect =
      mimosadeal::OnLeaseReply(member_, reply, BootClock::now());
  if (!effect.accepted) return;
  const std::string& address = reply.controller == member_.controller
                                   ? member_.controller_address
                                   : member_.standby_address;
  if (reply.table > table_.version && !IsController()) {
    environment_.transport.Send(environment_.transport.ConnectionTo(address),
                                TableRequest{table_.version});
  }
  if (reply.configuration_version > environment_.configuration.version() &&
      !IsController()) {
    environment_.transport.Send(
        environment_.transport.ConnectionTo(address),
        ConfigurationRequest{environment_.configuration.version()});
  }
  if (effect.ask_again) SendLeaseRequestTo(reply.controller, address);
}

void GroupRole::OnControllerNotice(const ControllerNotice& notice) {
  if (notice.term <= member_.term) return;
  if (notice.controller == environment_.process) {
    // The term was handed over to this host. The control record has the rest.
    if (!record_request_pending_) CheckControlRecord();
    return;
  }
  ControlRecord record;
  record.term = notice.term;
  record.controller = notice.controller;
  record.controller_address = notice.controller_address;
  record.standby = notice.standby;
  record.standby_address = notice.standby_address;
  AdoptRecord(record);
  SendLeaseRequest();
}

void GroupRole::OnTableRequest(ConnectionId connection,
                               const TableRequest& request) {
  const OwnershipTable& newest =
      controller_ != nullptr ? controller_->state().table : table_;
  if (newest.version <= request.have) return;
  environment_.transport.Send(connection, TableReply{EncodeTable(newest)});
}

void GroupRole::OnTableReply(const TableReply& reply) {
  const auto table = DecodeTable(reply.table);
  if (table.has_value()) ApplyTable(table.value());
}

void GroupRole::ApplyTable(const OwnershipTable& table) {
  if (table.version <= table_.version) return;
  table_ = table;
  callbacks_.on_table(table_);
  // The request confirms the new table version; the controller waits for it.
  SendLeaseRequest();
}

void GroupRole::OnConfigurationRequest(ConnectionId connection,
                                       const ConfigurationRequest& request) {
  const StoredConfiguration& stored = environment_.configuration.stored();
  if (stored.version <= request.have_version) return;
  environment_.transport.Send(
      connection, ConfigurationReply{EncodeStoredConfiguration(stored)});
}

void GroupRole::OnConfigurationReply(const ConfigurationReply& reply) {
  callbacks_.on_peer_configuration(reply.stored);
}

void GroupRole::Leave() {
  leaving_ = true;
  SendLeaseRequest();
}

void GroupRole::HandOver() {
  if (controller_ != nullptr) controller_->HandOver();
}

bool GroupRole::HasLeft() const {
  for (const TableUpstream& upstream : table_.upstreams) {
    if (upstream.dispatcher == environment_.process ||
        upstream.target_dispatcher == environment_.process)
      return false;
  }
  return true;
}

}  // namespace mimosadeal
