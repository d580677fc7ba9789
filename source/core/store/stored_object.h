// Objects of the platform's store, decoded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mimosadeal {

struct StoredObject {
  std::string name;
  uint64_t revision = 0;  // Of its last change.
  bool deleted = false;
  nlohmann::json content;  // Null if it could not be read.
};

// A byte that is in no UTF-8 text, and sorts after all that are.
inline constexpr char kAfterUtf8 = '\xff';

// One page of a list. `next` is the position of the next page, empty on the
// last page.
struct ObjectPage {
  std::vector<StoredObject> objects;
  std::string next;
  uint64_t store_revision = 0;  // Of the store when the page was read.
  size_t unreadable = 0;  // Objects left out: no readable name or revision.
};

// The result of a watch.
struct ObjectChanges {
  std::vector<StoredObject> changes;
  uint64_t store_revision = 0;
  size_t unreadable = 0;  // Changes left out, as in ObjectPage.
};

}  // namespace mimosadeal
