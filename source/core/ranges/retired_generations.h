// Decides which ranges an upstream may be granted with their generations.
//
// When it is uncertain whether the next command to an upstream reaches the
// incarnation that received the commands before (see IncarnationProof), each
// generation that those commands may have granted must be replaced before the
// next grant. They are at most the highest one that was sent. That bound holds
// however moves have split the ranges since, and for grants whose replies were
// lost.
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
  struct Upstream {
    uint64_t highest_sent = 0;
    uint64_t highest_retired = 0;  // Must not be granted, nor any below.
  };
  std::map<std::string, Upstream> upstreams;  // By id.
};

// Records that a grant with this generation may have left for the upstream.
void NoteGrantSent(RetiredGenerations& retired, const std::string& upstream,
                   uint64_t generation);

// Retires all generations that were sent to the upstream. Returns the highest.
uint64_t RetireGenerations(RetiredGenerations& retired,
                           const std::string& upstream);

// Whether the range's owner must not be granted its generation.
bool IsRetired(const RetiredGenerations& retired, const KeyRange& range);

// Returns the parts of the zone's ranges that are in none of the spans
// `moving`, in ascending order.
std::vector<KeyRange> PartsThatStay(const RangeTable& table,
                                    const std::string& zone,
                                    const std::vector<KeySpan>& moving);

}  // namespace mimosadeal
