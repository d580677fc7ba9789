// Where the values of a JSON text stand, and what a parsed value no longer
// shows: names that stand twice in an object, and nesting beyond what hosts
// read.
#pragma once

#include <map>
#include <string>

#include "configuration_check/finding.h"

namespace mimosadeal {

struct JsonPositions {
  // By JSON Pointer. Values nested deeper than kMaxJsonNesting have none, and
  // values after a text that is not JSON have none.
  std::map<std::string, int> lines;
  Findings findings;
  bool is_json = true;
};

JsonPositions FindJsonPositions(const std::string& text);

// Returns the line of the value, or of the innermost one around it that has a
// line; 0 if there is none.
int LineOf(const JsonPositions& positions, std::string pointer);

}  // namespace mimosadeal
