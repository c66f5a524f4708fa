#include "savory/core/fair_share.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace savory {

namespace {

// Half-lives of the two sums. The short one is longer than most answers take,
// so that a customer does not change sides with each of its requests.
constexpr double kRecentHalfLifeMs = 5000;
constexpr double kUsualHalfLifeMs = 120000;

// A customer yields above this multiple of its usual use, or of an equal share.
constexpr double kSurgeFactor = 3;
constexpr double kShareFactor = 4;

// Its usual use is known after this time.
constexpr double kMinUsualAgeMs = 20000;

// An equal share is computed again at this interval, as it takes a pass over
// all customers.
constexpr TimeMs kEqualShareIntervalMs = 500;

// A customer with less than this part of the mean recent use is not counted
// among those that share.
constexpr double kMinActivePart = 0.05;

constexpr int kEnginePriorities = 10;
constexpr int kMaxLevels = 3;

double
Decay(const CustomerUse& aUse, double aHalfLifeMs, TimeMs aNowMs)
{
  return std::exp2(-static_cast<double>(aNowMs - aUse.mUpdatedMs) /
                   aHalfLifeMs);
}

double
RecentMs(const CustomerUse& aUse, TimeMs aNowMs)
{
  return aUse.mRecentMs * Decay(aUse, kRecentHalfLifeMs, aNowMs);
}

// What the recent sum would be at the customer's usual use.
double
UsualRecentMs(const CustomerUse& aUse, TimeMs aNowMs)
{
  double ageMs = static_cast<double>(aNowMs - aUse.mFirstMs);
  double filled = 1 - std::exp2(-ageMs / kUsualHalfLifeMs);
  return aUse.mUsualMs * Decay(aUse, kUsualHalfLifeMs, aNowMs) / filled *
         kRecentHalfLifeMs / kUsualHalfLifeMs;
}

void
ComputeEqualShare(CustomerShares& aShares, TimeMs aNowMs)
{
  double total = 0;
  for (const auto& [name, use] : aShares.mCustomers) {
    total += RecentMs(use, aNowMs);
  }
  double mean = total / static_cast<double>(aShares.mCustomers.size());
  double sharing = 0;
  aShares.mActive = 0;
  for (const auto& [name, use] : aShares.mCustomers) {
    double recent = RecentMs(use, aNowMs);
    if (recent >= kMinActivePart * mean) {
      sharing += recent;
      ++aShares.mActive;
    }
  }
  aShares.mEqualMs = aShares.mActive > 0 ? sharing / aShares.mActive : 0;
  aShares.mComputedMs = aNowMs;
}

} // namespace

void
OnWorkSent(CustomerShares& aShares,
           const std::string& aCustomer,
           double aWorkMs,
           TimeMs aNowMs)
{
  auto& customers = aShares.mCustomers;
  if (!customers.contains(aCustomer) &&
      customers.size() >= kMaxShareCustomers) {
    customers.erase(std::min_element(
      customers.begin(), customers.end(), [aNowMs](auto& aLeft, auto& aRight) {
        return RecentMs(aLeft.second, aNowMs) < RecentMs(aRight.second, aNowMs);
      }));
  }
  auto [found, isNew] = customers.try_emplace(aCustomer);
  CustomerUse& use = found->second;
  if (isNew) {
    use.mFirstMs = aNowMs;
  }
  use.mRecentMs = RecentMs(use, aNowMs) + aWorkMs;
  use.mUsualMs = use.mUsualMs * Decay(use, kUsualHalfLifeMs, aNowMs) + aWorkMs;
  use.mUpdatedMs = aNowMs;
}

bool
IsOverShare(CustomerShares& aShares,
            const std::string& aCustomer,
            TimeMs aNowMs)
{
  auto found = aShares.mCustomers.find(aCustomer);
  if (found == aShares.mCustomers.end()) {
    return false;
  }
  if (!aShares.mComputedMs ||
      aNowMs - *aShares.mComputedMs >= kEqualShareIntervalMs) {
    ComputeEqualShare(aShares, aNowMs);
  }
  const CustomerUse& use = found->second;
  double recent = RecentMs(use, aNowMs);
  double equal = aShares.mEqualMs;
  if (aShares.mActive < 2 || recent <= equal) {
    return false;
  }
  bool isUsualKnown =
    static_cast<double>(aNowMs - use.mFirstMs) >= kMinUsualAgeMs;
  return recent > kShareFactor * equal ||
         (isUsualKnown && recent > kSurgeFactor * UsualRecentMs(use, aNowMs));
}

std::vector<int>
ListPriorities(const RouteTable& aTable, const std::string& aService)
{
  std::set<int> priorities;
  for (const auto& [host, routes] : aTable.mRoutes) {
    for (const auto& route : routes) {
      if (std::any_of(route->mTargets.begin(),
                      route->mTargets.end(),
                      [&aService](const RouteTarget& aTarget) {
                        return aTarget.mService == aService;
                      })) {
        priorities.insert(route->mPriority);
      }
    }
  }
  for (const auto& [key, customer] : aTable.mKeys) {
    if (customer->mPriority) {
      priorities.insert(*customer->mPriority);
    }
  }
  return { priorities.begin(), priorities.end() };
}

int
PriorityRank(const std::vector<int>& aPriorities, int aPriority)
{
  return static_cast<int>(
    std::lower_bound(aPriorities.begin(), aPriorities.end(), aPriority) -
    aPriorities.begin());
}

int
EnginePriority(std::size_t aCount, const RequestUrgency& aUrgency)
{
  int count = std::max(1, static_cast<int>(aCount));
  int levels = std::clamp(kEnginePriorities / count, 1, kMaxLevels);
  int level = 0;
  if (levels == kMaxLevels && aUrgency.mIsLong) {
    level = 1;
  }
  if (aUrgency.mIsOverShare) {
    level = levels - 1;
  }
  return std::min(aUrgency.mRank * levels + level, kEnginePriorities - 1);
}

} // namespace savory
