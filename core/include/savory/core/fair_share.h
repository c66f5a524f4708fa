#pragma once

#include "savory/core/routes.h"
#include "savory/core/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savory {

// The order in which requests to a paced service are served while its runners
// are full: by priority, then customers by their share of the engine time, then
// by age. Runners keep the queues; a gateway states the order by the priority
// that it sends with a request.

// Engine time of a customer's requests, in runner-milliseconds: decayed sums
// with a short and a long half-life.
struct CustomerUse
{
  double mRecentMs = 0;
  double mUsualMs = 0;
  TimeMs mUpdatedMs = 0;
  TimeMs mFirstMs = 0;
};

struct CustomerShares
{
  std::map<std::string, CustomerUse> mCustomers;
  // The mean recent use of the active customers, their number, and when both
  // were computed.
  double mEqualMs = 0;
  int mActive = 0;
  std::optional<TimeMs> mComputedMs;
};

// Customers of which the use is kept; beyond it those with the least recent use
// are dropped, which are below their share anyway.
inline constexpr std::size_t kMaxShareCustomers = 2000;

// A request of a customer was sent whose engine time is estimated as aWorkMs.
void
OnWorkSent(CustomerShares& aShares,
           const std::string& aCustomer,
           double aWorkMs,
           TimeMs aNowMs);

// Whether a customer yields to the others: it uses several times what it
// usually does, or several times an equal share. A customer with no more than
// an equal share never does.
bool
IsOverShare(CustomerShares& aShares,
            const std::string& aCustomer,
            TimeMs aNowMs);

// The priorities of all requests that a service may get, each once, the most
// urgent first. A customer's priority takes precedence over the route's.
std::vector<int>
ListPriorities(const RouteTable& aTable, const std::string& aService);

// The number of priorities of that list that are more urgent.
int
PriorityRank(const std::vector<int>& aPriorities, int aPriority);

// The properties of a request that its place in the engines' queues depends on.
struct RequestUrgency
{
  int mRank = 0;
  bool mIsOverShare = false;
  // Its prefill delays others more than theirs would delay it.
  bool mIsLong = false;
};

// The priority from 0 to 9 that a runner is told, 0 first, for a service with
// requests of aCount priorities. A less urgent request never gets a lower one.
// With more priorities than fit, the least urgent ones share the last.
int
EnginePriority(std::size_t aCount, const RequestUrgency& aUrgency);

} // namespace savory
