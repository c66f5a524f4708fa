#pragma once

#include "savory/core/types.h"

#include <array>
#include <map>
#include <string>

namespace savory {

// The budget for sending a request to a second backend server, which all entry
// hosts share: in a window, at most a ratio of the requests plus a constant.
// Each host spends its own requests' share of the ratio and an equal part of
// the constant, so no message between them is needed.
struct RetryBudgetOptions
{
  double mRatio = 0.5;
  double mSlack = 10;
  TimeMs mWindowMs = 10000;
  // Part of the budget that is spent; the rest covers hosts that start or stop
  // within the window.
  double mSafety = 0.8;
};

struct RetryCounts
{
  double mRequests = 0;
  double mRetries = 0;
};

// Counts of one service in slices of the window.
struct RetryWindow
{
  static constexpr std::size_t kSlices = 10;
  std::array<RetryCounts, kSlices> mSlices{};
  TimeMs mSliceStartMs = 0;
  std::size_t mCurrent = 0;
};

struct RetryBudget
{
  std::map<std::string, RetryWindow> mServices;
};

void
OnRequestArrived(RetryBudget& aBudget,
                 const RetryBudgetOptions& aOptions,
                 const std::string& aService,
                 TimeMs aNowMs);

// Books one more attempt when the budget allows it.
bool
TryAcquireRetry(RetryBudget& aBudget,
                const RetryBudgetOptions& aOptions,
                const std::string& aService,
                int aEntryHosts,
                TimeMs aNowMs);

} // namespace savory
