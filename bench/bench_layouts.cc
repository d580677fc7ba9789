#include "bench_layouts.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 2;

struct RankLoad {
  const char* name;
  int order;
  int target_ms;
  double worth;
  double share;
  double rate_fraction;
};

constexpr RankLoad kRanks[] = {
    {"holds", 0, 250, 20, 0.4, 0.25},
    {"changes", 1, 500, 5, 0.2, 0.25},
    {"lookups", 2, 1000, 1, 0.2, 0.5},
};

}  // namespace

DeploymentLayout YardbookLayout(int hosts_per_zone, int upstreams_per_zone,
                                int64_t work_us, const std::string& policy) {
  DeploymentLayout layout;
  layout.zones = {"north", "middle", "south"};
  layout.hosts_per_zone = hosts_per_zone;
  layout.services = {
      ServiceLayout{"yardbook", upstreams_per_zone, kSlots, true, work_us}};
  layout.settings = {"requests.scheduling=" + policy};
  nlohmann::json ranks = nlohmann::json::object();
  for (const RankLoad& rank : kRanks) {
    ranks[rank.name] = {{"order", rank.order},
                        {"target_ms", rank.target_ms},
                        {"worth", rank.worth},
                        {"share", rank.share}};
  }
  const nlohmann::json rules = {{{"method", "GET"},
                                 {"path", "/lots"},
                                 {"rank", "lookups"},
                                 {"idempotent", true}},
                                {{"method", "POST"},
                                 {"path", "/lots"},
                                 {"rank", "holds"},
                                 {"idempotent", false}},
                                {{"method", "PUT"},
                                 {"path", "/lots"},
                                 {"rank", "changes"},
                                 {"idempotent", true}}};
  layout.configuration = {{"services",
                           {{"yardbook",
                             {{"key_path_segment", 2},
                              {"shards", 4096},
                              {"zones", layout.zones},
                              {"slots", kSlots},
                              {"connections", 300},
                              {"default_rank", "lookups"},
                              {"ranks", ranks},
                              {"rules", rules}}}}}};
  return layout;
}

std::vector<LoadClass> YardbookClasses(double calm_rate) {
  std::vector<LoadClass> classes;
  for (const RankLoad& rank : kRanks) {
    LoadClass load_class;
    load_class.name = rank.name;
    load_class.path = "/yardbook/lots/{key}";
    if (load_class.name == "holds") {
      load_class.method = "POST";
      load_class.needs_id = true;
      load_class.body = "hold";
    } else if (load_class.name == "changes") {
      load_class.method = "PUT";
      load_class.body = "change";
    }
    load_class.rate = calm_rate * rank.rate_fraction;
    load_class.target = milliseconds(rank.target_ms);
    // Callers wait longer than the target, so that late responses are counted
    // as late.
    load_class.deadline = 4 * load_class.target;
    load_class.worth = rank.worth;
    classes.push_back(std::move(load_class));
  }
  return classes;
}

}  // namespace mimosadeal
