#include "paced_placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace savory {

namespace {

// Half-life of a load report of a paced service. A host hears of each of many
// runners every few seconds, and streams run for some seconds.
constexpr double kReportHalfLifeMs = 2000;

// The part of an engine's memory that prompts may fill before the least
// recently used part is taken for evicted: the tokens of answers are in it too.
constexpr double kUsableCacheRatio = 0.9;

// An answer tells the speed of prefill if at most this part of the expected
// time was a wait.
constexpr double kMaxTellingWait = 0.5;

// Streams after which a model's decode step is known well enough to compare
// runners by it.
constexpr double kMinStepWeight = 5;

double
SlowdownNow(const RunnerState& aRunner, TimeMs aNowMs)
{
  return EstimateSlowdown(
    aRunner.mSlowdown, aRunner.mMeanSlowdown, aNowMs - aRunner.mSlowdownMs);
}

// How far a runner's load report still holds, from 1 to 0.
double
ReportWeight(const RunnerState& aRunner, TimeMs aNowMs)
{
  return aRunner.mReportedMs > 0
           ? std::exp2(-static_cast<double>(aNowMs - aRunner.mReportedMs) /
                       kReportHalfLifeMs)
           : 0;
}

// The estimated number of requests at a runner: its report, which loses weight
// with its age to the mean of the other runners, and at least this host's own.
double
EstimateRunning(const RunnerState& aRunner, double aMean, TimeMs aNowMs)
{
  double weight = ReportWeight(aRunner, aNowMs);
  return std::max<double>(aRunner.mInFlight,
                          weight * aRunner.mReportedRunning +
                            (1 - weight) * aMean);
}

// Tokens at the start of the prompt that the runner is estimated to hold. An
// engine uses a part only after all parts before it.
std::int64_t
CountCachedTokens(const RunnerState& aRunner,
                  const PlacementRequest& aRequest,
                  double aCapacityMs,
                  TimeMs aNowMs)
{
  std::int64_t tokens = 0;
  for (const PromptPart& part : aRequest.mSharedParts) {
    if (!HoldsPart(aRunner.mCache,
                   PrefixCacheKey(aRequest.mModel, part.mId),
                   aCapacityMs,
                   aNowMs)) {
      break;
    }
    tokens += part.mTokens;
  }
  return tokens;
}

// Means over runners that are estimates for those of which nothing is known.
struct PoolMeans
{
  // Requests that run at a runner.
  double mRunning = 0;
  // Milliseconds of prefill per token, over all models.
  double mMsPerToken = 0;
};

PoolMeans
MeasurePool(const std::vector<PacedRunner>& aRunners, TimeMs aNowMs)
{
  double weights = 0;
  double running = 0;
  double tokens = 0;
  double readMs = 0;
  for (const PacedRunner& row : aRunners) {
    const RunnerState* runner = row.mState;
    double weight = ReportWeight(*runner, aNowMs);
    weights += weight;
    running += weight * runner->mReportedRunning;
    tokens += runner->mReadTokens;
    readMs += runner->mReadMs;
  }
  return { weights > 0 ? running / weights : 0,
           tokens > 0 ? readMs / tokens : 0 };
}

} // namespace

std::string
DescribePrefix(const Placement& aPlacement)
{
  return std::string(ToName(kPrefixOptionNames, aPlacement.mPrefixOption)) +
         "/" +
         std::string(ToName(kPrefixReasonNames, aPlacement.mPrefixReason));
}

double
WorkFactor(const RunnerState& aRunner, TimeMs aNowMs)
{
  return SpeedFactor(aRunner.mSpeed, aNowMs) * SlowdownNow(aRunner, aNowMs);
}

void
OnStreamPaced(RunnerSet& aSet,
              RunnerState& aRunner,
              const std::string& aModel,
              double aMsPerToken,
              double aBatch,
              TimeMs aNowMs)
{
  if (aNowMs < aRunner.mColdUntilMs || !(aMsPerToken > 0)) {
    return;
  }
  StepSpeed& step =
    aSet.mStepSpeeds[{ aRunner.mRegistration.mService, aModel }];
  // A stream lasts for several slow spells, whose mean the step contains. The
  // first streams only teach the step.
  if (step.mWeight >= kMinStepWeight) {
    LearnSpeed(aRunner.mSpeed,
               { EstimateTokenMs(step, aBatch, 0), aMsPerToken },
               aNowMs);
  }
  LearnStep(step, aBatch, aMsPerToken / SpeedFactor(aRunner.mSpeed, aNowMs));
}

Placement
PlacePaced(const RunnerSet& aSet,
           const ServiceInfo* aService,
           const PlacementRequest& aRequest,
           const std::vector<PacedRunner>& aRunners,
           TimeMs aNowMs)
{
  PoolMeans means = MeasurePool(aRunners, aNowMs);
  auto step = aSet.mStepSpeeds.find({ aRequest.mService, aRequest.mModel });
  PrefixRequest request;
  for (const PromptPart& part : aRequest.mSharedParts) {
    request.mSharedTokens += part.mTokens;
  }
  request.mUnsharedTokens = aRequest.mUnsharedTokens;
  request.mMsPerToken = aRequest.mMsPerToken;
  request.mFixedMs = aRequest.mFixedMs;
  request.mOutputTokens = aRequest.mOutputTokens;
  std::vector<PrefixCandidate> candidates;
  for (const PacedRunner& row : aRunners) {
    const RunnerState& runner = *row.mState;
    double speed = SpeedFactor(runner.mSpeed, aNowMs);
    PrefixCandidate candidate;
    candidate.mWorkFactor = WorkFactor(runner, aNowMs);
    candidate.mQueueMs = EstimateQueueMs(runner.mPrefillQueue, aNowMs);
    candidate.mRunning = EstimateRunning(runner, means.mRunning, aNowMs);
    candidate.mWaiting = ReportWeight(runner, aNowMs) * runner.mReportedWaiting;
    candidate.mSlots = runner.mRegistration.mSlots;
    if (!aRequest.mModel.empty()) {
      candidate.mTokenMs =
        speed * EstimateTokenMs(step == aSet.mStepSpeeds.end() ? StepSpeed{}
                                                               : step->second,
                                candidate.mRunning + candidate.mWaiting + 1,
                                aRequest.mMsPerToken);
    }
    if (request.mSharedTokens > 0) {
      double capacityMs =
        aService && aService->mCacheTokens > 0 && means.mMsPerToken > 0
          ? static_cast<double>(aService->mCacheTokens) * means.mMsPerToken *
              speed * kUsableCacheRatio
          : std::numeric_limits<double>::infinity();
      candidate.mCachedTokens =
        CountCachedTokens(runner, aRequest, capacityMs, aNowMs);
      candidate.mUsesPerMs = UsesPerMs(
        runner.mCache,
        PrefixCacheKey(aRequest.mModel, aRequest.mSharedParts.back().mId),
        aNowMs);
    }
    candidate.mExtraMs = row.mExtraMs;
    if (aNowMs < runner.mColdUntilMs) {
      candidate.mWorkFactor *= 2;
    }
    candidate.mAffinity = row.mAffinity;
    candidates.push_back(candidate);
  }
  PrefixDecision decision = DecidePrefix(candidates, request);
  const RunnerState& runner = *aRunners[decision.mCandidate].mState;
  const PrefixCandidate& chosen = candidates[decision.mCandidate];
  Placement placement;
  placement.mRunner = runner.mRegistration.mId;
  placement.mExpectedMs = decision.mFirstEventMs;
  placement.mPrefillMs = decision.mPrefillMs;
  placement.mQueueMs = decision.mQueueMs;
  placement.mUncachedTokens =
    request.mSharedTokens - chosen.mCachedTokens + request.mUnsharedTokens;
  placement.mTokenMs = chosen.mTokenMs;
  placement.mRunning = static_cast<int>(std::lround(chosen.mRunning));
  placement.mWaiting = static_cast<int>(std::lround(chosen.mWaiting));
  placement.mPrefixOption = decision.mOption;
  placement.mPrefixReason = decision.mReason;
  placement.mCachedTokens = chosen.mCachedTokens;
  placement.mWorkFactor = chosen.mWorkFactor;
  placement.mSlowdown = SlowdownNow(runner, aNowMs);
  return placement;
}

bool
OnFirstEvent(RunnerState& aRunner,
             const PlacementRequest& aRequest,
             const Placement& aPlacement,
             double aObservedMs,
             TimeMs aNowMs)
{
  if (aNowMs < aRunner.mColdUntilMs || aPlacement.mExpectedMs <= 0) {
    return false;
  }
  double savedMs = static_cast<double>(aPlacement.mCachedTokens) *
                   aRequest.mMsPerToken * aPlacement.mWorkFactor;
  bool isMiss = aPlacement.mCachedTokens > 0 &&
                IsCacheMiss(aObservedMs,
                            aPlacement.mExpectedMs,
                            aPlacement.mExpectedMs + savedMs);
  if (isMiss) {
    for (const PromptPart& part : aRequest.mSharedParts) {
      // A later request may have used the part since.
      auto found =
        aRunner.mCache.mParts.find(PrefixCacheKey(aRequest.mModel, part.mId));
      if (found != aRunner.mCache.mParts.end() &&
          static_cast<double>(aNowMs - found->second.mUsedMs) >= aObservedMs) {
        aRunner.mCache.mParts.erase(found);
      }
    }
    return false;
  }
  // The runner's statement in this answer is the newest.
  double slowdown =
    std::sqrt(aPlacement.mSlowdown * SlowdownNow(aRunner, aNowMs));
  double wait = aPlacement.mQueueMs / aPlacement.mExpectedMs;
  LearnSpeed(aRunner.mSpeed,
             { .mExpectedMs = aPlacement.mExpectedMs / aPlacement.mWorkFactor,
               .mObservedMs = aObservedMs,
               .mSlowdown = slowdown,
               .mCertainty = (1 - wait) * (1 - wait) },
             aNowMs);
  return wait <= kMaxTellingWait;
}

} // namespace savory
