#include "savory/core/warmup.h"

#include <algorithm>

namespace savory {

namespace {

// Input-independent part of the time to first token, expressed in tokens. It
// keeps short prompts from looking slow per token.
constexpr double kFixedCostTokens = 500;

// Weight of a new sample in the moving average.
constexpr double kEwmaWeight = 0.1;

double
MsPerToken(std::int64_t aInputTokens, TimeMs aElapsedMs)
{
  return static_cast<double>(aElapsedMs) /
         (kFixedCostTokens +
          static_cast<double>(std::max<std::int64_t>(0, aInputTokens)));
}

} // namespace

int
Allowance(const Warmup& aWarmup, const WarmupOptions& aOptions)
{
  if (!aOptions.mEnabled) {
    return aOptions.mFullAllowance;
  }
  int cold = std::clamp(
    aOptions.mColdAllowance, 1, std::max(1, aOptions.mFullAllowance));
  return std::clamp(
    aWarmup.mAllowance, cold, std::max(cold, aOptions.mFullAllowance));
}

bool
IsCold(const Warmup& aWarmup, const WarmupOptions& aOptions)
{
  return Allowance(aWarmup, aOptions) < aOptions.mFullAllowance;
}

void
ResetWarmup(Warmup& aWarmup, std::string_view aCause)
{
  aWarmup.mAllowance = 0;
  aWarmup.mCompletedInRound = 0;
  aWarmup.mSlowStreak = 0;
  ++aWarmup.mGeneration;
  aWarmup.mCause = aCause;
}

bool
OnIncarnation(Warmup& aWarmup, std::string_view aIncarnation)
{
  if (aWarmup.mIncarnation == aIncarnation) {
    return false;
  }
  bool first = aWarmup.mIncarnation.empty();
  aWarmup.mIncarnation = aIncarnation;
  if (!first) {
    ResetWarmup(aWarmup, "new incarnation of the backend server");
  }
  return !first;
}

bool
LooksCold(const Warmup& aWarmup,
          const WarmupOptions& aOptions,
          std::int64_t aInputTokens,
          TimeMs aElapsedMs)
{
  return aWarmup.mSampleCount >= aOptions.mMinSamples &&
         aElapsedMs >= aOptions.mMinColdWaitMs &&
         MsPerToken(aInputTokens, aElapsedMs) >
           aOptions.mVerySlowFactor * aWarmup.mMsPerToken;
}

bool
OnFirstToken(Warmup& aWarmup,
             const WarmupOptions& aOptions,
             int aGeneration,
             std::int64_t aInputTokens,
             TimeMs aElapsedMs)
{
  if (aGeneration != aWarmup.mGeneration) {
    return false;
  }
  double sample = MsPerToken(aInputTokens, aElapsedMs);
  bool cold = IsCold(aWarmup, aOptions);
  bool known = aWarmup.mSampleCount >= aOptions.mMinSamples;
  bool slow = known && aElapsedMs >= aOptions.mMinColdWaitMs &&
              sample > aOptions.mSlowFactor * aWarmup.mMsPerToken;
  if (!slow) {
    // Samples of a cold backend server would raise the average, so they are
    // left out once it is established.
    if (!cold || !known) {
      aWarmup.mMsPerToken =
        aWarmup.mSampleCount == 0
          ? sample
          : aWarmup.mMsPerToken + kEwmaWeight * (sample - aWarmup.mMsPerToken);
      ++aWarmup.mSampleCount;
    }
    aWarmup.mSlowStreak = 0;
    return false;
  }
  ++aWarmup.mSlowStreak;
  // One very slow answer, or several slow ones in a row, indicate a cold start
  // that the backend server did not report. While it is known to be cold, slow
  // answers are expected.
  if (!cold && (aWarmup.mSlowStreak >= aOptions.mSlowStreakLimit ||
                LooksCold(aWarmup, aOptions, aInputTokens, aElapsedMs))) {
    ResetWarmup(aWarmup, "time to first token of a cold backend server");
    return true;
  }
  return false;
}

void
OnCompleted(Warmup& aWarmup, const WarmupOptions& aOptions, int aGeneration)
{
  if (aGeneration != aWarmup.mGeneration) {
    return;
  }
  int allowance = Allowance(aWarmup, aOptions);
  if (++aWarmup.mCompletedInRound >= allowance) {
    aWarmup.mCompletedInRound = 0;
    aWarmup.mAllowance = std::min(allowance * 2, aOptions.mFullAllowance);
  }
}

} // namespace savory
