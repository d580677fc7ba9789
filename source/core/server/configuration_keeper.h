// Keeps the newest configuration seen, applies operators' patches through the
// platform's store, and never goes back to an older version.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "common/error.h"
#include "configuration/stored_configuration.h"
#include "platform/platform_client.h"

namespace mimosadeal {

class EventLoop;

class ConfigurationKeeper {
 public:
  using PatchCallback = std::function<void(Result<PatchResult>)>;

  ConfigurationKeeper(EventLoop& loop, PlatformClient& platform,
                      std::function<void()> on_change);

  const Configuration& configuration() const { return configuration_; }
  const StoredConfiguration& stored() const { return stored_; }
  uint64_t version() const { return stored_.version; }

  // Reads the store once.
  void Refresh();
  // The controller and the standby watch the store; all others learn of
  // versions by leases.
  void SetWatching(bool watching);
  // Takes a configuration that another host holds, if it is newer.
  void OnPeerConfiguration(const std::string& encoded);

  // Applies a merge patch made against `base_version`. Errors: kUnavailable,
  // when it was certainly not applied; kUnknownOutcome, when it may have been:
  // ask again with the same id.
  void Patch(uint64_t base_version, const std::string& patch_id,
             const nlohmann::json& patch, PatchCallback callback);

 private:
  struct PendingPatch {
    uint64_t base_version = 0;
    std::string id;
    nlohmann::json patch;
    PatchCallback callback;
    int tries = 0;
    // An earlier write of this patch may have taken effect.
    bool may_be_applied = false;
  };

  void StartWatch();
  void OnObject(const Result<StoredObject>& object);
  void Adopt(StoredConfiguration stored);
  // Writes the held configuration over an older one, as after the store was
  // restored from a backup.
  void Repair(uint64_t object_version);
  void TryPatch(PendingPatch pending);
  void OnPatchRead(PendingPatch pending, const Result<StoredObject>& object);
  void WritePatch(PendingPatch pending, uint64_t object_version,
                  PatchResult result);

  EventLoop& loop_;
  PlatformClient& platform_;
  std::function<void()> on_change_;
  StoredConfiguration stored_;
  Configuration configuration_;
  uint64_t object_version_ = kNoObject;
  bool watching_ = false;
  bool watch_runs_ = false;
  bool repairing_ = false;
};

}  // namespace mimosadeal
