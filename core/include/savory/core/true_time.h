#pragma once

#include "savory/core/types.h"

#include <map>
#include <optional>
#include <string>

namespace savory {

// An estimate of wall-clock time from the clocks of several hosts. A host's
// wall clock may jump by seconds and back; its boot clock keeps running. Each
// source is the difference between a wall clock and the local boot clock; the
// median of them and of the last estimate is used, so that no single clock
// shifts it.
struct TrueTime
{
  struct Source
  {
    TimeMs mOffsetMs = 0;
    TimeMs mSeenBootMs = 0;
  };
  // Keyed by host.
  std::map<std::string, Source> mPeers;
  // Estimated wall-clock time less the local boot clock.
  std::optional<TimeMs> mOffsetMs;
  TimeMs mStartedBootMs = 0;
};

// A peer's message stated its wall clock.
void
OnPeerClock(TrueTime& aTime,
            const std::string& aHost,
            TimeMs aPeerWallMs,
            TimeMs aBootMs);

// The wall-clock time by the last estimate; aOwnWallMs before the first one.
TimeMs
TrueTimeAt(const TrueTime& aTime, TimeMs aOwnWallMs, TimeMs aBootMs);

// Updates the estimate, which takes time for each peer, and returns the
// wall-clock time by it.
TimeMs
UpdateTrueTime(TrueTime& aTime, TimeMs aOwnWallMs, TimeMs aBootMs);

} // namespace savory
