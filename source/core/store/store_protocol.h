// How calls to the store are spelled: filled in by the package that speaks the
// platform's protocol.
#pragma once

#include <string>

#include "common/boot_clock.h"
#include "common/error.h"
#include "net/exchange_client.h"
#include "store/stored_object.h"

namespace mimosadeal {

// A conditional write. With revision 0 the object must not exist yet.
struct ObjectWrite {
  std::string kind;
  std::string name;
  uint64_t expected_revision = 0;
  nlohmann::json content;
};

struct StoreProtocol {
  ExchangeRequest (*list)(const std::string& kind, const std::string& after);
  ExchangeRequest (*watch)(const std::string& kind, uint64_t revision,
                           Duration wait);
  // `allow_stale`: the object may be seconds old, and the call costs less.
  ExchangeRequest (*get)(const std::string& kind, const std::string& name,
                         bool allow_stale);
  ExchangeRequest (*write)(const ObjectWrite& write);

  // Errors: kNotFound, kConflict, kUnavailable (refused, nothing was done),
  // kMalformed. A watch whose history the store has dropped gives kNotFound.
  Result<ObjectPage> (*read_page)(const HttpResponse& response);
  Result<ObjectChanges> (*read_changes)(const HttpResponse& response);
  Result<StoredObject> (*read_object)(const HttpResponse& response);
};

}  // namespace mimosadeal
