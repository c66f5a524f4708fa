#include "savory/core/stream_pace.h"

#include <algorithm>

namespace savory {

namespace {

// Streams that must have ended before a pace is known, and events and time
// before a stream is judged: a long prompt beside it slows its first events.
constexpr int kLeastStreams = 5;
constexpr int kLeastEvents = 8;
constexpr TimeMs kLeastMs = 2500;

// A stream is slow from this many times the ordinary time between events.
constexpr double kSlowFactor = 4;

// Weight of one stream in the means.
constexpr double kPaceWeight = 0.1;

// What starting anew costs: the prompt is read again.
constexpr double kRestartMs = 1000;

// A stream is moved only when the time left falls below this many times what
// starting anew takes; most slow streams recover before.
constexpr double kLatestFactor = 2;

double
EventMs(const StreamProgress& aProgress)
{
  return static_cast<double>(aProgress.mLastMs - aProgress.mFirstMs) /
         std::max(1, aProgress.mEvents - 1);
}

} // namespace

void
NoteEvents(StreamProgress& aProgress, int aEvents, TimeMs aNowMs)
{
  if (aProgress.mEvents == 0) {
    aProgress.mFirstMs = aNowMs;
  }
  aProgress.mEvents += aEvents;
  aProgress.mLastMs = aNowMs;
}

void
LearnPace(StreamPace& aPace, const StreamProgress& aProgress)
{
  if (aProgress.mEvents < kLeastEvents) {
    return;
  }
  ++aPace.mStreams;
  double weight = std::max(kPaceWeight, 1.0 / aPace.mStreams);
  aPace.mEventMs += weight * (EventMs(aProgress) - aPace.mEventMs);
  aPace.mEvents += weight * (aProgress.mEvents - aPace.mEvents);
}

bool
IsSlow(const StreamPace& aPace, const StreamProgress& aProgress)
{
  return aPace.mStreams >= kLeastStreams && aProgress.mEvents >= kLeastEvents &&
         aProgress.mLastMs - aProgress.mFirstMs >= kLeastMs &&
         EventMs(aProgress) > kSlowFactor * aPace.mEventMs;
}

bool
ShouldMove(const StreamPace& aPace,
           const StreamProgress& aProgress,
           TimeMs aLeftMs)
{
  if (!IsSlow(aPace, aProgress)) {
    return false;
  }
  double rest = std::max(1.0, aPace.mEvents - aProgress.mEvents);
  auto left = static_cast<double>(aLeftMs);
  double anew = kRestartMs + rest * aPace.mEventMs;
  return rest * EventMs(aProgress) > left && anew < left &&
         left < kLatestFactor * anew;
}

} // namespace savory
