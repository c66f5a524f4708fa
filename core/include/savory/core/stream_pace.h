#pragma once

#include "savory/core/types.h"

namespace savory {

// The usual pace of streams of one kind, averaged over `mStreams` streams that
// ended normally: the time between two events in milliseconds and the number of
// events in a stream. It serves to detect a runner that became slow: such a
// runner still starts its answers in time, but does not finish them before the
// deadline.
struct StreamPace
{
  double mEventMs = 0;
  double mEvents = 0;
  int mStreams = 0;
};

// The events received on one stream from its current runner.
struct StreamProgress
{
  int mEvents = 0;
  TimeMs mFirstEventMs = 0;
  TimeMs mLastEventMs = 0;
};

void
OnEvents(StreamProgress& aProgress, int aEvents, TimeMs aNowMs);

// Adds a stream that ended normally to the averages, unless it had too few
// events.
void
UpdatePace(StreamPace& aPace, const StreamProgress& aProgress);

// Whether the stream is several times slower than usual.
bool
IsSlow(const StreamPace& aPace, const StreamProgress& aProgress);

// Whether to move the stream to another runner: at its current pace a stream of
// usual length would miss the deadline, while a restart at the usual pace would
// meet it. aRemainingMs is the time until the deadline.
bool
ShouldMigrate(const StreamPace& aPace,
              const StreamProgress& aProgress,
              TimeMs aRemainingMs);

} // namespace savory
