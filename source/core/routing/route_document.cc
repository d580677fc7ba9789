#include "routing/route_document.h"

#include <utility>

namespace mimosadeal {

Result<RouteTable> MakeRouteTable(RouteDocument document) {
  for (const DocumentProblem& problem : document.problems) {
    if (problem.effect != ProblemEffect::kRejected) continue;
    return MakeError(
        ErrorCode::kMalformed,
        "configuration field " + problem.pointer + " " + problem.message);
  }
  RouteTable table;
  table.version = document.version;
  for (DocumentService& item : document.services) {
    std::string name = item.service.name;
    table.services[std::move(name)] = std::move(item.service);
  }
  for (DocumentRoute& item : document.routes)
    table.hosts[item.host].push_back(std::move(item.route));
  table.limits = document.limits;
  SortRoutes(table);
  return table;
}

}  // namespace mimosadeal
