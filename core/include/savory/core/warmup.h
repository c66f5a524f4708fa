#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace savory {

// Tuning of the warm-up of one backend server. `mEnabled` is a switch for
// tests that show what the mechanism prevents.
struct WarmupOptions
{
  int mColdAllowance = 1;
  int mFullAllowance = 16;
  double mSlowFactor = 4;
  double mVerySlowFactor = 10;
  int mSlowStreakLimit = 3;
  // A wait below this is no sign of a cold start, however short the ordinary
  // one is: with engines that answer within a few milliseconds, a busy host
  // alone makes waits ten times as long.
  TimeMs mMinColdWaitMs = 500;
  int mMinSamples = 8;
  bool mEnabled = true;
};

// The warm-up state that an agent keeps of its backend server. Times to first
// token are learned per input token. `mGeneration` counts the cold starts; a
// request that began in an earlier one proves nothing about this one.
struct Warmup
{
  int mAllowance = 0;
  int mCompletedInRound = 0;
  int mGeneration = 0;
  std::string mIncarnation;
  double mMsPerToken = 0;
  int mSampleCount = 0;
  int mSlowStreak = 0;
  std::string mCause = "first start";
};

// The number of requests that the backend server may run now.
int
Allowance(const Warmup& aWarmup, const WarmupOptions& aOptions);

// Whether the allowance is below the full value.
bool
IsCold(const Warmup& aWarmup, const WarmupOptions& aOptions);

// Starts the warm-up anew, as after a broken connection or when the zone
// returns. The cause is for the log.
void
ResetWarmup(Warmup& aWarmup, std::string_view aCause);

// Takes the incarnation of the backend server's own load report. True when it
// is a new one and the warm-up starts anew.
bool
OnIncarnation(Warmup& aWarmup, std::string_view aIncarnation);

// Whether a wait for the first token is that of a cold backend server. It may
// be asked while the request still waits.
bool
LooksCold(const Warmup& aWarmup,
          const WarmupOptions& aOptions,
          std::int64_t aInputTokens,
          TimeMs aElapsedMs);

// Takes a time to first token, measured from the start at the backend server.
// True when it shows a cold backend server and the warm-up starts anew.
bool
OnFirstToken(Warmup& aWarmup,
             const WarmupOptions& aOptions,
             int aGeneration,
             std::int64_t aInputTokens,
             TimeMs aElapsedMs);

// Takes a whole answer to a request that started in `aGeneration`. A round is
// as many answers as the allowance; after each the allowance doubles.
void
OnCompleted(Warmup& aWarmup, const WarmupOptions& aOptions, int aGeneration);

} // namespace savory
