#include "routing/route_table.h"

#include <algorithm>

namespace mimosadeal {

void SortRoutes(RouteTable& table) {
  for (auto& [host, routes] : table.hosts) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route& left, const Route& right) {
                       return left.path_prefix.size() >
                              right.path_prefix.size();
                     });
  }
}

const Route* FindRoute(const RouteTable& table, std::string_view host,
                       std::string_view path) {
  const std::string host_name(host.substr(0, host.find(':')));
  const auto found = table.hosts.find(host_name);
  if (found == table.hosts.end()) return nullptr;
  for (const Route& route : found->second) {
    if (path.starts_with(route.path_prefix)) return &route;
  }
  return nullptr;
}

}  // namespace mimosadeal
