#pragma once

#include "savory/core/model_choice.h"
#include "savory/core/runners.h"

#include <cstddef>
#include <cstdint>

namespace savory::placement_replay {

// How hosts treat the runners' statements of their slowdown.
enum class SampleUse
{
  // The statements are withheld, so that the service is not paced.
  NotPaced,
  Ignored,
  // Trusted in full for mTrustMs, then ignored.
  Trusted,
  // As core weighs them.
  Weighed,
};

// Entry hosts send prompts to engines of which a third takes 1.7 times
// the usual time and the others 0.7 times; each is slowed by 2.5 times for 15%
// of the time in spells of 600 ms.
struct Options
{
  SampleUse mSampleUse = SampleUse::Weighed;
  TimeMs mTrustMs = 0;
  std::size_t mHosts = 27;
  std::size_t mEngines = 49;
  int mSlots = 128;
  std::int64_t mMemoryTokens = 1'041'697;
  // Prompt tokens per millisecond and milliseconds of an empty decode step for
  // a model of factor 1.
  double mTokensPerMs = 157;
  double mStepMs = 3.55;
  // Requests per second of all hosts.
  double mRate = 330;
  // Share of the requests with one and the same prompt part.
  double mHotShare = 0;
  std::uint64_t mSeed = 1;
  double mDurationMs = 40'000;
};

// Means over the requests that arrived after the first quarter.
struct Outcome
{
  double mFirstEventMs = 0;
  double mFirstEventP95Ms = 0;
  double mAnswerMs = 0;
  double mAnswerP95Ms = 0;
  // Of 100 prompt tokens: shared ones that were read although some engine held
  // them, and shared ones that were found.
  double mReadAgain = 0;
  double mFound = 0;
};

Outcome
Run(const Options& aOptions);

} // namespace savory::placement_replay
