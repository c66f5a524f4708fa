#include "savory/core/pool_admission.h"

#include <algorithm>
#include <cmath>

namespace savory {

namespace {

// A request is moved if the other runner is expected to answer within this part
// of the time that the present one still takes, and with at least this chance
// to end in time.
constexpr double kMoveRatio = 0.5;
constexpr double kMinMoveChance = 0.25;

// A request that waits this many times as long as a new one would is not merely
// queued: it was lost, or its connection is broken.
constexpr double kStuckRatio = 4;

constexpr double kMaxLoadPrice = 2;

// Load reports older than this are ignored.
constexpr TimeMs kMaxReportAgeMs = 1000;

// Retry times are spread by this part to either side.
constexpr double kRetrySpread = 0.5;

bool
IsReported(const RunnerState& aRunner, TimeMs aNowMs)
{
  return aRunner.mReportedMs > 0 &&
         aNowMs - aRunner.mReportedMs < kMaxReportAgeMs;
}

bool
HasSpareCapacity(const PoolState& aState, const PoolOptions& aOptions)
{
  return aState.mQueued == 0 &&
         aState.mTaken < aOptions.mSpareOccupancy * aState.mSlots;
}

// What an answer is worth: right, in time, and less if it starts late.
double
Worth(double aQuality,
      const CompletionForecast& aForecast,
      const EscalationRequest& aRequest,
      const EscalationOptions& aOptions)
{
  double isTimely =
    FirstEventChance(aForecast, static_cast<double>(aRequest.mGoalRemainingMs));
  return aQuality *
         EndChance(aForecast, static_cast<double>(aRequest.mRemainingMs)) *
         (isTimely + (1 - isTimely) * aOptions.mLateWorth);
}

} // namespace

int
EstimateRunning(const RunnerState& aRunner, TimeMs aNowMs)
{
  return std::max(aRunner.mInFlight,
                  IsReported(aRunner, aNowMs) ? aRunner.mReportedRunning : 0);
}

PoolState
DescribePool(const RunnerSet& aSet, const std::string& aService, TimeMs aNowMs)
{
  PoolState state;
  int reportedSlots = 0;
  int reportedTaken = 0;
  std::vector<const RunnerState*> unreported;
  for (const auto& [id, runner] : aSet.mRunners) {
    const Registration& registration = runner.mRegistration;
    if (registration.mService != aService || runner.mRemoved ||
        runner.mLeaving || registration.mDraining ||
        aSet.mEvacuatedZones.contains(registration.mZone)) {
      continue;
    }
    state.mSlots += registration.mSlots;
    if (!IsReported(runner, aNowMs)) {
      unreported.push_back(&runner);
      continue;
    }
    int running = EstimateRunning(runner, aNowMs);
    reportedSlots += registration.mSlots;
    reportedTaken += std::min(running, registration.mSlots);
    state.mQueued +=
      std::max(runner.mReportedWaiting, runner.mInFlight - registration.mSlots);
  }
  state.mTaken = reportedTaken;
  double mean =
    reportedSlots > 0 ? static_cast<double>(reportedTaken) / reportedSlots : 0;
  for (const RunnerState* runner : unreported) {
    int slots = runner->mRegistration.mSlots;
    state.mTaken += std::min(
      slots, std::max(runner->mInFlight, static_cast<int>(mean * slots)));
  }
  return state;
}

double
PoolLoad(const PoolState& aState)
{
  return aState.mSlots > 0
           ? static_cast<double>(aState.mTaken + aState.mQueued) / aState.mSlots
           : 0;
}

void
UpdateLoad(DampedLoad& aDamped,
           double aLoad,
           TimeMs aNowMs,
           const PoolOptions& aOptions)
{
  auto passedMs = static_cast<double>(aNowMs - aDamped.mUpdatedMs);
  double kept = std::exp2(-passedMs / aOptions.mDampingHalfLifeMs);
  aDamped.mLoad = aLoad + kept * (aDamped.mLoad - aLoad);
  aDamped.mUpdatedMs = aNowMs;
}

TimeMs
SpreadRetryMs(double aExpectedMs,
              TimeMs aRemainingMs,
              double aPoint,
              const PoolOptions& aOptions)
{
  double maxMs =
    std::max(0.0, static_cast<double>(aRemainingMs) * aOptions.mMaxRetryRatio);
  // Limited before the spread, so that retries at the limit are spread as well.
  double centreMs =
    std::min(std::max(aExpectedMs, static_cast<double>(aOptions.mMinRetryMs)),
             maxMs / (1 + kRetrySpread));
  return static_cast<TimeMs>(centreMs *
                             (1 - kRetrySpread + 2 * kRetrySpread * aPoint));
}

PoolDecision
DecidePool(const PoolState& aState,
           const PoolRequest& aRequest,
           TimeMs aNowMs,
           const PoolOptions& aOptions)
{
  PoolDecision decision;
  if (aRequest.mOptions.empty()) {
    return decision;
  }
  TimeMs remainingMs = aRequest.mDeadlineMs - aNowMs;
  auto leftMs = static_cast<double>(remainingMs);
  // The first option that should end in time, or else the likeliest to.
  double bestChance = -1;
  double leastMs = 0;
  for (std::size_t i = 0; i < aRequest.mOptions.size(); ++i) {
    const CompletionForecast& forecast = aRequest.mOptions[i].mForecast;
    double endMs = EstimateEndMs(forecast, aOptions.mOptimisticQuantile);
    leastMs = i == 0 ? endMs : std::min(leastMs, endMs);
    double chance = EndChance(forecast, leftMs);
    if (chance > bestChance) {
      bestChance = chance;
      decision.mOption = i;
    }
    if (EstimateEndMs(forecast, 0.5) <= leftMs) {
      break;
    }
  }
  decision.mOptimisticMs = leastMs;
  decision.mMedianMs =
    EstimateEndMs(aRequest.mOptions[decision.mOption].mForecast, 0.5);
  decision.mAction =
    decision.mOption > 0 ? PoolAction::PlaceSmaller : PoolAction::Place;
  if (leastMs > leftMs) {
    if (HasSpareCapacity(aState, aOptions)) {
      decision.mReason = PoolReason::SpareCapacity;
    } else if (aRequest.mPoint < aOptions.mProbeShare) {
      decision.mReason = PoolReason::Probe;
    } else {
      decision.mAction = PoolAction::Refuse;
      decision.mReason = PoolReason::CannotEnd;
      decision.mAfterMs =
        SpreadRetryMs(leastMs - leftMs, remainingMs, aRequest.mPoint, aOptions);
    }
    return decision;
  }
  decision.mReason =
    decision.mOption > 0 ? PoolReason::SmallerFits : PoolReason::Fits;
  auto maxHoldMs =
    std::min(aOptions.mMaxHoldMs,
             static_cast<TimeMs>(aOptions.mMaxHoldRatio *
                                 static_cast<double>(aRequest.mLatencyGoalMs)));
  TimeMs holdMs = aRequest.mArrivedMs + maxHoldMs - aNowMs;
  bool isFull = aState.mQueued > 0 && aState.mDampedLoad >= aOptions.mFullLoad;
  if (aRequest.mIsOverShare && isFull && holdMs > 0 &&
      decision.mMedianMs + static_cast<double>(holdMs) <= leftMs) {
    decision.mAction = PoolAction::Wait;
    decision.mReason = PoolReason::OverShare;
    decision.mAfterMs = holdMs;
  }
  return decision;
}

double
LoadPrice(double aDampedLoad, double aPoolWaitMs, TimeMs aLatencyGoalMs)
{
  double byLoad = 2 * aDampedLoad - 1;
  double byWait = aLatencyGoalMs > 0
                    ? 2 * aPoolWaitMs / static_cast<double>(aLatencyGoalMs)
                    : 0;
  return std::clamp(std::max(byLoad, byWait), 0.0, kMaxLoadPrice);
}

double
LargerModelQuality(double aConfidence,
                   std::size_t aRank,
                   std::size_t aCount,
                   const EscalationOptions& aOptions)
{
  double own = std::clamp(aConfidence / 100, 0.0, 1.0);
  double gain = std::max(0.0, aOptions.mLargestQuality - own);
  return own + gain * (aRank >= aCount ? 1 : aOptions.mMiddleShare);
}

std::optional<std::size_t>
ChooseLargerModel(const EscalationRequest& aRequest,
                  const EscalationOptions& aOptions)
{
  if (aRequest.mConfidence >= aOptions.mKeepConfidence) {
    return std::nullopt;
  }
  double keptWorth = Worth(std::clamp(aRequest.mConfidence / 100, 0.0, 1.0),
                           aRequest.mReady,
                           aRequest,
                           aOptions);
  std::optional<std::size_t> best;
  double bestGain = aOptions.mMinGain;
  for (std::size_t i = 0; i < aRequest.mLarger.size(); ++i) {
    const PoolOption& option = aRequest.mLarger[i];
    double endChance =
      EndChance(option.mForecast, static_cast<double>(aRequest.mRemainingMs));
    if (endChance < aOptions.mMinEndChance) {
      continue;
    }
    double price = aRequest.mMeanWorkMs > 0
                     ? aRequest.mLoadPrice * aOptions.mMeanWorth *
                         option.mWorkMs / aRequest.mMeanWorkMs
                     : 0;
    double gain = Worth(option.mQuality, option.mForecast, aRequest, aOptions) -
                  keptWorth - price;
    if (gain > bestGain) {
      bestGain = gain;
      best = i;
    }
  }
  return best;
}

bool
ShouldMoveAttempt(const OverdueAttempt& aAttempt)
{
  // A request at a silent runner is expected to wait as long again as it has.
  auto waitedMs = static_cast<double>(aAttempt.mWaitedMs);
  bool isQueued =
    aAttempt.mRunnerAnswers && waitedMs <= kStuckRatio * aAttempt.mHereMs;
  double hereMs =
    isQueued ? aAttempt.mHereMs : std::max(aAttempt.mHereMs, waitedMs);
  return aAttempt.mElsewhereChance >= kMinMoveChance &&
         aAttempt.mElsewhereMs <= kMoveRatio * hereMs;
}

} // namespace savory
