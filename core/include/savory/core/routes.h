#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace savory {

// Whether a request may run more than once. A stream may only when it can be
// resumed.
enum class RouteKind
{
  Safe,
  Unsafe,
  Stream,
};

inline constexpr std::array<EnumName<RouteKind>, 3> kRouteKindNames{ {
  { RouteKind::Safe, "safe" },
  { RouteKind::Unsafe, "unsafe" },
  { RouteKind::Stream, "stream" },
} };

// A service that a route leads to, with its share of the traffic.
struct RouteTarget
{
  std::string mService;
  double mWeight = 1;
};

struct Route
{
  std::string mName;
  std::string mHost;
  // Begins and ends with a slash.
  std::string mPrefix;
  RouteKind mKind = RouteKind::Safe;
  // The longest that a caller is kept waiting; 0 means no limit.
  TimeMs mTimeoutMs = 0;
  // Answers within this time are on time.
  TimeMs mLatencyGoalMs = 0;
  // 0 is the most urgent.
  int mPriority = 5;
  // Backend servers that one request may be sent to.
  int mMaxAttempts = 1;
  bool mAnonymous = false;
  bool mResumable = false;
  // Models from the smallest to the largest; empty when callers name one.
  std::vector<std::string> mModels;
  std::vector<RouteTarget> mTargets;
};

struct ModelPrice
{
  std::string mName;
  // Price of 1,000 generated tokens; read tokens count as a quarter.
  double mPricePerThousandTokens = 0;
};

// What the operators state of a service.
struct ServiceInfo
{
  std::string mName;
  std::string mHealthPath;
  int mMaxConnections = 0;
  // Requests a second that a cold backend server bears; 0 means no limit.
  double mColdPerSecond = 0;
  TimeMs mColdStartMs = 0;
  // Tokens of cache and requests at once of an engine; 0 for a plain service.
  std::int64_t mCacheTokens = 0;
  int mSlots = 0;
  std::vector<ModelPrice> mModels;
};

struct RouteCustomer
{
  std::string mName;
  std::optional<int> mPriority;
};

struct CallerLimits
{
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::uint64_t mMaxBodyBytes = 4 * 1024 * 1024;
  TimeMs mHeaderTimeoutMs = 3000;
  TimeMs mIdleTimeoutMs = 15000;
};

// One accepted configuration of routes, services and customers. It does not
// change once it is built; requests hold the one they were accepted under.
struct RouteTable
{
  std::int64_t mVersion = 0;
  CallerLimits mLimits;
  // Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> mRoutes;
  std::map<std::string, ServiceInfo> mServices;
  std::unordered_map<std::string, std::shared_ptr<const RouteCustomer>> mKeys;
  // Without customers in the configuration no request needs a key.
  bool mHasCustomers = false;
};

// The route with the longest prefix that begins the path, or null. The host
// may carry a port; a query does not count.
const Route*
FindRoute(const RouteTable& aTable,
          std::string_view aHost,
          std::string_view aPath);

const ServiceInfo*
FindService(const RouteTable& aTable, const std::string& aName);

// Puts the longest prefixes first.
void
SortRoutes(RouteTable& aTable);

// Picks a target by weight; aPoint lies in [0, 1).
const RouteTarget*
ChooseTarget(const Route& aRoute, double aPoint);

// Whether a newer configuration replaces the present one. Versions of one
// process never go back.
bool
IsNewer(const RouteTable* aPresent, const RouteTable& aOffered);

} // namespace savory
