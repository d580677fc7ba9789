// What differs between two configurations of request routing.
#pragma once

#include "configuration_check/finding.h"
#include "routing/route_document.h"

namespace mimosadeal {

// Compares services by name and routes by host name and path prefix. A version
// that hosts would not take up after that of `before` is an error.
Findings DescribeDifferences(const RouteDocument& before,
                             const RouteDocument& after);

}  // namespace mimosadeal
