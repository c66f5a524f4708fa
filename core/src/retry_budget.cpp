#include "savory/core/retry_budget.h"

#include <algorithm>

namespace savory {

namespace {

// Advances the window to aNowMs and clears the slices that left it.
RetryWindow&
CurrentWindow(RetryBudget& aBudget,
              const RetryBudgetOptions& aOptions,
              const std::string& aService,
              TimeMs aNowMs)
{
  RetryWindow& window = aBudget.mServices[aService];
  TimeMs slice = std::max<TimeMs>(
    1, aOptions.mWindowMs / static_cast<TimeMs>(RetryWindow::kSlices));
  if (aNowMs - window.mSliceStartMs >= aOptions.mWindowMs) {
    window = {};
    window.mSliceStartMs = aNowMs;
  }
  while (aNowMs - window.mSliceStartMs >= slice) {
    window.mCurrent = (window.mCurrent + 1) % RetryWindow::kSlices;
    window.mSlices[window.mCurrent] = {};
    window.mSliceStartMs += slice;
  }
  return window;
}

} // namespace

void
OnRequestArrived(RetryBudget& aBudget,
                 const RetryBudgetOptions& aOptions,
                 const std::string& aService,
                 TimeMs aNowMs)
{
  RetryWindow& window = CurrentWindow(aBudget, aOptions, aService, aNowMs);
  ++window.mSlices[window.mCurrent].mRequests;
}

bool
TryAcquireRetry(RetryBudget& aBudget,
                const RetryBudgetOptions& aOptions,
                const std::string& aService,
                int aEntryHosts,
                TimeMs aNowMs)
{
  RetryWindow& window = CurrentWindow(aBudget, aOptions, aService, aNowMs);
  RetryCounts sum;
  for (const auto& slice : window.mSlices) {
    sum.mRequests += slice.mRequests;
    sum.mRetries += slice.mRetries;
  }
  double allowed =
    aOptions.mSafety * (aOptions.mRatio * sum.mRequests +
                        aOptions.mSlack / std::max(1, aEntryHosts));
  if (sum.mRetries + 1 > allowed) {
    return false;
  }
  ++window.mSlices[window.mCurrent].mRetries;
  return true;
}

} // namespace savory
