// Deployments and load classes that the benchmarks share.
#pragma once

#include "load_plan.h"
#include "test_deployment.h"

namespace mimosadeal {

// Returns a small deployment of the Connecticut Valley's yardbook service, with
// the same ranks and slots, and `upstreams_per_zone` upstreams and
// `hosts_per_zone` entry hosts in each of three zones. `policy` is the
// scheduling policy of the dispatchers.
DeploymentLayout YardbookLayout(int hosts_per_zone, int upstreams_per_zone,
                                int64_t work_us, const std::string& policy);

// Returns a class for each rank of yardbook. The rates of all classes add up to
// `calm_rate` requests per second.
std::vector<LoadClass> YardbookClasses(double calm_rate);

}  // namespace mimosadeal
