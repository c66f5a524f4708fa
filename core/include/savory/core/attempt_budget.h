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
struct AttemptBudgetOptions
{
  double mRatio = 0.5;
  double mSlack = 10;
  TimeMs mWindowMs = 10000;
  // Part of the budget that is spent; the rest covers hosts that start or stop
  // within the window.
  double mSafety = 0.8;
};

struct AttemptCounts
{
  double mRequests = 0;
  double mRepeats = 0;
};

// Counts of one service in slices of the window.
struct AttemptWindow
{
  static constexpr std::size_t kSlices = 10;
  std::array<AttemptCounts, kSlices> mSlices{};
  TimeMs mSliceStartMs = 0;
  std::size_t mCurrent = 0;
};

struct AttemptBudget
{
  std::map<std::string, AttemptWindow> mServices;
};

void
NoteRequest(AttemptBudget& aBudget,
            const AttemptBudgetOptions& aOptions,
            const std::string& aService,
            TimeMs aNowMs);

// Books one more attempt when the budget allows it.
bool
TryRepeat(AttemptBudget& aBudget,
          const AttemptBudgetOptions& aOptions,
          const std::string& aService,
          int aEntryHosts,
          TimeMs aNowMs);

} // namespace savory
