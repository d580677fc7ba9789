// A host's state as member of its group: the controller that it knows, its
// lease, and its promises. In this file, the holder of a term is its controller
// or the standby that acts for it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/boot_clock.h"
#include "inner/control_messages.h"
#include "ownership/control_record.h"
#include "ownership/lease_timing.h"

namespace mimosadeal {

struct GroupMember {
  std::string self;
  std::string address;
  LeaseTiming timing;

  uint64_t term = 0;
  std::string controller;
  std::string controller_address;
  std::string standby;
  std::string standby_address;

  // End of the lease, counted from before its request was sent.
  MonotonicTime lease_until = kNever;
  // How many times the lease had ended before it was extended.
  uint64_t lapses = 0;
  // When the latest reply arrived that extended the lease in the present term.
  MonotonicTime last_extension = kNever;
  // The same for replies of the controller itself, without its standby.
  MonotonicTime last_controller_extension = kNever;
  // When this host learnt of the present term.
  MonotonicTime term_since = kNever;
  // For each term, the end of the promise given to it. The holder of the term
  // counts the promise from when it sent a reply, and this host from when it
  // received that reply, so this host keeps it for long enough.
  std::map<uint64_t, MonotonicTime> promises;
  // For each holder, the time on its clock in its latest reply. Sent back in
  // the next request.
  std::map<std::string, int64_t> echoes;
  // As standby: the controller has announced a store outage, so this host may
  // be acting controller.
  bool outage = false;
};

// Returns the state of a process that starts. It does not know the promises of
// the previous process on this host, so it counts itself as bound for the
// longest time that a promise can last.
GroupMember StartMember(std::string self, std::string address,
                        const LeaseTiming& timing, MonotonicTime now);

// Returns whether this host may act as dispatcher at `now`.
bool LeaseIsValid(const GroupMember& member, MonotonicTime now);

// Adopts the controller and standby of `record` if its term is later than the
// present one. Returns whether it was.
bool AdoptControlRecord(GroupMember& member, const ControlRecord& record,
                        MonotonicTime now);

// Returns a request to `holder` with the fields that concern the lease.
LeaseRequest MakeLeaseRequest(const GroupMember& member,
                              const std::string& holder, MonotonicTime now);

struct LeaseReplyEffect {
  bool accepted = false;
  // The holder had no authority yet. A new request should be sent at once,
  // because it carries the promise that the holder lacks.
  bool ask_again = false;
};

LeaseReplyEffect OnLeaseReply(GroupMember& member, const LeaseReply& reply,
                              MonotonicTime now);

// Returns whether no reply extended the lease in the present term for so long
// that this host should try to become controller of the next term. `position`
// delays the hosts by different times, so that they do not all try at once; the
// standby has 0.
bool ShouldSeekTerm(const GroupMember& member, size_t position,
                    MonotonicTime now);

// Returns whether the controller itself extended no lease for that long,
// without regard to its standby. An acting controller uses this to seek the
// next term. Its own replies keep all leases valid, so no other host would do
// it.
bool ControllerIsSilent(const GroupMember& member, MonotonicTime now);

// Returns whether the controller is silent for so long that lease requests
// should go to the standby as well.
bool ShouldAskStandby(const GroupMember& member, MonotonicTime now);

}  // namespace mimosadeal
