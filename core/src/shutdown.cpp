#include "savory/core/shutdown.h"

#include <algorithm>

namespace savory {

namespace {

// The platform stops routing new connections to a host after two failed
// readiness checks, a second apart.
constexpr TimeMs kRoutedMs = 2600;

// A stream that begins later might not end before the process is killed.
constexpr TimeMs kLastAdmissionMs = 2800;

// Callers of requests that are left are told this long before the process is
// killed; in a short grace, when this part of it is left.
constexpr TimeMs kAbandonMarginMs = 500;
constexpr TimeMs kAbandonGraceDivisor = 6;

// A repeatable request is taken if this many times its latency goal is left;
// one without a goal, if its longest time is.
constexpr TimeMs kGoalsLeft = 2;

} // namespace

ShutdownPlan
MakeShutdownPlan(TimeMs aGraceMs)
{
  ShutdownPlan plan;
  TimeMs margin = std::min(kAbandonMarginMs, aGraceMs / kAbandonGraceDivisor);
  plan.mAbandonMs = aGraceMs - margin;
  plan.mExitMs = aGraceMs - margin / 2;
  plan.mCloseIdleMs = std::min(kRoutedMs, plan.mAbandonMs);
  plan.mLastAdmissionMs = std::min(kLastAdmissionMs, plan.mAbandonMs);
  return plan;
}

bool
AdmitsDuringShutdown(const ShutdownPlan& aPlan, const LateRequest& aRequest)
{
  if (aRequest.mArrivalMs > aPlan.mLastAdmissionMs) {
    return false;
  }
  TimeMs leftMs = aPlan.mAbandonMs - aRequest.mArrivalMs;
  return aRequest.mLimitMs <= leftMs ||
         (aRequest.mIsRepeatable && aRequest.mGoalMs > 0 &&
          kGoalsLeft * aRequest.mGoalMs <= leftMs);
}

} // namespace savory
