// The availability zones that operators evacuate, as far as this host knows.
//
// Operators write and remove an object named like the zone in the store. A
// removal that only shows by a restore of the store from a copy is not the
// operator's: the zone stays evacuated for the time in which operators write
// again what was lost.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "common/boot_clock.h"
#include "fleet/copy_confirmation.h"

namespace mimosadeal {

struct ZoneEvacuation {
  // When this host learned of it.
  MonotonicTime known_since = kNever;
  // The latest time at which it was certainly not requested yet; kNever if
  // unknown.
  MonotonicTime requested_after = kNever;
  // When it ends, because the store was restored from a copy without it;
  // kForever while the store lists it.
  MonotonicTime ends_at = kForever;
};

// Returns the time until which an upstream of the zone may be sent requests for
// keys that it owns. `bound`: see DeploymentBounds::evacuation.
MonotonicTime UsableUntil(const ZoneEvacuation& evacuation, Duration bound);

class ZoneEvacuations {
 public:
  // `bound`: see DeploymentBounds::evacuation.
  explicit ZoneEvacuations(Duration bound) : bound_(bound) {}

  // The store lists an object of the zone. Returns whether the zone was not
  // evacuated before. `requested_after`: see ZoneEvacuation.
  bool Begin(const std::string& zone, MonotonicTime now,
             MonotonicTime requested_after);
  // The store lists no such object any more. `restored`: as it was restored
  // from a copy. Returns whether the evacuation ends now.
  bool End(const std::string& zone, MonotonicTime now, bool restored);
  // Ends evacuations that were lost with a restore and not written again.
  // `on_end` runs for each zone.
  void Advance(MonotonicTime now,
               const std::function<void(const std::string&)>& on_end);

  // Returns null if the zone is not evacuated.
  const ZoneEvacuation* Find(const std::string& zone) const;
  bool empty() const { return zones_.empty(); }
  size_t size() const { return zones_.size(); }
  Duration bound() const { return bound_; }
  CopyConfirmation& confirmation() { return confirmation_; }
  const CopyConfirmation& confirmation() const { return confirmation_; }

 private:
  Duration bound_;
  std::map<std::string, ZoneEvacuation> zones_;
  CopyConfirmation confirmation_;  // Of this host's copy.
};

}  // namespace mimosadeal
