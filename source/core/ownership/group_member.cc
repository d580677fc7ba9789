#include "ownership/group_member.h"

#include <algorithm>
#include <utility>

namespace mimosadeal {
namespace {

Duration Silence(const GroupMember& member, MonotonicTime now) {
  return now - std::max(member.last_extension, member.term_since);
}

Duration EarlierPromiseLeft(const GroupMember& member, MonotonicTime now) {
  Duration left = Duration::zero();
  for (const auto& [term, until] : member.promises) {
    if (term < member.term) left = std::max(left, until - now);
  }
  return left;
}

}  // namespace

GroupMember StartMember(std::string self, std::string address,
                        const LeaseTiming& timing, MonotonicTime now) {
  GroupMember member;
  member.self = std::move(self);
  member.address = std::move(address);
  member.timing = timing;
  member.term_since = now;
  member.promises[0] = now + timing.Lengthened(timing.promise_ttl);
  return member;
}

bool LeaseIsValid(const GroupMember& member, MonotonicTime now) {
  return now < member.lease_until;
}

bool AdoptControlRecord(GroupMember& member, const ControlRecord& record,
                        MonotonicTime now) {
  if (record.term <= member.term) return false;
  member.term = record.term;
  member.controller = record.controller;
  member.controller_address = record.controller_address;
  member.standby = record.standby;
  member.standby_address = record.standby_address;
  member.term_since = now;
  member.echoes.clear();
  member.outage = false;
  std::erase_if(member.promises,
                [now](const auto& entry) { return entry.second <= now; });
  return true;
}

LeaseRequest MakeLeaseRequest(const GroupMember& member,
                              const std::string& holder, MonotonicTime now) {
  LeaseRequest request;
  request.host = member.self;
  request.address = member.address;
  request.term = member.term;
  request.sent_at_ns = now.time_since_epoch().count();
  const auto echo = member.echoes.find(holder);
  if (echo != member.echoes.end()) request.controller_echo_ns = echo->second;
  request.outage_acknowledged = member.outage;
  request.earlier_promise_left_ns = EarlierPromiseLeft(member, now).count();
  return request;
}

LeaseReplyEffect OnLeaseReply(GroupMember& member, const LeaseReply& reply,
                              MonotonicTime now) {
  LeaseReplyEffect effect;
  const bool from_holder = reply.controller == member.controller ||
                           reply.controller == member.standby;
  if (reply.term != member.term || !from_holder) return effect;
  const MonotonicTime sent_at{Duration(reply.request_sent_at_ns)};
  // Ignores replies to requests of another process.
  if (sent_at > now) return effect;
  effect.accepted = true;
  int64_t& echo = member.echoes[reply.controller];
  effect.ask_again = reply.ttl_ns == 0 && echo == 0;
  echo = std::max(echo, reply.controller_time_ns);
  if (reply.ttl_ns > 0) member.last_extension = now;
  if (reply.controller == member.controller) {
    if (reply.ttl_ns > 0) member.last_controller_extension = now;
    member.outage = reply.outage;
    member.standby = reply.standby;
    member.standby_address = reply.standby_address;
  }
  MonotonicTime& promise = member.promises[member.term];
  promise = std::max(promise, now + member.timing.promise_ttl);
  // Limits the lease to the agreed time if the holder's clock is faulty.
  const Duration ttl =
      std::min(Duration(reply.ttl_ns), member.timing.lease_ttl);
  if (reply.ttl_ns > 0 && sent_at + ttl > member.lease_until) {
    if (now >= member.lease_until) ++member.lapses;
    member.lease_until = sent_at + ttl;
  }
  return effect;
}

bool ShouldSeekTerm(const GroupMember& member, size_t position,
                    MonotonicTime now) {
  const Duration spread =
      member.timing.lease_renew * static_cast<int>(position);
  return Silence(member, now) >= member.timing.controller_silence + spread;
}

bool ControllerIsSilent(const GroupMember& member, MonotonicTime now) {
  const MonotonicTime silent_since =
      std::max(member.last_controller_extension, member.term_since);
  return now - silent_since >= member.timing.controller_silence;
}

bool ShouldAskStandby(const GroupMember& member, MonotonicTime now) {
  return !member.standby.empty() &&
         Silence(member, now) >= member.timing.controller_silence / 2;
}

}  // namespace mimosadeal
