// Objects of the platform's store, decoded.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mimosadeal {

struct StoredObject {
  std::string name;
  uint64_t revision = 0;  // Of its last change.
  bool deleted = false;
  nlohmann::json content;
};

// One page of a list. `next` is the position of the next page, empty on the
// last page.
struct ObjectPage {
  std::vector<StoredObject> objects;
  std::string next;
  uint64_t store_revision = 0;  // Of the store when the page was read.
};

// The result of a watch.
struct ObjectChanges {
  std::vector<StoredObject> changes;
  uint64_t store_revision = 0;
};

}  // namespace mimosadeal
