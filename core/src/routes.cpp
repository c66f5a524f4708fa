#include "savory/core/routes.h"

#include <algorithm>

namespace savory {

namespace {

// From this factor on between the longest and the shortest goal of a service
// they count as unequal. Smaller ones come from the prompts' different lengths.
constexpr TimeMs kUnequalGoalsFactor = 3;

} // namespace

const Route*
FindRoute(const RouteTable& aTable,
          std::string_view aHost,
          std::string_view aPath)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  auto found = aTable.mRoutes.find(host);
  if (found == aTable.mRoutes.end()) {
    return nullptr;
  }
  std::string_view path = aPath.substr(0, aPath.find('?'));
  for (const auto& route : found->second) {
    if (path.starts_with(route->mPrefix)) {
      return route.get();
    }
  }
  return nullptr;
}

const ServiceInfo*
FindService(const RouteTable& aTable, const std::string& aName)
{
  auto found = aTable.mServices.find(aName);
  return found == aTable.mServices.end() ? nullptr : &found->second;
}

std::set<std::string>
ServicesWithUnequalGoals(const RouteTable& aTable)
{
  struct Goals
  {
    TimeMs mShortestMs = 0;
    TimeMs mLongestMs = 0;
  };
  std::map<std::string, Goals> goals;
  for (const auto& [host, routes] : aTable.mRoutes) {
    for (const auto& shared : routes) {
      const Route& route = *shared;
      if (route.mKind != RouteKind::Stream || route.mModels.empty() ||
          route.mLatencyGoalMs <= 0) {
        continue;
      }
      for (const RouteTarget& target : route.mTargets) {
        Goals& row = goals[target.mService];
        row.mShortestMs = row.mShortestMs == 0
                            ? route.mLatencyGoalMs
                            : std::min(row.mShortestMs, route.mLatencyGoalMs);
        row.mLongestMs = std::max(row.mLongestMs, route.mLatencyGoalMs);
      }
    }
  }
  std::set<std::string> services;
  for (const auto& [service, row] : goals) {
    if (row.mLongestMs >= kUnequalGoalsFactor * row.mShortestMs) {
      services.insert(service);
    }
  }
  return services;
}

void
SortRoutes(RouteTable& aTable)
{
  for (auto& [host, routes] : aTable.mRoutes) {
    std::stable_sort(
      routes.begin(), routes.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft->mPrefix.size() > aRight->mPrefix.size();
      });
  }
}

const RouteTarget*
ChooseTarget(const Route& aRoute, double aPoint)
{
  double total = 0;
  for (const auto& target : aRoute.mTargets) {
    total += target.mWeight;
  }
  double remaining = aPoint * total;
  for (const auto& target : aRoute.mTargets) {
    remaining -= target.mWeight;
    if (remaining < 0 && target.mWeight > 0) {
      return &target;
    }
  }
  return aRoute.mTargets.empty() ? nullptr : &aRoute.mTargets.back();
}

bool
IsNewer(const RouteTable* aCurrent, const RouteTable& aOffered)
{
  return !aCurrent || aOffered.mVersion > aCurrent->mVersion;
}

} // namespace savory
