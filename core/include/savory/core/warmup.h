#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace savory {

// Parameters of the warm-up (slow start) of one backend server. Allowances are
// numbers of concurrent requests; mSlowFactor and mVerySlowFactor are multiples
// of the average time to first token per input token. Only tests set mEnabled
// to false, to show what the warm-up prevents.
struct WarmupOptions
{
  int mColdAllowance = 1;
  int mFullAllowance = 16;
  double mSlowFactor = 4;
  double mVerySlowFactor = 10;
  int mSlowStreakLimit = 3;
  // A shorter wait never indicates a cold start, however short the average is:
  // with engines that answer within a few milliseconds, a busy host alone makes
  // waits ten times as long.
  TimeMs mMinColdWaitMs = 500;
  int mMinSamples = 8;
  bool mEnabled = true;
};

// An agent's warm-up state of its backend server. mMsPerToken is the
// exponentially weighted moving average of the time to first token per input
// token. mGeneration counts the cold starts: a request that started in an
// earlier generation says nothing about the present one. mCompletedInRound
// counts the complete answers of the present round, see OnCompleted.
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

// Returns the number of requests that the backend server may run concurrently.
int
Allowance(const Warmup& aWarmup, const WarmupOptions& aOptions);

// Whether the allowance is below the full value.
bool
IsCold(const Warmup& aWarmup, const WarmupOptions& aOptions);

// Restarts the warm-up, for example after a lost connection or when the zone
// returns. aCause is logged.
void
ResetWarmup(Warmup& aWarmup, std::string_view aCause);

// Handles the incarnation in a load report of the backend server. Returns true
// when it differs from the last one and the warm-up was restarted.
bool
OnIncarnation(Warmup& aWarmup, std::string_view aIncarnation);

// Whether a wait for the first token is so long that the backend server must be
// cold. Can be called while the request still waits.
bool
LooksCold(const Warmup& aWarmup,
          const WarmupOptions& aOptions,
          std::int64_t aInputTokens,
          TimeMs aElapsedMs);

// Handles a time to first token, measured from the start of the request at the
// backend server. Returns true when it indicates a cold backend server and the
// warm-up was restarted.
bool
OnFirstToken(Warmup& aWarmup,
             const WarmupOptions& aOptions,
             int aGeneration,
             std::int64_t aInputTokens,
             TimeMs aElapsedMs);

// Handles a complete answer to a request that started in aGeneration. The
// allowance doubles after each round of as many answers as the allowance.
void
OnCompleted(Warmup& aWarmup, const WarmupOptions& aOptions, int aGeneration);

} // namespace savory
