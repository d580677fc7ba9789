// The daemon of one entry host. It creates the components and connects them.
#pragma once

#include <memory>
#include <string>

#include "common/error.h"
#include "settings/settings.h"

namespace mimosadeal {

class Node {
 public:
  // Errors: kIo if an address cannot be listened on.
  static Result<std::unique_ptr<Node>> Start(Settings settings);
  ~Node();

  // Runs until a planned stop is complete. SIGTERM or SIGINT starts one.
  void Run();

  class Impl;

 private:
  explicit Node(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace mimosadeal
