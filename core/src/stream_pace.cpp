#include "savory/core/stream_pace.h"

#include <algorithm>

namespace savory {

namespace {

// The number of ended streams before the pace counts as known, and the events
// and time before a stream is compared with it: the prefill of a long prompt on
// the same engine slows a stream's first events.
constexpr int kMinStreams = 5;
constexpr int kMinEvents = 8;
constexpr TimeMs kMinObservedMs = 2500;

// A stream is slow above this multiple of the usual time between events.
constexpr double kSlowFactor = 4;

// Weight of one stream in the moving averages.
constexpr double kPaceStreamWeight = 0.1;

// The cost of a restart: the prompt's prefill is repeated.
constexpr double kRestartMs = 1000;

// A stream is moved only when the remaining time falls below this multiple of
// the time of a restart; most slow streams recover before that.
constexpr double kMigrationTimeFactor = 2;

double
MeanEventMs(const StreamProgress& aProgress)
{
  return static_cast<double>(aProgress.mLastEventMs - aProgress.mFirstEventMs) /
         std::max(1, aProgress.mEvents - 1);
}

} // namespace

void
OnEvents(StreamProgress& aProgress, int aEvents, TimeMs aNowMs)
{
  if (aProgress.mEvents == 0) {
    aProgress.mFirstEventMs = aNowMs;
  }
  aProgress.mEvents += aEvents;
  aProgress.mLastEventMs = aNowMs;
}

void
UpdatePace(StreamPace& aPace, const StreamProgress& aProgress)
{
  if (aProgress.mEvents < kMinEvents) {
    return;
  }
  ++aPace.mStreams;
  double weight = std::max(kPaceStreamWeight, 1.0 / aPace.mStreams);
  aPace.mEventMs += weight * (MeanEventMs(aProgress) - aPace.mEventMs);
  aPace.mEvents += weight * (aProgress.mEvents - aPace.mEvents);
}

bool
IsSlow(const StreamPace& aPace, const StreamProgress& aProgress)
{
  return aPace.mStreams >= kMinStreams && aProgress.mEvents >= kMinEvents &&
         aProgress.mLastEventMs - aProgress.mFirstEventMs >= kMinObservedMs &&
         MeanEventMs(aProgress) > kSlowFactor * aPace.mEventMs;
}

bool
ShouldMigrate(const StreamPace& aPace,
              const StreamProgress& aProgress,
              TimeMs aRemainingMs)
{
  if (!IsSlow(aPace, aProgress)) {
    return false;
  }
  double remainingEvents = std::max(1.0, aPace.mEvents - aProgress.mEvents);
  auto remaining = static_cast<double>(aRemainingMs);
  double restart = kRestartMs + remainingEvents * aPace.mEventMs;
  return remainingEvents * MeanEventMs(aProgress) > remaining &&
         restart < remaining && remaining < kMigrationTimeFactor * restart;
}

} // namespace savory
