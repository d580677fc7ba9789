// The controller of a group while this host holds the term: answers lease
// requests, advances the ownership table, stores it, and sends it to the
// group's hosts.
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
#include "server/configuration_keeper.h"
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
    const ConfigurationKeeper& configuration;
    const std::vector<PlatformHost>& platform_hosts;
    std::string process;
    std::string address;
  };

  struct Callbacks {
    // The table changed; this host takes it over as every other host does.
    std::function<void(const OwnershipTable&)> on_table;
    // Another host holds a later term.
    std::function<void()> on_superseded;
  };

  // `record` was written at `record_version` of its object and names this host.
  // `known_table` is the newest table that this host has; `was_in_charge` tells
  // that it was controller or standby before.
  ControllerRole(Environment environment, Callbacks callbacks,
                 ControlRecord record, uint64_t record_version,
                 OwnershipTable known_table, bool was_in_charge);

  // A standby that stands in for the controller of `record` during a store
  // outage.
  static std::unique_ptr<ControllerRole> StandIn(Environment environment,
                                                 Callbacks callbacks,
                                                 const ControlRecord& record,
                                                 OwnershipTable known_table);

  ~ControllerRole();
  ControllerRole(const ControllerRole&) = delete;
  ControllerRole& operator=(const ControllerRole&) = delete;

  // Returns the reply to a request of this term, or nothing while the term's
  // table is not stored yet.
  std::optional<LeaseReply> OnLeaseRequest(const LeaseRequest& request);

  // To be called with each list of the platform that was read.
  void OnPlatformHosts();

  // To be called at short intervals.
  void Tick();

  // Gives the term to the standby, as before a planned stop. Does nothing
  // without a standby.
  void HandOver();

  const ControllerState& state() const { return state_; }
  bool may_move() const;

 private:
  void ReadTable();
  void StoreTable();
  void OnTableStored(const TableVersion& version,
                     const Result<uint64_t>& written);
  void Publish();
  void CheckStore();
  void UpdateMembers();
  void WriteRecord(ControlRecord record);
  void OnRecordWritten(const ControlRecord& record,
                       const Result<uint64_t>& written);
  void ReadRecord();
  std::string ChooseStandby() const;
  void ForgetLostHosts();

  Environment environment_;
  Callbacks callbacks_;
  ControlRecord record_;
  uint64_t record_version_;
  ControllerState state_;
  // False until the first table of the term is in the store; no lease is given
  // before.
  bool started_ = false;
  uint64_t table_object_version_ = kNoObject;
  bool storing_table_ = false;
  bool writing_record_ = false;
  bool checking_store_ = false;
  bool superseded_ = false;
  MonotonicTime last_store_success_;
  MonotonicTime next_store_check_ = kNever;
  MonotonicTime next_member_check_ = kNever;
  MonotonicTime next_full_pass_ = kNever;
  MonotonicTime next_store_try_ = kNever;
  // Host ids missing from the platform's list, with the number of lists that
  // lacked them.
  std::map<std::string, int> missing_from_list_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mimosadeal
