#include "server/configuration_keeper.h"

#include <memory>
#include <utility>

#include "common/log.h"
#include "net/event_loop.h"
#include "ownership/control_record.h"

namespace mimosadeal {
namespace {

constexpr Duration kWatchRetry = std::chrono::milliseconds(300);
constexpr int kMaxPatchTries = 5;

}  // namespace

ConfigurationKeeper::ConfigurationKeeper(EventLoop& loop,
                                         PlatformClient& platform,
                                         std::function<void()> on_change)
    : loop_(loop), platform_(platform), on_change_(std::move(on_change)) {}

void ConfigurationKeeper::Refresh() {
  platform_.Get(
      kConfigurationObjectName,
      [this](const Result<StoredObject>& object) { OnObject(object); });
}

void ConfigurationKeeper::SetWatching(bool watching) {
  watching_ = watching;
  if (watching_ && !watch_runs_) StartWatch();
}

void ConfigurationKeeper::StartWatch() {
  watch_runs_ = true;
  platform_.Watch(kConfigurationObjectName, object_version_,
                  [this](const Result<StoredObject>& object) {
                    OnObject(object);
                    if (!watching_) {
                      watch_runs_ = false;
                      return;
                    }
                    const bool quiet =
                        !object.has_value() &&
                        object.error().code != ErrorCode::kTimeout;
                    loop_.timers().After(quiet ? kWatchRetry : Duration::zero(),
                                         [this] { StartWatch(); });
                  });
}

void ConfigurationKeeper::OnObject(const Result<StoredObject>& object) {
  if (!object.has_value()) {
    if (object.error().code == ErrorCode::kNotFound && stored_.version > 0)
      Repair(kNoObject);
    return;
  }
  object_version_ = object.value().version;
  auto stored = DecodeStoredConfiguration(object.value().value);
  if (!stored.has_value()) {
    Log(LogPart::kConfiguration)
        .error(
            "The configuration in the store is unreadable; the held one stays "
            "in force.");
    return;
  }
  if (stored.value().version < stored_.version) {
    Repair(object_version_);
    return;
  }
  Adopt(std::move(stored.value()));
}

void ConfigurationKeeper::Adopt(StoredConfiguration stored) {
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

void ConfigurationKeeper::Repair(uint64_t object_version) {
  if (!watching_ || repairing_) return;
  repairing_ = true;
  Log(LogPart::kConfiguration)
      .warn("The store holds an older configuration; writing {} back.",
            stored_.version);
  platform_.Put(kConfigurationObjectName, object_version,
                EncodeStoredConfiguration(stored_),
                [this](const Result<uint64_t>& written) {
                  repairing_ = false;
                  if (written.has_value()) object_version_ = written.value();
                });
}

void ConfigurationKeeper::OnPeerConfiguration(const std::string& encoded) {
  auto stored = DecodeStoredConfiguration(encoded);
  if (stored.has_value()) Adopt(std::move(stored.value()));
}

void ConfigurationKeeper::Patch(uint64_t base_version,
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

void ConfigurationKeeper::TryPatch(PendingPatch pending) {
  if (++pending.tries > kMaxPatchTries) {
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

void ConfigurationKeeper::OnPatchRead(PendingPatch pending,
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
  // A store that was restored to an older state does not take back what was in
  // force.
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

void ConfigurationKeeper::WritePatch(PendingPatch pending,
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
                  // Conflict: somebody else's patch, or this one's earlier try.
                  // Lost reply: it may have been applied. Either way the
                  // patch's id in the store tells.
                  if (written.error().code == ErrorCode::kUnknownOutcome)
                    shared->may_be_applied = true;
                  TryPatch(std::move(*shared));
                });
}

}  // namespace mimosadeal
