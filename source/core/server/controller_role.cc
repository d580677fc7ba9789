#include "server/controller_role.h"

#include <algorithm>
#include <set>
#include <utility>

#include "common/ids.h"
#include "common/log.h"
#include "net/event_loop.h"
#include "ownership/controller_leases.h"
#include "ownership/controller_moves.h"

namespace mimosadeal {
namespace {

constexpr Duration kStoreCheckInterval = std::chrono::milliseconds(500);
constexpr Duration kStoreDownThreshold = std::chrono::milliseconds(1500);
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMemberCheckInterval = std::chrono::milliseconds(500);
constexpr Duration kFullPassInterval = std::chrono::milliseconds(250);
// A host that is missing from this many consecutive platform lists has stopped.
// A single list may lack a host that has just started.
constexpr int kAbsencesUntilStopped = 3;
// A lost host is removed from the controller's state after this time. Its entry
// in the table remains.
constexpr Duration kLostHostRetention = std::chrono::seconds(60);

std::vector<std::string> LiveHostIds(const ControllerState& state,
                                     MonotonicTime now) {
  std::vector<std::string> ids;
  for (const auto& [process, host] : state.hosts) {
    if (!IsLost(state, process, now)) ids.push_back(HostIdOf(process));
  }
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  return ids;
}

}  // namespace

ControllerRole::ControllerRole(Environment environment, Callbacks callbacks,
                               ControlRecord record, uint64_t record_version,
                               OwnershipTable known_table,
                               bool had_control_role)
    : environment_(std::move(environment)),
      callbacks_(std::move(callbacks)),
      record_(std::move(record)),
      record_version_(record_version),
      last_store_success_(environment_.loop.timers().now()) {
  state_.self = environment_.process;
  state_.zone = environment_.settings.zone;
  state_.timing = TimingOf(environment_.settings);
  state_.term = record_.term;
  state_.members = record_.members;
  state_.standby = record_.standby;
  state_.delay_grants = !had_control_role;
  state_.table = std::move(known_table);
}

ControllerRole::~ControllerRole() { *alive_ = false; }

std::unique_ptr<ControllerRole> ControllerRole::MakeActingController(
    Environment environment, Callbacks callbacks, const ControlRecord& record,
    OwnershipTable known_table) {
  auto role = std::make_unique<ControllerRole>(
      std::move(environment), std::move(callbacks), record, kNoObject,
      std::move(known_table), true);
  role->state_.renew_only = true;
  role->state_.first_version = role->state_.table.version;
  role->term_started_ = true;
  return role;
}

bool ControllerRole::may_move() const {
  return MayMove(state_, environment_.loop.timers().now());
}

std::optional<LeaseReply> ControllerRole::OnLeaseRequest(
    const LeaseRequest& request) {
  if (!term_started_ || request.term != state_.term) return std::nullopt;
  LeaseReply reply = HandleLeaseRequest(state_, request, BootClock::now());
  reply.configuration_version = environment_.configuration.version();
  return reply;
}

void ControllerRole::Tick() {
  const MonotonicTime now = environment_.loop.timers().now();
  if (superseded_ || state_.renew_only) return;
  if (!term_started_) {
    if (!storing_table_ && now >= next_store_attempt_) ReadTable();
    return;
  }
  CheckStore();
  UpdateMembers();
  RemoveLostHosts();
  const bool in_transit =
      !state_.revoked_shards.empty() || !state_.revoked_upstreams.empty();
  if (state_.advance_needed || in_transit || now >= next_full_pass_) {
    state_.advance_needed = false;
    next_full_pass_ = now + kFullPassInterval;
    const MoveInputs inputs{environment_.platform_hosts,
                            environment_.configuration.configuration()};
    if (AdvanceTable(state_, inputs, now)) {
      state_.advance_needed = true;
      PublishTable();
    }
  }
  if (state_.stored < state_.table.version && !storing_table_ &&
      now >= next_store_attempt_)
    StoreTable();
}

void ControllerRole::OnPlatformHosts() {
  std::set<std::string> listed;
  for (const PlatformHost& host : environment_.platform_hosts)
    listed.insert(host.id);
  state_.unlisted_members.clear();
  for (const std::string& member : state_.members) {
    int& absences = absences_[member];
    absences = listed.count(member) != 0 ? 0 : absences + 1;
    if (absences >= kAbsencesUntilStopped)
      state_.unlisted_members.insert(member);
  }
  state_.advance_needed = true;
}

void ControllerRole::ReadTable() {
  storing_table_ = true;
  const std::string name = TableObjectName(environment_.settings.group);
  environment_.platform.Get(name, [this, alive = alive_](
                                      const Result<StoredObject>& object) {
    if (!*alive) return;
    storing_table_ = false;
    next_store_attempt_ = environment_.loop.timers().now() + kStoreRetryDelay;
    if (object.has_value()) {
      table_object_version_ = object.value().version;
      auto table = DecodeTable(object.value().value);
      if (table.has_value() && table.value().version > state_.table.version) {
        state_.table = std::move(table.value());
      }
    } else if (object.error().code != ErrorCode::kNotFound) {
      return;
    }
    last_store_success_ = environment_.loop.timers().now();
    if (state_.table.version.term > state_.term) {
      superseded_ = true;
      callbacks_.on_superseded();
      return;
    }
    AdoptTable(state_, std::move(state_.table));
    StoreTable();
  });
}

void ControllerRole::StoreTable() {
  storing_table_ = true;
  const TableVersion version = state_.table.version;
  environment_.platform.Put(
      TableObjectName(environment_.settings.group), table_object_version_,
      EncodeTable(state_.table),
      [this, alive = alive_, version](const Result<uint64_t>& written) {
        if (*alive) OnTableStored(version, written);
      });
}

void ControllerRole::OnTableStored(const TableVersion& version,
                                   const Result<uint64_t>& written) {
  storing_table_ = false;
  const MonotonicTime now = environment_.loop.timers().now();
  if (!written.has_value()) {
    next_store_attempt_ = now + kStoreRetryDelay;
    const ErrorCode code = written.error().code;
    if (code != ErrorCode::kConflict && code != ErrorCode::kUnknownOutcome)
      return;
    // Either an earlier write of this host took effect and its reply was lost,
    // or another controller wrote.
    storing_table_ = true;
    environment_.platform.Get(
        TableObjectName(environment_.settings.group),
        [this, alive = alive_](const Result<StoredObject>& object) {
          if (!*alive) return;
          storing_table_ = false;
          if (!object.has_value()) return;
          next_store_attempt_ = kNever;
          table_object_version_ = object.value().version;
          const auto table = DecodeTable(object.value().value);
          if (!table.has_value()) return;
          if (table.value().version.term > state_.term) {
            superseded_ = true;
            callbacks_.on_superseded();
            return;
          }
          if (table.value().version.term == state_.term) {
            state_.stored = std::max(state_.stored, table.value().version);
            state_.advance_needed = true;
          } else {
            // The controller of an earlier term has written a newer table.
            // Start again from that table.
            term_started_ = false;
          }
        });
    return;
  }
  table_object_version_ = written.value();
  last_store_success_ = now;
  state_.stored = std::max(state_.stored, version);
  state_.advance_needed = true;
  if (!term_started_) {
    term_started_ = true;
    Log(LogPart::kController)
        .info("This host is the controller of term {}.", state_.term);
    PublishTable();
  }
}

void ControllerRole::PublishTable() {
  const TableReply message{EncodeTable(state_.table)};
  for (const auto& [process, host] : state_.hosts) {
    if (process == environment_.process || host.address.empty()) continue;
    if (IsLost(state_, process, environment_.loop.timers().now())) continue;
    environment_.transport.Send(
        environment_.transport.ConnectionTo(host.address), message);
  }
  callbacks_.on_table(state_.table);
}

void ControllerRole::CheckStore() {
  const MonotonicTime now = environment_.loop.timers().now();
  const bool down = now - last_store_success_ > kStoreDownThreshold;
  if (down != state_.store_down) {
    Log(LogPart::kController)
        .warn("The store {}.", down ? "is unreachable" : "is reachable again");
    state_.store_down = down;
    // Without a standby no acting controller can exist, so nobody has to
    // confirm the end of the outage.
    if (!down && state_.standby.empty()) state_.outage = false;
  }
  if (checking_store_ || now < next_store_check_) return;
  checking_store_ = true;
  next_store_check_ = now + kStoreCheckInterval;
  ReadRecord();
}

void ControllerRole::ReadRecord() {
  environment_.platform.Get(
      ControlRecordName(environment_.settings.group),
      [this, alive = alive_](const Result<StoredObject>& object) {
        if (!*alive) return;
        checking_store_ = false;
        if (!object.has_value()) return;
        last_store_success_ = environment_.loop.timers().now();
        const auto record = DecodeControlRecord(object.value().value);
        if (!record.has_value()) return;
        if (record.value().term > state_.term) {
          superseded_ = true;
          callbacks_.on_superseded();
          return;
        }
        if (record.value().write_id != record_.write_id) return;
        record_version_ = object.value().version;
      });
}

std::string ControllerRole::ChooseStandby() const {
  const MonotonicTime now = environment_.loop.timers().now();
  const auto usable = [&](const std::string& process) {
    const auto host = state_.hosts.find(process);
    return host != state_.hosts.end() && process != environment_.process &&
           !host->second.leaving && !IsLost(state_, process, now);
  };
  if (usable(state_.standby)) return state_.standby;
  for (const auto& [process, host] : state_.hosts) {
    if (usable(process)) return process;
  }
  return {};
}

void ControllerRole::UpdateMembers() {
  const MonotonicTime now = environment_.loop.timers().now();
  if (now < next_member_check_ || writing_record_ || state_.store_down) return;
  next_member_check_ = now + kMemberCheckInterval;
  if (!MayMove(state_, now) || state_.outage) return;
  const std::vector<std::string> live = LiveHostIds(state_, now);
  const std::string standby = ChooseStandby();
  if (live == state_.members && standby == state_.standby) return;
  ControlRecord next = record_;
  next.members = live;
  next.standby = standby;
  const auto host = state_.hosts.find(standby);
  next.standby_address =
      host == state_.hosts.end() ? std::string() : host->second.address;
  state_.proposed_members = live;
  WriteRecord(std::move(next));
}

void ControllerRole::WriteRecord(ControlRecord record) {
  writing_record_ = true;
  record.write_id = NewUniqueId();
  std::string encoded = EncodeControlRecord(record);
  environment_.platform.Put(
      ControlRecordName(environment_.settings.group), record_version_,
      std::move(encoded),
      [this, alive = alive_, record](const Result<uint64_t>& written) {
        if (*alive) OnRecordWritten(record, written);
      });
}

void ControllerRole::OnRecordWritten(const ControlRecord& record,
                                     const Result<uint64_t>& written) {
  if (written.has_value()) {
    writing_record_ = false;
    record_ = record;
    record_version_ = written.value();
    state_.members = record.members;
    state_.standby = record.standby;
    state_.proposed_members.reset();
    return;
  }
  if (written.error().code == ErrorCode::kUnavailable) {
    // The record was certainly not written.
    writing_record_ = false;
    state_.proposed_members.reset();
    return;
  }
  // The write may have taken effect. Until the stored record is read, authority
  // needs a majority of both the present and the proposed members.
  environment_.platform.Get(
      ControlRecordName(environment_.settings.group),
      [this, alive = alive_, record](const Result<StoredObject>& object) {
        if (!*alive) return;
        if (!object.has_value()) {
          environment_.loop.timers().After(kStoreRetryDelay, [this, alive,
                                                              record] {
            if (*alive)
              OnRecordWritten(record, MakeError(ErrorCode::kUnknownOutcome,
                                                "the store could not be read"));
          });
          return;
        }
        const auto stored = DecodeControlRecord(object.value().value);
        if (!stored.has_value()) return;
        if (stored.value().term > state_.term) {
          superseded_ = true;
          callbacks_.on_superseded();
          return;
        }
        OnRecordWritten(stored.value(), object.value().version);
      });
}

void ControllerRole::HandOver() {
  if (state_.standby.empty() || writing_record_ || superseded_) return;
  ControlRecord next = record_;
  next.term += 1;
  next.controller = record_.standby;
  next.controller_address = record_.standby_address;
  next.standby.clear();
  next.standby_address.clear();
  next.write_id = NewUniqueId();
  writing_record_ = true;
  std::string encoded = EncodeControlRecord(next);
  environment_.platform.Put(
      ControlRecordName(environment_.settings.group), record_version_,
      std::move(encoded),
      [this, alive = alive_, next](const Result<uint64_t>& written) {
        if (!*alive) return;
        writing_record_ = false;
        if (!written.has_value()) return;
        Log(LogPart::kController)
            .info("Handed term {} over to {}.", next.term, next.controller);
        const ControllerNotice notice{next.term, next.controller,
                                      next.controller_address, "", ""};
        environment_.transport.SendDatagram(next.controller_address, notice);
      });
}

void ControllerRole::RemoveLostHosts() {
  const MonotonicTime now = environment_.loop.timers().now();
  std::erase_if(state_.hosts, [now](const auto& entry) {
    const MonotonicTime seen =
        std::max(entry.second.lease_until, entry.second.first_seen);
    return seen + kLostHostRetention < now;
  });
}

}  // namespace mimosadeal
