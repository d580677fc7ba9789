// Holds the newest configuration that this host has received, and applies
// operators' patches through the platform's store. It never returns to an older
// version.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "common/error.h"
#include "configuration/stored_configuration.h"
#include "platform/platform_client.h"

namespace mimosadeal {

class EventLoop;

class ConfigurationManager {
 public:
  using PatchCallback = std::function<void(Result<PatchResult>)>;

  // `on_change` runs when a new configuration is in force.
  ConfigurationManager(EventLoop& loop, PlatformClient& platform,
                       std::function<void()> on_change);

  const Configuration& configuration() const { return configuration_; }
  const StoredConfiguration& stored() const { return stored_; }
  uint64_t version() const { return stored_.version; }

  // Reads the configuration from the store once.
  void Refresh();
  // Starts or stops watching the store. Only the controller and the standby
  // watch it; other hosts learn of new versions from lease replies.
  void SetWatching(bool watching);
  // Adopts an encoded configuration from another host if it is newer.
  void OnPeerConfiguration(const std::string& encoded);

  // Applies a merge patch made against `base_version`. Errors: kUnavailable if
  // the patch was certainly not applied; kUnknownOutcome if it may have been
  // applied, in which case the operator repeats it with the same id; kMalformed
  // if the stored configuration is not readable.
  void Patch(uint64_t base_version, const std::string& patch_id,
             const nlohmann::json& patch, PatchCallback callback);

 private:
  struct PendingPatch {
    uint64_t base_version = 0;
    std::string id;
    nlohmann::json patch;
    PatchCallback callback;
    int attempts = 0;
    // An earlier write of this patch may have taken effect.
    bool may_be_applied = false;
  };

  void StartWatch();
  void OnObject(const Result<StoredObject>& object);
  // Puts the configuration in force if it is newer and valid.
  void Adopt(StoredConfiguration stored);
  // Writes this host's configuration to a store that has lost it or holds an
  // older one, such as after a restore from a backup.
  void WriteBack(uint64_t object_version);
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
  bool watch_active_ = false;
  bool writing_back_ = false;
};

}  // namespace mimosadeal
