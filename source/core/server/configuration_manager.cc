#include "server/configuration_manager.h"

#include <memory>
#include <utility>

#include "common/log.h"
#include "net/event_loop.h"
#include "ownership/control_record.h"

namespace mimosadeal {
namespace {

constexpr Duration kWatchRetryDelay = std::chrono::milliseconds(300);
constexpr int kMaxPatchAttempts = 5;

}  // namespace

ConfigurationManager::ConfigurationManager(EventLoop& loop,
                                           PlatformClient& platform,
                                           std::function<void()> on_change)
    : loop_(loop), platform_(platform), on_change_(std::move(on_change)) {}

void ConfigurationManager::Refresh() {
  platform_.Get(
      kConfigurationObjectName,
      [this](const Result<StoredObject>& object) { OnObject(object); });
}

void ConfigurationManager::SetWatching(bool watching) {
  watching_ = watching;
  if (watching_ && !watch_active_) StartWatch();
}

void ConfigurationManager::StartWatch() {
  watch_active_ = true;
  platform_.Watch(
      kConfigurationObjectName, object_version_,
      [this](const Result<StoredObject>& object) {
        OnObject(object);
        if (!watching_) {
          watch_active_ = false;
          return;
        }
        const bool failed =
            !object.has_value() && object.error().code != ErrorCode::kTimeout;
        loop_.timers().After(failed ? kWatchRetryDelay : Duration::zero(),
                             [this] { StartWatch(); });
      });
}

void ConfigurationManager::OnObject(const Result<StoredObject>& object) {
  if (!object.has_value()) {
    if (object.error().code == ErrorCode::kNotFound && stored_.version > 0)
      WriteBack(kNoObject);
    return;
  }
  object_version_ = object.value().version;
  auto stored = DecodeStoredConfiguration(object.value().value);
  if (!stored.has_value()) {
    Log(LogPart::kConfiguration)
        .error(
            "Cannot decode the configuration in the store; the present one "
            "stays in force.");
    return;
  }
  if (stored.value().version < stored_.version) {
    WriteBack(object_version_);
    return;
  }
  Adopt(std::move(stored.value()));
}

void ConfigurationManager::Adopt(StoredConfiguration stored) {
  if (stored.version <= stored_.version) return;
  ParsedConfiguration parsed =
      ParseConfiguration(stored.document, stored.version);
  if (!parsed.faults.empty()) {
    Log(LogPart::kConfiguration)
        .error("Configuration {} is invalid at {}: {}.", stored.version,
               parsed.faults[0].path, parsed.faults[0].message);
    return;
  }
  stored_ = std::move(stored);
  configuration_ = std::move(parsed.configuration);
  Log(LogPart::kConfiguration)
      .info("Configuration {} is in force.", stored_.version);
  on_change_();
}

void ConfigurationManager::WriteBack(uint64_t object_version) {
  if (!watching_ || writing_back_) return;
  writing_back_ = true;
  Log(LogPart::kConfiguration)
      .warn(
          "The store lacks configuration {} or holds an older one; writing "
          "it back.",
          stored_.version);
  platform_.Put(kConfigurationObjectName, object_version,
                EncodeStoredConfiguration(stored_),
                [this](const Result<uint64_t>& written) {
                  writing_back_ = false;
                  if (written.has_value()) object_version_ = written.value();
                });
}

void ConfigurationManager::OnPeerConfiguration(const std::string& encoded) {
  auto stored = DecodeStoredConfiguration(encoded);
  if (stored.has_value()) Adopt(std::move(stored.value()));
}

void ConfigurationManager::Patch(uint64_t base_version,
                                 const std::string& patch_id,
                                 const nlohmann::json& patch,
                                 PatchCallback callback) {
  PendingPatch pending;
  pending.base_version = base_version;
  pending.id = patch_id;
  pending.patch = patch;
  pending.callback = std::move(callback);
  TryPatch(std::move(pending));
}

void ConfigurationManager::TryPatch(PendingPatch pending) {
  if (++pending.attempts > kMaxPatchAttempts) {
    const ErrorCode code = pending.may_be_applied ? ErrorCode::kUnknownOutcome
                                                  : ErrorCode::kUnavailable;
    pending.callback(MakeError(
        code, "the store did not settle; ask again with the same patch id"));
    return;
  }
  auto shared = std::make_shared<PendingPatch>(std::move(pending));
  platform_.Get(kConfigurationObjectName,
                [this, shared](const Result<StoredObject>& object) {
                  OnPatchRead(std::move(*shared), object);
                });
}

void ConfigurationManager::OnPatchRead(PendingPatch pending,
                                       const Result<StoredObject>& object) {
  StoredConfiguration current;
  uint64_t object_version = kNoObject;
  if (object.has_value()) {
    auto stored = DecodeStoredConfiguration(object.value().value);
    if (!stored.has_value()) {
      pending.callback(stored.error());
      return;
    }
    current = std::move(stored.value());
    object_version = object.value().version;
  } else if (object.error().code != ErrorCode::kNotFound) {
    const ErrorCode code = pending.may_be_applied ? ErrorCode::kUnknownOutcome
                                                  : ErrorCode::kUnavailable;
    pending.callback(MakeError(code, object.error().message));
    return;
  }
  // A store that was restored to an older state must not revert a configuration
  // that was in force.
  if (current.version < stored_.version) current = stored_;
  PatchResult result =
      ApplyPatch(current, pending.base_version, pending.id, pending.patch);
  if (result.status != PatchStatus::kApplied) {
    Adopt(current);
    pending.callback(std::move(result));
    return;
  }
  WritePatch(std::move(pending), object_version, std::move(result));
}

void ConfigurationManager::WritePatch(PendingPatch pending,
                                      uint64_t object_version,
                                      PatchResult result) {
  const std::string encoded = EncodeStoredConfiguration(result.next);
  auto shared = std::make_shared<PendingPatch>(std::move(pending));
  auto next = std::make_shared<PatchResult>(std::move(result));
  platform_.Put(kConfigurationObjectName, object_version, encoded,
                [this, shared, next](const Result<uint64_t>& written) {
                  if (written.has_value()) {
                    object_version_ = written.value();
                    Adopt(next->next);
                    shared->callback(std::move(*next));
                    return;
                  }
                  // A conflict comes from another patch or from an earlier
                  // attempt at this one. After a lost reply the patch may have
                  // been applied. In both cases the stored patch ids show it.
                  if (written.error().code == ErrorCode::kUnknownOutcome)
                    shared->may_be_applied = true;
                  TryPatch(std::move(*shared));
                });
}

}  // namespace mimosadeal
