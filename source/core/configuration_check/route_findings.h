// Findings on a configuration of request routing. They ask the functions by
// which hosts route requests, so that they cannot disagree with them.
#pragma once

#include "configuration_check/finding.h"
#include "routing/route_document.h"

namespace mimosadeal {

// What hosts reject, ignore, or cannot do as stated: the document's problems,
// services that are missing or named twice, and splits without any weight.
Findings FindErrors(const RouteDocument& document);

// Routes that no request can reach, and services of a split that get none.
Findings FindUnmatchableEntries(const RouteDocument& document);

// Limits that contradict each other, so that one of them never takes effect or
// no request can be served.
Findings FindContradictions(const RouteDocument& document);

}  // namespace mimosadeal
