#include "savory/core/attempt_budget.h"

#include <algorithm>

namespace savory {

namespace {

// Moves the window on to now and forgets slices that left it.
AttemptWindow&
CurrentWindow(AttemptBudget& aBudget,
              const AttemptBudgetOptions& aOptions,
              const std::string& aService,
              TimeMs aNowMs)
{
  AttemptWindow& window = aBudget.mServices[aService];
  TimeMs slice = std::max<TimeMs>(
    1, aOptions.mWindowMs / static_cast<TimeMs>(AttemptWindow::kSlices));
  if (aNowMs - window.mSliceStartMs >= aOptions.mWindowMs) {
    window = {};
    window.mSliceStartMs = aNowMs;
  }
  while (aNowMs - window.mSliceStartMs >= slice) {
    window.mCurrent = (window.mCurrent + 1) % AttemptWindow::kSlices;
    window.mSlices[window.mCurrent] = {};
    window.mSliceStartMs += slice;
  }
  return window;
}

} // namespace

void
NoteRequest(AttemptBudget& aBudget,
            const AttemptBudgetOptions& aOptions,
            const std::string& aService,
            TimeMs aNowMs)
{
  AttemptWindow& window = CurrentWindow(aBudget, aOptions, aService, aNowMs);
  ++window.mSlices[window.mCurrent].mRequests;
}

bool
TryRepeat(AttemptBudget& aBudget,
          const AttemptBudgetOptions& aOptions,
          const std::string& aService,
          int aEntryHosts,
          TimeMs aNowMs)
{
  AttemptWindow& window = CurrentWindow(aBudget, aOptions, aService, aNowMs);
  AttemptCounts sum;
  for (const auto& slice : window.mSlices) {
    sum.mRequests += slice.mRequests;
    sum.mRepeats += slice.mRepeats;
  }
  double allowed =
    aOptions.mSafety * (aOptions.mRatio * sum.mRequests +
                        aOptions.mSlack / std::max(1, aEntryHosts));
  if (sum.mRepeats + 1 > allowed) {
    return false;
  }
  ++window.mSlices[window.mCurrent].mRepeats;
  return true;
}

} // namespace savory
