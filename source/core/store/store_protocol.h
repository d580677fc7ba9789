// The encoding of calls to the store, implemented by the package for the
// platform's protocol (folder platform).
#pragma once

#include <cstddef>
#include <string>

#include "common/boot_clock.h"
#include "common/error.h"
#include "net/exchange_client.h"
#include "store/stored_object.h"

namespace mimosadeal {

// A conditional write: the object must have the expected revision. With 0 it
// must not exist yet.
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
  // kMalformed. read_changes returns kNotFound when the store no longer has the
  // history that the watch needs. An object that cannot be read does not make a
  // page or the changes malformed. `max_content_bytes`: the content of longer
  // objects counts as unreadable.
  Result<ObjectPage> (*read_page)(const HttpResponse& response,
                                  size_t max_content_bytes);
  Result<ObjectChanges> (*read_changes)(const HttpResponse& response,
                                        size_t max_content_bytes);
  Result<StoredObject> (*read_object)(const HttpResponse& response);
  // Reads how often the store was restored from a copy, from any response.
  // Errors: kNotFound when the response does not state it; kMalformed when it
  // states it twice, or as anything but a number up to kMaxStoreEra.
  Result<uint64_t> (*read_era)(const HttpResponse& response);
};

}  // namespace mimosadeal
