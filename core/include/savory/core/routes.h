#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace savory {

// Whether a request may be executed more than once. A stream may be only when
// it can be resumed.
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

// A service that a route sends traffic to, with its weight in the split.
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
  // The longest time that a caller waits for the answer; 0 means no limit.
  TimeMs mTimeoutMs = 0;
  // An answer within this time meets the route's latency goal.
  TimeMs mLatencyGoalMs = 0;
  // The longest pause between two events of a stream that is still in time; 0
  // if the operators set none.
  TimeMs mMaxEventGapMs = 0;
  // 0 is the most urgent.
  int mPriority = 5;
  // The number of backend servers that one request may be sent to.
  int mMaxAttempts = 1;
  bool mAnonymous = false;
  bool mResumable = false;
  // Models from the smallest to the largest; empty when the caller names one.
  std::vector<std::string> mModels;
  std::vector<RouteTarget> mTargets;
};

struct ModelPrice
{
  std::string mName;
  // Price of 1,000 generated tokens; prompt tokens cost a quarter of that.
  double mPricePerThousandTokens = 0;
};

// A service as the operators configure it.
struct ServiceInfo
{
  std::string mName;
  std::string mHealthPath;
  int mMaxConnections = 0;
  // Requests per second that a cold backend server can handle; 0 means no
  // limit.
  double mColdPerSecond = 0;
  TimeMs mColdStartMs = 0;
  // Tokens of KV cache and concurrent requests of an engine; 0 for a plain
  // service.
  std::int64_t mCacheTokens = 0;
  int mSlots = 0;
  // Output tokens in one event of a stream.
  int mTokensPerEvent = 1;
  // Bytes of KV cache for each token, and megabits per second at which engines
  // transfer it; 0 if they do not.
  std::int64_t mCacheBytesPerToken = 0;
  double mTransferMbps = 0;
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

// One accepted configuration of routes, services and customers. It is immutable
// once built; a request keeps the one under which it was accepted.
struct RouteTable
{
  std::int64_t mVersion = 0;
  CallerLimits mLimits;
  // Routes of each host, longest prefix first. Tables share those that did not
  // change.
  std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>>
    mRoutes;
  std::map<std::string, ServiceInfo> mServices;
  // Customers by API key.
  std::unordered_map<std::string, std::shared_ptr<const RouteCustomer>> mKeys;
  // When the configuration has no customers, requests need no API key.
  bool mHasCustomers = false;
};

// The route of the host whose prefix is the longest that the path starts with,
// or null. A port after the host and a query after the path are ignored.
const Route*
FindRoute(const RouteTable& aTable,
          std::string_view aHost,
          std::string_view aPath);

// The service of that name, or null.
const ServiceInfo*
FindService(const RouteTable& aTable, const std::string& aName);

// Services whose streams have unequal latency goals: the longest goal of their
// routes with a choice of models is a multiple of the shortest. Callers with
// much time then share engines with callers that have little, and the time to
// the first event alone is no measure of whom to serve where.
std::set<std::string>
ServicesWithUnequalGoals(const RouteTable& aTable);

// Sorts the routes of each host by prefix length, longest first.
void
SortRoutes(RouteTable& aTable);

// Chooses a target by weight; aPoint lies in [0, 1). Null without targets.
const RouteTarget*
ChooseTarget(const Route& aRoute, double aPoint);

// Whether the offered configuration replaces the current one. The version of a
// process never decreases.
bool
IsNewer(const RouteTable* aCurrent, const RouteTable& aOffered);

} // namespace savory
