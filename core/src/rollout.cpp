#include "savory/core/rollout.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace savory {

namespace {

constexpr double kMaxFailureRate = 0.95;
constexpr double kPriorRatings = 100;
constexpr std::size_t kLastStage = kStageShares.size() - 1;

// The change of the log-likelihood ratio by one failed and one passed answer.
struct LogRatioGain
{
  double mFailed = 0;
  double mPassed = 0;
};

LogRatioGain
MakeGain(double aBaselineFailureRate, double aDegradedFailureRate)
{
  return { std::log(aDegradedFailureRate / aBaselineFailureRate),
           std::log((1 - aDegradedFailureRate) / (1 - aBaselineFailureRate)) };
}

double
DegradedFailureRate(double aBaselineFailureRate, double aFailureRatio)
{
  return std::min(kMaxFailureRate, aFailureRatio * aBaselineFailureRate);
}

double
SumGain(const LogRatioGain& aGain, const RatingCounts& aCounts)
{
  return static_cast<double>(aCounts.mFailed) * aGain.mFailed +
         static_cast<double>(aCounts.mPassed) * aGain.mPassed;
}

std::size_t
StageIndex(const Rollout& aRollout)
{
  return static_cast<std::size_t>(
    std::clamp(aRollout.mStage, 0, static_cast<int>(kLastStage)));
}

Model*
FindMutableModel(Configuration& aConfig, const std::string& aName)
{
  auto found =
    std::find_if(aConfig.mModels.begin(),
                 aConfig.mModels.end(),
                 [&](const Model& aModel) { return aModel.mName == aName; });
  return found == aConfig.mModels.end() ? nullptr : &*found;
}

Version*
FindMutableVersion(Model& aModel, const std::string& aName)
{
  auto found = std::find_if(
    aModel.mVersions.begin(),
    aModel.mVersions.end(),
    [&](const Version& aVersion) { return aVersion.mName == aName; });
  return found == aModel.mVersions.end() ? nullptr : &*found;
}

bool
HasServingVersion(const Model& aModel)
{
  return std::any_of(aModel.mVersions.begin(),
                     aModel.mVersions.end(),
                     [](const Version& aVersion) {
                       return aVersion.mState == VersionState::Serving;
                     });
}

} // namespace

SequentialTest
MakeSequentialTest(double aBaselineFailureRate, const RolloutOptions& aOptions)
{
  double good = std::clamp(aBaselineFailureRate,
                           aOptions.mMinFailureRate,
                           kMaxFailureRate / aOptions.mFailureRatio);
  return { good,
           DegradedFailureRate(good, aOptions.mFailureRatio),
           -std::log(aOptions.mFalseStopRate),
           std::log(aOptions.mMissRate / (1 - aOptions.mFalseStopRate)) };
}

double
LogLikelihoodRatio(const SequentialTest& aTest, const RatingCounts& aCounts)
{
  return SumGain(
    MakeGain(aTest.mBaselineFailureRate, aTest.mDegradedFailureRate), aCounts);
}

double
MeanRatingsUntilStop(const SequentialTest& aTest,
                     const RolloutOptions& aOptions)
{
  LogRatioGain gain =
    MakeGain(aTest.mBaselineFailureRate, aTest.mDegradedFailureRate);
  double drift = aTest.mDegradedFailureRate * gain.mFailed +
                 (1 - aTest.mDegradedFailureRate) * gain.mPassed;
  double stop = std::log((1 - aOptions.mMissRate) / aOptions.mFalseStopRate);
  return ((1 - aOptions.mMissRate) * stop +
          aOptions.mMissRate * aTest.mPassBound) /
         drift;
}

RolloutDecision
DecideRollout(const Rollout& aRollout,
              const RatingTable& aRatings,
              bool aRatingUp,
              const RolloutOptions& aOptions)
{
  // 1. The test needs the rating service and a known baseline failure rate.
  if (!aRatingUp) {
    return { RolloutAction::Pause, "the rating service is down" };
  }
  RatingCounts baseline = FirstStepCounts(
    aRatings, QualifiedVersion(aRollout.mModel, aRollout.mBaselineVersion));
  if (TotalRatings(baseline) < aOptions.mMinBaselineRatings) {
    return { RolloutAction::Pause, "the baseline version has too few ratings" };
  }
  // 2. Run the test on all ratings of the candidate so far.
  RatingCounts counts = FirstStepCounts(
    aRatings, QualifiedVersion(aRollout.mModel, aRollout.mTargetVersion));
  SequentialTest test =
    MakeSequentialTest(static_cast<double>(baseline.mFailed) /
                         static_cast<double>(TotalRatings(baseline)),
                       aOptions);
  double ratio = LogLikelihoodRatio(test, counts);
  std::size_t stage = StageIndex(aRollout);
  double bound = test.mPassBound * static_cast<double>(stage + 1) /
                 static_cast<double>(kStageShares.size());
  RolloutAction action = RolloutAction::Continue;
  if (ratio >= test.mStopBound) {
    action = RolloutAction::Stop;
  } else if (ratio <= bound) {
    action =
      stage == kLastStage ? RolloutAction::Finish : RolloutAction::NextStage;
  }
  // 3. The explanation.
  char text[200];
  std::snprintf(text,
                sizeof text,
                "%lld of %lld answers failed against a rate of %.4f; ratio "
                "%.2f, stop at %.2f, stage %zu ends at %.2f",
                static_cast<long long>(counts.mFailed),
                static_cast<long long>(TotalRatings(counts)),
                test.mBaselineFailureRate,
                ratio,
                test.mStopBound,
                stage,
                bound);
  return { action, text };
}

std::optional<Configuration>
StartRollout(const Configuration& aConfig,
             const std::string& aModel,
             const std::string& aBaselineVersion,
             const std::string& aTargetVersion)
{
  Configuration next = aConfig;
  Model* model = FindMutableModel(next, aModel);
  if (!model || aBaselineVersion == aTargetVersion ||
      std::any_of(
        next.mRollouts.begin(),
        next.mRollouts.end(),
        [&](const Rollout& aRollout) { return aRollout.mModel == aModel; })) {
    return std::nullopt;
  }
  Version* baseline = FindMutableVersion(*model, aBaselineVersion);
  Version* target = FindMutableVersion(*model, aTargetVersion);
  if (!baseline || !target || baseline->mState != VersionState::Serving) {
    return std::nullopt;
  }
  target->mState = VersionState::Candidate;
  target->mShare = kStageShares[0];
  next.mRollouts.push_back({ aModel, aBaselineVersion, aTargetVersion, 0 });
  next.mRevision += 1;
  return next;
}

std::optional<Configuration>
ApplyRollout(const Configuration& aConfig,
             const std::string& aModel,
             RolloutAction aAction)
{
  Configuration next = aConfig;
  auto rollout = std::find_if(
    next.mRollouts.begin(), next.mRollouts.end(), [&](const Rollout& aRollout) {
      return aRollout.mModel == aModel;
    });
  Model* model = FindMutableModel(next, aModel);
  if (!model || rollout == next.mRollouts.end()) {
    return std::nullopt;
  }
  Version* baseline = FindMutableVersion(*model, rollout->mBaselineVersion);
  Version* target = FindMutableVersion(*model, rollout->mTargetVersion);
  // No decision reverts an operator's withdrawal.
  if (!baseline || !target || target->mState != VersionState::Candidate) {
    return std::nullopt;
  }
  switch (aAction) {
    case RolloutAction::Continue:
    case RolloutAction::Pause:
      return std::nullopt;
    case RolloutAction::NextStage: {
      std::size_t stage = std::min(StageIndex(*rollout) + 1, kLastStage);
      rollout->mStage = static_cast<int>(stage);
      target->mShare = kStageShares[stage];
      break;
    }
    case RolloutAction::Finish:
      target->mState = VersionState::Serving;
      target->mShare = 0;
      if (baseline->mState == VersionState::Serving) {
        baseline->mState = VersionState::Draining;
      }
      next.mRollouts.erase(rollout);
      break;
    case RolloutAction::Stop:
      target->mState = VersionState::Withdrawn;
      target->mShare = 0;
      next.mRollouts.erase(rollout);
      break;
  }
  next.mRevision += 1;
  return next;
}

bool
MaySendToCandidate(const Rollout& aRollout,
                   int aLocalOutstanding,
                   int aEntries,
                   bool aRatingUp)
{
  int limit =
    kStageMaxOutstanding[StageIndex(aRollout)] / std::max(1, aEntries);
  return aRatingUp && aLocalOutstanding < std::max(1, limit);
}

bool
ShouldRateAnswers(std::int64_t aRatings)
{
  return aRatings < kWatchedRatings;
}

bool
ObserveVersion(RegressionWatch& aWatch,
               const RatingCounts& aCounts,
               double aBaselineFailureRate,
               const RegressionOptions& aOptions)
{
  if (!aWatch.mStarted) {
    aWatch = { std::clamp(aBaselineFailureRate,
                          aOptions.mMinFailureRate,
                          kMaxFailureRate / aOptions.mFailureRatio),
               0,
               aCounts,
               true };
    return false;
  }
  // The order of ratings within a batch is unknown, so the batch counts as one
  // step. Trimmed rows can lower a total, which counts as no ratings.
  RatingCounts batch{
    std::max<std::int64_t>(0, aCounts.mPassed - aWatch.mLastCounts.mPassed),
    std::max<std::int64_t>(0, aCounts.mFailed - aWatch.mLastCounts.mFailed)
  };
  aWatch.mLastCounts = aCounts;
  LogRatioGain gain = MakeGain(
    aWatch.mBaselineFailureRate,
    DegradedFailureRate(aWatch.mBaselineFailureRate, aOptions.mFailureRatio));
  aWatch.mCusum = std::max(0.0, aWatch.mCusum + SumGain(gain, batch));
  return aWatch.mCusum >= std::log(aOptions.mRatingsBetweenFalseAlarms);
}

double
MeanDetectionDelay(double aBaselineFailureRate,
                   const RegressionOptions& aOptions)
{
  double bad =
    DegradedFailureRate(aBaselineFailureRate, aOptions.mFailureRatio);
  LogRatioGain gain = MakeGain(aBaselineFailureRate, bad);
  return std::log(aOptions.mRatingsBetweenFalseAlarms) /
         (bad * gain.mFailed + (1 - bad) * gain.mPassed);
}

std::optional<Configuration>
WithdrawVersion(const Configuration& aConfig,
                const std::string& aModel,
                const std::string& aVersion)
{
  Configuration next = aConfig;
  Model* model = FindMutableModel(next, aModel);
  Version* version = model ? FindMutableVersion(*model, aVersion) : nullptr;
  if (!version || version->mState == VersionState::Withdrawn) {
    return std::nullopt;
  }
  version->mState = VersionState::Withdrawn;
  version->mShare = 0;
  if (!HasServingVersion(*model)) {
    auto draining =
      std::find_if(model->mVersions.rbegin(),
                   model->mVersions.rend(),
                   [](const Version& aOther) {
                     return aOther.mState == VersionState::Draining;
                   });
    if (draining == model->mVersions.rend()) {
      return std::nullopt;
    }
    draining->mState = VersionState::Serving;
  }
  std::erase_if(next.mRollouts, [&](const Rollout& aRollout) {
    return aRollout.mModel == aModel && aRollout.mTargetVersion == aVersion;
  });
  next.mRevision += 1;
  return next;
}

double
FailureRate(const RatingCounts& aCounts, double aPrior)
{
  return (aPrior * kPriorRatings + static_cast<double>(aCounts.mFailed)) /
         (kPriorRatings + static_cast<double>(TotalRatings(aCounts)));
}

} // namespace savory
