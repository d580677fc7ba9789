// The controller of a control group. It exists while this host holds the
// group's term, or acts for the controller that does. It replies to lease
// requests, updates the ownership table, stores it, and sends it to the group's
// hosts.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "inner/inner_transport.h"
#include "ownership/control_record.h"
#include "ownership/controller_state.h"
#include "platform/platform_client.h"
#include "platform/platform_host.h"
#include "server/configuration_manager.h"
#include "settings/settings.h"

namespace mimosadeal {

class EventLoop;

class ControllerRole {
 public:
  struct Environment {
    EventLoop& loop;
    InnerTransport& transport;
    PlatformClient& platform;
    const Settings& settings;
    const ConfigurationManager& configuration;
    const std::vector<PlatformHost>& platform_hosts;
    std::string process;
    std::string address;
  };

  struct Callbacks {
    // The table changed. This host applies it as every other host does.
    std::function<void(const OwnershipTable&)> on_table;
    // Another host holds a later term.
    std::function<void()> on_superseded;
  };

  // `record` names this host as controller and is stored at `record_version`.
  // `known_table` is the newest table that this host has. `had_control_role` is
  // true if this host was controller or standby of the previous term, or if
  // there was none.
  ControllerRole(Environment environment, Callbacks callbacks,
                 ControlRecord record, uint64_t record_version,
                 OwnershipTable known_table, bool had_control_role);

  // Returns an acting controller: the standby, while the controller of `record`
  // is silent during a store outage. It renews leases of the same term and
  // moves nothing.
  static std::unique_ptr<ControllerRole> MakeActingController(
      Environment environment, Callbacks callbacks, const ControlRecord& record,
      OwnershipTable known_table);

  ~ControllerRole();
  ControllerRole(const ControllerRole&) = delete;
  ControllerRole& operator=(const ControllerRole&) = delete;

  // Returns the reply to a request of this term. Returns nothing for other
  // terms, or before the first table of the term is stored.
  std::optional<LeaseReply> OnLeaseRequest(const LeaseRequest& request);

  // Must be called after each successful read of the platform's host list.
  void OnPlatformHosts();

  // Must be called at short intervals.
  void Tick();

  // Hands the next term to the standby before a planned stop. Does nothing
  // without a standby.
  void HandOver();

  const ControllerState& state() const { return state_; }
  bool may_move() const;

 private:
  // Reads the stored table, then stores it as the first table of this term.
  void ReadTable();
  void StoreTable();
  void OnTableStored(const TableVersion& version,
                     const Result<uint64_t>& written);
  void PublishTable();
  // Detects whether the store can be reached, and whether a later term exists.
  void CheckStore();
  // Writes members and standby to the control record when they have changed.
  void UpdateMembers();
  void WriteRecord(ControlRecord record);
  void OnRecordWritten(const ControlRecord& record,
                       const Result<uint64_t>& written);
  void ReadRecord();
  // Returns the present standby if it is usable, otherwise another live host;
  // empty if there is none.
  std::string ChooseStandby() const;
  void RemoveLostHosts();

  Environment environment_;
  Callbacks callbacks_;
  ControlRecord record_;
  uint64_t record_version_;
  ControllerState state_;
  // True once the first table of the term is stored. No lease is granted
  // before.
  bool term_started_ = false;
  uint64_t table_object_version_ = kNoObject;
  bool storing_table_ = false;
  bool writing_record_ = false;
  bool checking_store_ = false;
  bool superseded_ = false;
  MonotonicTime last_store_success_;
  MonotonicTime next_store_check_ = kNever;
  MonotonicTime next_member_check_ = kNever;
  MonotonicTime next_full_pass_ = kNever;
  MonotonicTime next_store_attempt_ = kNever;
  // For each member's host id, the number of consecutive platform lists that
  // did not contain it.
  std::map<std::string, int> absences_;
  // Becomes false on destruction. Callbacks of the store check it, because they
  // can run later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mimosadeal
