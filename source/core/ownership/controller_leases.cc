#include "ownership/controller_leases.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace mimosadeal {
namespace {

MonotonicTime FromNanoseconds(int64_t nanoseconds) {
  return MonotonicTime(Duration(nanoseconds));
}

int64_t ToNanoseconds(MonotonicTime time) {
  return time.time_since_epoch().count();
}

size_t Majority(size_t members) { return members / 2 + 1; }

MonotonicTime MajorityAuthority(const ControllerState& state,
                                const std::vector<std::string>& members) {
  std::map<std::string, MonotonicTime> by_host;
  for (const auto& [process, host] : state.hosts) {
    MonotonicTime& until =
        by_host.try_emplace(HostIdOf(process), kNever).first->second;
    until = std::max(until, host.authority_until);
  }
  std::vector<MonotonicTime> times;
  for (const std::string& member : members) {
    const auto found = by_host.find(member);
    times.push_back(found == by_host.end() ? kNever : found->second);
  }
  if (times.empty()) return kNever;
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[Majority(times.size()) - 1];
}

// Returns whether no controller of an earlier term can have a majority. It
// would need a majority of running members that are bound by a promise to its
// term. That is impossible when every majority that consists of running members
// includes one that is free of such promises.
bool NoEarlierMajorityPossible(const ControllerState& state,
                               MonotonicTime now) {
  std::set<std::string> unbound;
  for (const auto& [process, host] : state.hosts) {
    if (host.earlier_promises_end <= now) unbound.insert(HostIdOf(process));
  }
  size_t running = 0;
  size_t unbound_count = 0;
  for (const std::string& member : state.members) {
    if (unbound.count(member) != 0) ++unbound_count;
    if (unbound.count(member) != 0 || state.unlisted_members.count(member) == 0)
      ++running;
  }
  return unbound_count + Majority(state.members.size()) > running;
}

void RecordPromise(ControllerState& state, ControllerHost& host,
                   const LeaseRequest& request, MonotonicTime now) {
  if (request.controller_echo_ns == 0) return;
  const MonotonicTime echoed = FromNanoseconds(request.controller_echo_ns);
  if (echoed > now) return;  // Not a time that this controller has sent.
  // The member counts its promise from the receipt of the echoed reply, which
  // was later than `echoed`.
  const MonotonicTime until =
      echoed + state.timing.Shortened(state.timing.promise_ttl);
  host.authority_until = std::max(host.authority_until, until);
}

bool SameReports(const std::map<std::string, UpstreamReport>& reports,
                 const LeaseRequest& request) {
  if (reports.size() != request.upstreams.size()) return false;
  for (const UpstreamReport& report : request.upstreams) {
    const auto found = reports.find(report.upstream);
    if (found == reports.end() || found->second.health != report.health ||
        found->second.applied != report.applied) {
      return false;
    }
  }
  return true;
}

// Stores the host's reports, unless a request that was sent later has already
// arrived.
void RecordReports(ControllerState& state, ControllerHost& host,
                   const LeaseRequest& request) {
  if (request.sent_at_ns < host.reported_at_ns) return;
  if (host.leaving != request.leaving || host.table != request.table ||
      !SameReports(host.reports, request)) {
    state.advance_needed = true;
  }
  host.reported_at_ns = request.sent_at_ns;
  host.address = request.address;
  host.table = request.table;
  host.configuration_version = request.configuration_version;
  host.leaving = request.leaving;
  host.reports.clear();
  for (const UpstreamReport& report : request.upstreams)
    host.reports[report.upstream] = report;
}

// Records the standby's acknowledgement of an announced store outage. The time
// in which it may be acting controller begins and ends with it.
void RecordOutage(ControllerState& state, const LeaseRequest& request) {
  if (request.host != state.standby) return;
  state.standby_acknowledged_outage = request.outage_acknowledged;
  if (!state.store_down && !request.outage_acknowledged) state.outage = false;
}

bool MayGrant(const ControllerState& state, const LeaseRequest& request,
              MonotonicTime now) {
  // A host with an older table could still act on assignments that have been
  // revoked.
  if (request.table < state.first_version) return false;
  if (AuthorityUntil(state) <= now) return false;
  return !state.delay_grants || MayMove(state, now);
}

}  // namespace

std::string HostIdOf(const std::string& process) {
  return process.substr(0, process.rfind('.'));
}

MonotonicTime AuthorityUntil(const ControllerState& state) {
  const MonotonicTime until = MajorityAuthority(state, state.members);
  if (!state.proposed_members.has_value()) return until;
  return std::min(until, MajorityAuthority(state, *state.proposed_members));
}

bool MayMove(const ControllerState& state, MonotonicTime now) {
  if (state.renew_only || AuthorityUntil(state) <= now) return false;
  return NoEarlierMajorityPossible(state, now);
}

bool IsLost(const ControllerState& state, const std::string& host,
            MonotonicTime now) {
  const auto found = state.hosts.find(host);
  return found == state.hosts.end() || found->second.lease_until <= now;
}

LeaseReply HandleLeaseRequest(ControllerState& state,
                              const LeaseRequest& request, MonotonicTime now) {
  ControllerHost& host = state.hosts[request.host];
  if (host.first_seen == kNever) host.first_seen = now;
  const MonotonicTime free_at =
      now + Duration(std::max<int64_t>(0, request.earlier_promise_left_ns));
  host.earlier_promises_end = std::min(host.earlier_promises_end, free_at);
  RecordPromise(state, host, request, now);
  RecordReports(state, host, request);
  RecordOutage(state, request);

  LeaseReply reply;
  reply.controller = state.self;
  reply.term = state.term;
  reply.standby = state.standby;
  const auto standby = state.hosts.find(state.standby);
  if (standby != state.hosts.end())
    reply.standby_address = standby->second.address;
  reply.request_sent_at_ns = request.sent_at_ns;
  reply.controller_time_ns = ToNanoseconds(now);
  reply.table = state.table.version;
  reply.outage = state.store_down;
  if (state.store_down) state.outage = true;
  if (!MayGrant(state, request, now)) return reply;
  const Duration ttl =
      std::min(AuthorityUntil(state) - now, state.timing.lease_ttl);
  reply.ttl_ns = ttl.count();
  host.lease_until =
      std::max(host.lease_until, now + state.timing.Lengthened(ttl));
  return reply;
}

}  // namespace mimosadeal
