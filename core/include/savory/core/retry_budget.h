#pragma once

#include "savory/core/types.h"

#include <array>
#include <map>
#include <string>

namespace savory {

// The retry budget, which all entry hosts share. A retry sends a request to a
// second backend server; within a window of mWindowMs there may be mRatio times
// as many retries as requests, plus mSlack. Each host spends the ratio of its
// own requests and an equal part of mSlack, so hosts need not exchange
// messages.
struct RetryBudgetOptions
{
  double mRatio = 0.5;
  double mSlack = 10;
  TimeMs mWindowMs = 10000;
  // Fraction of the budget that is spent; the rest covers hosts that start or
  // stop within the window.
  double mSafety = 0.8;
};

struct RetryCounts
{
  double mRequests = 0;
  double mRetries = 0;
};

// The counts of one service, in slices of a sliding window.
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

// Spends one retry and returns true when the budget allows it. aEntryHosts is
// the number of hosts that share mSlack.
bool
TryAcquireRetry(RetryBudget& aBudget,
                const RetryBudgetOptions& aOptions,
                const std::string& aService,
                int aEntryHosts,
                TimeMs aNowMs);

} // namespace savory
