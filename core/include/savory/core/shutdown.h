#pragma once

#include "savory/core/types.h"

namespace savory {

// Decides in a planned stop which requests a host still takes, and when it
// tells the callers of those that are left. The load that this answers: callers
// whose connections the platform still routes here, and callers on kept
// connections, who get a truthful refusal in time to be served elsewhere.

// Times of a stop, in milliseconds from its signal.
struct ShutdownPlan
{
  // Idle connections are closed from here on; the platform routes no new ones.
  TimeMs mCloseIdleMs = 0;
  // Requests that arrive later are refused.
  TimeMs mLastAdmissionMs = 0;
  // Callers of requests that are left are told that they failed.
  TimeMs mAbandonMs = 0;
  // The process exits, also if answers are still unsent.
  TimeMs mExitMs = 0;
};

// Plans a stop in which the process is killed after aGraceMs.
ShutdownPlan
MakeShutdownPlan(TimeMs aGraceMs);

// A request that arrives in a stop.
struct LateRequest
{
  // When it arrived, from the signal on.
  TimeMs mArrivalMs = 0;
  // How long its answer may take, by its deadline and its route.
  TimeMs mLimitMs = 0;
  // The route's latency goal; 0 if it has none.
  TimeMs mGoalMs = 0;
  // Its caller, or this host, may send it to another server if it breaks off.
  bool mIsRepeatable = false;
};

// Whether the request is taken. One that must not be repeated is, if its
// longest time ends before the stop does.
bool
AdmitsDuringShutdown(const ShutdownPlan& aPlan, const LateRequest& aRequest);

} // namespace savory
