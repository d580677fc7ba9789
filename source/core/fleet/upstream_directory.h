// The upstreams that may be used, according to their registrations.
//
// A registration that disappears while the store is unreachable, or shortly
// after it is reachable again, may only have lapsed because the upstream could
// not renew it. Such an upstream stays listed for a grace time, in which it can
// register again.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/cold_times.h"
#include "fleet/upstream_limit.h"
#include "fleet/upstream_record.h"

namespace mimosadeal {

enum class UpstreamAvailability : uint8_t {
  kServing,
  kDraining,  // Leaving, according to its registration or its responses.
  // The registration disappeared around an outage of the store and may return.
  // The upstream gets no new requests but keeps its keys.
  kLapsed,
  kMissing,  // The registration was removed.
};

struct ListedUpstream {
  UpstreamRecord record;
  UpstreamAvailability availability = UpstreamAvailability::kServing;
  MonotonicTime availability_since = kNever;  // By this host's clock.
  // Since when this host has known that this incarnation is leaving or missing;
  // kNever while it serves. Further steps of the same departure do not change
  // it.
  MonotonicTime leaving_since = kNever;
  // The latest time at which this incarnation was known not to be leaving yet;
  // kNever if unknown. Set together with leaving_since.
  MonotonicTime left_after = kNever;
  // Whether this incarnation announced in a response that it is leaving,
  // regardless of its registration.
  bool announced_leaving = false;
  UpstreamLimit limit;  // As stated by this incarnation.
  ColdTimes cold;
};

// A registration that disappeared around an outage of the store.
struct RegistrationLapse {
  MonotonicTime since = kNever;      // When this host noticed it.
  MonotonicTime until = kNever;      // End of the grace time.
  MonotonicTime use_until = kNever;  // Until then the upstream gets requests.
  // The registration was still there at this time; kNever if unknown.
  MonotonicTime changed_after = kNever;
};

class UpstreamDirectory {
 public:
  // `lapse_grace_time`: the time after the store is reachable again in which a
  // registration may be absent before its upstream counts as missing.
  // `lapsed_use_time`: the time for which such an upstream still gets requests,
  // from the latest time at which the registration was certainly still there,
  // or from the end of the outage if that is later.
  // It is limited because a host that was itself disconnected cannot tell this
  // from an outage of the store, and must not keep using upstreams that left
  // meanwhile.
  UpstreamDirectory(Duration lapse_grace_time, Duration lapsed_use_time)
      : lapse_grace_time_(lapse_grace_time),
        lapsed_use_time_(lapsed_use_time) {}

  // Update and Remove return whether anything changed that routing or ownership
  // depends on. An earlier report of the same incarnation, as from a copy from
  // which the store was restored, changes nothing; nor does a missing
  // upstream's last one. `changed_after`: the registration changed later than
  // this; kNever if unknown.
  bool Update(const UpstreamRecord& record, MonotonicTime now,
              MonotonicTime changed_after);
  // `store_reachable_since`: when the store became reachable again; kNever if
  // it always was.
  bool Remove(const std::string& id, MonotonicTime now,
              MonotonicTime changed_after, MonotonicTime store_reachable_since,
              bool store_reachable);
  // Notes the number of the last report of an upstream whose registration is
  // being removed.
  void NoteReport(const UpstreamRecord& record);
  // Records that this incarnation of the upstream announced in a response that
  // it is leaving. Returns whether it served until now.
  bool MarkLeaving(const std::string& id, int64_t incarnation,
                   MonotonicTime now, MonotonicTime changed_after);
  // Records what this incarnation of the upstream stated about its limit,
  // unless it is older than what is known. A limit that is close to the known
  // one counts as the same. Returns whether the known limit changed.
  bool NoteLimit(const std::string& id, int64_t incarnation,
                 const UpstreamLimit& stated);
  // The upstream may be cold until then, although its registration does not say
  // so. Never shortens what is known.
  void NoteAssumedCold(const std::string& id, MonotonicTime until);
  // Marks upstreams as missing whose registration lapsed longer ago than the
  // grace time, lists missing ones again whose registration has reappeared for
  // longer than it lasts without renewal, and deletes those that have been
  // missing for longer than `delete_after`. Returns whether an availability
  // changed.
  bool Advance(MonotonicTime now, Duration delete_after);
  // To be called when it is known that the store has been reachable since
  // `store_reachable_since`; kNever if it always was. Shortens the grace times.
  void OnStoreReachable(MonotonicTime store_reachable_since);

  const ListedUpstream* Find(const std::string& id) const;
  // Returns the lapse of the upstream's registration; null if it has not lapsed
  // or the grace time has ended.
  const RegistrationLapse* FindLapse(const std::string& id) const;
  const std::map<std::string, ListedUpstream>& all() const {
    return upstreams_;
  }
  // Returns the ids of the upstreams of `service` that take new requests.
  std::vector<std::string> ServingIds(const std::string& service) const;
  // Changes whenever the set of serving upstreams may have changed.
  uint64_t serving_version() const { return serving_version_; }
  // Returns the upstreams of `service` that take new requests. Valid until the
  // next change of the directory.
  const std::vector<const ListedUpstream*>& ServingUpstreams(
      const std::string& service) const;

 private:
  void OnServingChanged();

  Duration lapse_grace_time_;
  Duration lapsed_use_time_;
  std::map<std::string, ListedUpstream> upstreams_;
  // By service. Cleared on every change and rebuilt on the next use.
  mutable std::map<std::string, std::vector<const ListedUpstream*>> serving_;
  uint64_t serving_version_ = 0;
  // Ids of missing upstreams, which Advance deletes later.
  std::vector<std::string> missing_;
  // Registrations that disappeared around an outage of the store, by id.
  std::map<std::string, RegistrationLapse> lapses_;
  // Missing upstreams that the store lists again with an earlier report, by id.
  struct Reappearance {
    UpstreamRecord record;
    MonotonicTime since = kNever;
  };
  std::map<std::string, Reappearance> reappeared_;
};

}  // namespace mimosadeal
