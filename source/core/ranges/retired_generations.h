// Decides which ranges an upstream may be granted with their generations.
//
// When it is uncertain whether the next command to an upstream reaches the
// incarnation that received the commands before (see IncarnationProof), each
// generation that those commands may have granted must be replaced before the
// next grant. Generations are assigned in ascending order, so they are at most
// the last one that the table assigned until then. That bound holds however
// moves have split the ranges since, and for grants whose replies were lost.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ranges/range_table.h"

namespace mimosadeal {

// Of one service, for as long as one host holds the lease of the upstreams'
// zone. The next holder replaces all generations when it claims the table.
struct RetiredGenerations {
  // By the upstream's id: the highest generation that it must not be granted.
  std::map<std::string, uint64_t> highest;
};

// Retires all generations of `upstream` that `table` has assigned.
void RetireGenerations(RetiredGenerations& retired, const std::string& upstream,
                       const RangeTable& table);

// Whether the range's owner must not be granted its generation.
bool IsRetired(const RetiredGenerations& retired, const KeyRange& range);

// Returns the parts of the zone's ranges that are in none of the spans
// `moving`, in ascending order.
std::vector<KeyRange> PartsThatStay(const RangeTable& table,
                                    const std::string& zone,
                                    const std::vector<KeySpan>& moving);

}  // namespace mimosadeal
