// The upstreams that may be used, from their registrations.
//
// A registration that goes missing while the store is away, or within a short
// time of its return, may only have lapsed: such an upstream stays listed until
// that time has passed.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/upstream_record.h"

namespace mimosadeal {

enum class UpstreamAvailability : uint8_t {
  kServing,
  kDraining,  // Says that it leaves.
  // Its registration went around an outage and may be back: it gets nothing
  // new, and keeps its keys.
  kLapsed,
  kMissing,  // Its registration is gone.
};

struct ListedUpstream {
  UpstreamRecord record;
  UpstreamAvailability availability = UpstreamAvailability::kServing;
  MonotonicTime availability_since = kNever;  // On this host's clock.
  // Since when this host knows that this life leaves or is gone; kNever while
  // it serves. A later availability of the same departure does not change it.
  MonotonicTime leaving_since = kNever;
  // It had certainly not left yet then; kNever if nothing shows that. Set with
  // leaving_since.
  MonotonicTime left_after = kNever;
  // This life said in an answer that it leaves, whatever its registration says.
  bool said_leaving = false;
};

class UpstreamDirectory {
 public:
  // `lapse_grace`: how long after the store's return a registration may stay
  // missing before its upstream counts as gone. `lapse_use`: how long it still
  // gets requests; a host that was cut off itself takes its own return for the
  // store's, and must not use for long what left meanwhile.
  UpstreamDirectory(Duration lapse_grace, Duration lapse_use)
      : lapse_grace_(lapse_grace), lapse_use_(lapse_use) {}

  // Return whether anything changed that routing or ownership depends on.
  // `changed_after`: the registration was as before until then at least; kNever
  // if that is unknown.
  bool Update(const UpstreamRecord& record, MonotonicTime now,
              MonotonicTime changed_after);
  bool Remove(const std::string& id, MonotonicTime now,
              MonotonicTime changed_after, MonotonicTime store_back_at,
              bool store_reachable);
  // That life of the upstream said in an answer that it leaves.
  bool MarkLeaving(const std::string& id, int64_t incarnation,
                   MonotonicTime now, MonotonicTime changed_after);
  // Turns lapsed registrations whose grace has passed into missing ones, and
  // forgets upstreams that have been missing for `forget_after`.
  bool Advance(MonotonicTime now, Duration forget_after);
  // The store was back at `store_back_at` already; kNever if it never was away.
  void OnStoreReachable(MonotonicTime store_back_at);

  const ListedUpstream* Find(const std::string& id) const;
  const std::map<std::string, ListedUpstream>& all() const {
    return upstreams_;
  }
  // Returns the ids of the upstreams of `service` that take new requests.
  std::vector<std::string> ServingIds(const std::string& service) const;
  // Changes whenever the upstreams that serve do.
  uint64_t serving_version() const { return serving_version_; }
  // The same as records, valid until the next change.
  const std::vector<const ListedUpstream*>& ServingUpstreams(
      const std::string& service) const;

 private:
  void OnServingChanged();

  struct Lapse {
    MonotonicTime since = kNever;  // When the registration was seen to be gone.
    MonotonicTime until = kNever;  // It may be back until then.
    MonotonicTime changed_after = kNever;
  };

  Duration lapse_grace_;
  Duration lapse_use_;
  std::map<std::string, ListedUpstream> upstreams_;
  // By service; made anew after a change.
  mutable std::map<std::string, std::vector<const ListedUpstream*>> serving_;
  uint64_t serving_version_ = 0;
  // Missing upstreams, to be forgotten.
  std::vector<std::string> missing_;
  // Registrations that went missing around an outage.
  std::map<std::string, Lapse> lapses_;
};

}  // namespace mimosadeal
