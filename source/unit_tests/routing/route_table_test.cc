// Tests of route lookup and of the weighted round robin over services.
#include "routing/route_table.h"

#include <CppUTest/TestHarness.h>

#include "routing/weighted_round_robin.h"

namespace mimosadeal {
namespace {

Route MakeRoute(const std::string& prefix) {
  Route route;
  route.name = prefix;
  route.path_prefix = prefix;
  route.weighted_services = {{"yard", 1}};
  return route;
}

TEST_GROUP(RouteTable) {
  RouteTable table;

  void setup() override {
    table.hosts["lots.example"] = {MakeRoute("/a/"), MakeRoute("/a/b/c/"),
                                   MakeRoute("/a/b/")};
    SortRoutes(table);
  }
};

TEST(RouteTable, TheLongestPrefixWins) {
  STRCMP_EQUAL("/a/b/",
               FindRoute(table, "lots.example", "/a/b/x")->name.c_str());
  STRCMP_EQUAL("/a/b/c/",
               FindRoute(table, "lots.example", "/a/b/c/")->name.c_str());
  STRCMP_EQUAL("/a/", FindRoute(table, "lots.example", "/a/c")->name.c_str());
}

TEST(RouteTable, APrefixEndsAtItsSlash) {
  POINTERS_EQUAL(nullptr, FindRoute(table, "lots.example", "/ab/"));
  POINTERS_EQUAL(nullptr, FindRoute(table, "lots.example", "/a"));
}

TEST(RouteTable, AnotherHostHasNoRoute) {
  POINTERS_EQUAL(nullptr, FindRoute(table, "other.example", "/a/"));
}

TEST(RouteTable, APortInTheHostIsIgnored) {
  CHECK(FindRoute(table, "lots.example:8080", "/a/") != nullptr);
}

TEST_GROUP(WeightedRoundRobin) { RoundRobinState state; };

TEST(WeightedRoundRobin, ShortSequencesFollowTheWeights) {
  const std::vector<WeightedService> weighted_services = {{"yard", 90},
                                                          {"desk", 10}};
  int desk = 0;
  for (int i = 1; i <= 200; ++i) {
    if (ChooseService(weighted_services, state) == "desk") ++desk;
    CHECK(desk >= i / 10 - 1 && desk <= i / 10 + 1);
  }
}

TEST(WeightedRoundRobin, AServiceWithZeroWeightGetsNoRequests) {
  const std::vector<WeightedService> weighted_services = {{"yard", 0},
                                                          {"desk", 5}};
  for (int i = 0; i < 10; ++i)
    STRCMP_EQUAL("desk", ChooseService(weighted_services, state).c_str());
}

}  // namespace
}  // namespace mimosadeal
