// One entry host: creates and connects its components, and handles the start,
// the reload of settings and the planned stop of the process.
#pragma once

#include <memory>

#include "common/error.h"
#include "forwarding/deployment_protocol.h"
#include "settings/settings.h"

namespace mimosadeal {

class EntryNode {
 public:
  // `settings_path` is read again on SIGHUP. Errors: kIo if listening on an
  // address fails, kMalformed if the deployment's bounds cannot be read.
  static Result<std::unique_ptr<EntryNode>> Start(
      Settings settings, std::string settings_path,
      const DeploymentProtocol& protocol);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // Runs until a planned stop is complete.
  void Run();

  class Impl;

 private:
  explicit EntryNode(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace mimosadeal
