#pragma once

#include "savory/core/types.h"

namespace savory {

// How fast streams of one kind write, learned from those that ended well. The
// load it answers: a runner that turned slow still begins its answers in time,
// but does not end them before the deadline.
struct StreamPace
{
  double mEventMs = 0;
  double mEvents = 0;
  int mStreams = 0;
};

// What has come of one stream from its present runner.
struct StreamProgress
{
  int mEvents = 0;
  TimeMs mFirstMs = 0;
  TimeMs mLastMs = 0;
};

void
OnEvents(StreamProgress& aProgress, int aEvents, TimeMs aNowMs);

// Learns from a stream that ended well.
void
UpdatePace(StreamPace& aPace, const StreamProgress& aProgress);

// Whether the stream writes several times more slowly than others do.
bool
IsSlow(const StreamPace& aPace, const StreamProgress& aProgress);

// Whether a slow stream of ordinary length would miss its deadline, while it
// would meet it at the ordinary pace.
bool
ShouldMigrate(const StreamPace& aPace,
              const StreamProgress& aProgress,
              TimeMs aRemainingMs);

} // namespace savory
