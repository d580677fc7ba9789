// Deployments of the brief's sizes, as the benches start them.
#pragma once

#include "load_plan.h"
#include "test_deployment.h"

namespace mimosadeal {

// The Connecticut Valley's yardbook service in small: the same ranks and slots,
// `upstreams_per_zone` upstreams in each of three zones, `hosts_per_zone` entry
// hosts. `policy` is the dispatchers' scheduling policy.
DeploymentLayout YardbookLayout(int hosts_per_zone, int upstreams_per_zone,
                                int64_t work_us, const std::string& policy);

// The classes of yardbook, each rank offering its part of `calm_rate` requests
// per second in all.
std::vector<LoadClass> YardbookClasses(double calm_rate);

}  // namespace mimosadeal
