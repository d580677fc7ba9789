// This host's role in its control group. It renews this host's lease, follows
// the controller or becomes it, and as standby acts as controller while the
// controller is silent during a store outage.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "inner/inner_transport.h"
#include "ownership/group_member.h"
#include "server/controller_role.h"

namespace mimosadeal {

class GroupRole {
 public:
  struct Callbacks {
    std::function<void(const OwnershipTable&)> on_table;
    // Returns the reports that a lease request carries.
    std::function<std::vector<UpstreamReport>()> reports;
    // Another host sent its encoded configuration.
    std::function<void(const std::string&)> on_peer_configuration;
    // Called with true when this host becomes controller or standby, and with
    // false when it is neither any more.
    std::function<void(bool)> on_control_role_change;
  };

  GroupRole(ControllerRole::Environment environment, Callbacks callbacks);
  ~GroupRole();

  const GroupMember& member() const { return member_; }
  const OwnershipTable& table() const { return table_; }
  // Null unless this host is the controller or the acting controller.
  const ControllerRole* controller() const { return controller_.get(); }

  // Must be called at short intervals.
  void Tick();
  // Sends a lease request now.
  void SendLeaseRequest();
  // Sends a lease request at the next Tick instead of at the next renewal.
  void ScheduleLeaseRequest() { next_lease_request_ = kNever; }
  void OnPlatformHosts();

  void OnLeaseRequest(const LeaseRequest& request);
  void OnLeaseReply(const LeaseReply& reply);
  void OnControllerNotice(const ControllerNotice& notice);
  void OnTableRequest(ConnectionId connection, const TableRequest& request);
  void OnTableReply(const TableReply& reply);
  void OnConfigurationRequest(ConnectionId connection,
                              const ConfigurationRequest& request);
  void OnConfigurationReply(const ConfigurationReply& reply);

  // Starts a planned stop: asks the controller to move all upstreams to other
  // hosts.
  void Leave();
  // Returns true once no upstream is assigned to this host.
  bool HasLeft() const;
  // If this host is the controller, hands the next term to the standby.
  void HandOver();

 private:
  // Reads the control record. Adopts a later term, or claims the next term if
  // there is no controller or it has timed out.
  void CheckControlRecord();
  void OnRecordRead(const Result<StoredObject>& object);
  bool HasControllerTimedOut() const;
  // Returns true if the next term may be claimed now. On the first call after
  // the controller fell silent, asks the controller once more instead.
  bool MayClaimTerm();
  void ClaimTerm(const ControlRecord& previous, uint64_t version);
  void OnClaimWritten(const ControlRecord& record, bool had_control_role,
                      const Result<uint64_t>& written);
  void BecomeController(const ControlRecord& record, uint64_t version,
                        bool had_control_role);
  void AdoptRecord(const ControlRecord& record);
  void StepDown();
  void BecomeActingControllerIfNeeded();
  // Applies the table if it is newer than the present one.
  void ApplyTable(const OwnershipTable& table);
  void SendLeaseRequestTo(const std::string& holder,
                          const std::string& address);
  void RequestLeaseFromPeers();
  bool IsController() const {
    return member_.controller == environment_.process;
  }
  bool IsStandby() const { return member_.standby == environment_.process; }
  // Returns this host's place in the order in which hosts claim the next term.
  size_t CandidatePosition() const;
  std::vector<std::string> ListedGroupHosts() const;
  ControlRecord KnownRecord() const;
  std::vector<std::string> GroupAddresses() const;

  ControllerRole::Environment environment_;
  Callbacks callbacks_;
  GroupMember member_;
  OwnershipTable table_;
  std::unique_ptr<ControllerRole> controller_;
  // controller_ is an acting controller.
  bool is_acting_controller_ = false;
  std::vector<std::string> members_;  // From the latest record that was read.
  bool record_request_pending_ = false;
  bool leaving_ = false;
  bool has_control_role_ = false;
  MonotonicTime next_lease_request_ = kNever;
  MonotonicTime next_record_check_ = kNever;
  // The first read of the control record since the controller fell silent. The
  // record still named the controller's term.
  MonotonicTime term_confirmed_ = kNever;
};

}  // namespace mimosadeal
