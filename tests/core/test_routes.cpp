#include "savory/core/routes.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

namespace {

std::shared_ptr<Route>
MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  auto route = std::make_shared<Route>();
  route->mName = aName;
  route->mHost = "a.example";
  route->mPrefix = aPrefix;
  return route;
}

RouteTable
MakeTable()
{
  RouteTable table;
  table.mRoutes["a.example"] = { MakeRoute("root", "/"),
                                 MakeRoute("long", "/x/y/"),
                                 MakeRoute("short", "/x/") };
  SortRoutes(table);
  return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routes)

// Guards against a request that is routed by a shorter prefix, or by a path
// that only resembles the prefix.
BOOST_AUTO_TEST_CASE(longest_prefix_wins)
{
  struct Row
  {
    const char* mHost;
    const char* mPath;
    const char* mRoute;
  };
  const RouteTable table = MakeTable();
  for (const Row& row : { Row{ "a.example", "/x/y/z", "long" },
                          Row{ "a.example:8080", "/x/y/", "long" },
                          Row{ "a.example", "/x/yz", "short" },
                          Row{ "a.example", "/x?q=/x/y/", "root" },
                          Row{ "a.example", "/x/?q=/y/", "short" },
                          Row{ "b.example", "/x/", "" },
                          Row{ "", "/", "" } }) {
    const Route* route = FindRoute(table, row.mHost, row.mPath);
    BOOST_TEST((route ? route->mName : "") == row.mRoute, row.mPath);
  }
}

// Guards against whole answers that are predicted where no operator asked for
// it: goals of other services, of calls or of routes without a choice of models
// do not count.
BOOST_AUTO_TEST_CASE(unequal_goals_are_those_of_one_services_streams)
{
  RouteTable table;
  auto add = [&table](const std::string& aService, TimeMs aGoalMs) -> Route& {
    auto route = MakeRoute("r", "/");
    route->mKind = RouteKind::Stream;
    route->mModels = { "small", "large" };
    route->mLatencyGoalMs = aGoalMs;
    route->mTargets = { { aService, 1 } };
    table.mRoutes["a.example"].push_back(route);
    return *route;
  };
  add("unequal", 2000);
  add("unequal", 6000);
  add("equal", 1500);
  add("equal", 4499);
  add("equal", 0);
  add("equal", 60000).mModels.clear();
  add("equal", 60000).mKind = RouteKind::Safe;
  BOOST_TEST(ServicesWithUnequalGoals(table) ==
             std::set<std::string>{ "unequal" });
}

// Guards against a traffic split that omits a target or exceeds its weight.
BOOST_AUTO_TEST_CASE(targets_are_chosen_by_weight)
{
  Route route = *MakeRoute("split", "/");
  route.mTargets = { { "a", 90 }, { "none", 0 }, { "b", 10 } };
  BOOST_TEST(ChooseTarget(route, 0)->mService == "a");
  BOOST_TEST(ChooseTarget(route, 0.899)->mService == "a");
  BOOST_TEST(ChooseTarget(route, 0.9)->mService == "b");
  BOOST_TEST(ChooseTarget(route, 0.999)->mService == "b");
  route.mTargets.clear();
  BOOST_TEST(ChooseTarget(route, 0.5) == nullptr);
}

// Guards against a process that replaces its configuration by an older one.
BOOST_AUTO_TEST_CASE(configuration_version_never_decreases)
{
  RouteTable present;
  present.mVersion = 7;
  RouteTable offered;
  for (auto [version, newer] :
       { std::pair{ 6, false }, std::pair{ 7, false }, std::pair{ 9, true } }) {
    offered.mVersion = version;
    BOOST_TEST(IsNewer(&present, offered) == newer);
  }
  BOOST_TEST(IsNewer(nullptr, offered));
}

BOOST_AUTO_TEST_SUITE_END()
