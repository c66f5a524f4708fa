#include "savory/core/rollout.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace savory {

namespace {

constexpr double kHighestRate = 0.95;
constexpr double kPriorRatings = 100;
constexpr std::size_t kLastStage = kStageShares.size() - 1;

// The gain of the log-likelihood ratio from one failed and one passed answer.
struct Gain
{
  double mFailed = 0;
  double mPassed = 0;
};

Gain
GainOf(double aGoodRate, double aBadRate)
{
  return { std::log(aBadRate / aGoodRate),
           std::log((1 - aBadRate) / (1 - aGoodRate)) };
}

double
BadRate(double aGoodRate, double aRatio)
{
  return std::min(kHighestRate, aRatio * aGoodRate);
}

double
CountedGain(const Gain& aGain, const RatingCounts& aCounts)
{
  return static_cast<double>(aCounts.mFailed) * aGain.mFailed +
         static_cast<double>(aCounts.mPassed) * aGain.mPassed;
}

std::size_t
StageOf(const Rollout& aRollout)
{
  return static_cast<std::size_t>(
    std::clamp(aRollout.mStage, 0, static_cast<int>(kLastStage)));
}

Model*
ModelIn(Configuration& aConfig, const std::string& aName)
{
  auto found =
    std::find_if(aConfig.mModels.begin(),
                 aConfig.mModels.end(),
                 [&](const Model& aModel) { return aModel.mName == aName; });
  return found == aConfig.mModels.end() ? nullptr : &*found;
}

Version*
VersionIn(Model& aModel, const std::string& aName)
{
  auto found = std::find_if(
    aModel.mVersions.begin(),
    aModel.mVersions.end(),
    [&](const Version& aVersion) { return aVersion.mName == aName; });
  return found == aModel.mVersions.end() ? nullptr : &*found;
}

bool
AnyServing(const Model& aModel)
{
  return std::any_of(aModel.mVersions.begin(),
                     aModel.mVersions.end(),
                     [](const Version& aVersion) {
                       return aVersion.mState == VersionState::Serving;
                     });
}

} // namespace

SequentialTest
MakeTest(double aGoodRate, const RolloutOptions& aOptions)
{
  double good =
    std::clamp(aGoodRate, aOptions.mLeastRate, kHighestRate / aOptions.mRatio);
  return { good,
           BadRate(good, aOptions.mRatio),
           -std::log(aOptions.mFalseStop),
           std::log(aOptions.mMiss / (1 - aOptions.mFalseStop)) };
}

double
LogLikelihoodRatio(const SequentialTest& aTest, const RatingCounts& aCounts)
{
  return CountedGain(GainOf(aTest.mGoodRate, aTest.mBadRate), aCounts);
}

double
MeanRatingsUntilStop(const SequentialTest& aTest,
                     const RolloutOptions& aOptions)
{
  Gain gain = GainOf(aTest.mGoodRate, aTest.mBadRate);
  double drift =
    aTest.mBadRate * gain.mFailed + (1 - aTest.mBadRate) * gain.mPassed;
  double stop = std::log((1 - aOptions.mMiss) / aOptions.mFalseStop);
  return ((1 - aOptions.mMiss) * stop + aOptions.mMiss * aTest.mPass) / drift;
}

RolloutDecision
DecideRollout(const Rollout& aRollout,
              const RatingTable& aRatings,
              bool aRatingUp,
              const RolloutOptions& aOptions)
{
  // 1. Without ratings nothing is known of the candidate.
  if (!aRatingUp) {
    return { RolloutAction::Pause, "the rating service is down" };
  }
  RatingCounts before = FirstStepCounts(
    aRatings, VersionText(aRollout.mModel, aRollout.mBaselineVersion));
  if (TotalOf(before) < aOptions.mLeastPredecessor) {
    return { RolloutAction::Pause, "the predecessor has too few ratings" };
  }
  // 2. The test on all ratings of the candidate so far.
  RatingCounts counts = FirstStepCounts(
    aRatings, VersionText(aRollout.mModel, aRollout.mTargetVersion));
  SequentialTest test = MakeTest(static_cast<double>(before.mFailed) /
                                   static_cast<double>(TotalOf(before)),
                                 aOptions);
  double ratio = LogLikelihoodRatio(test, counts);
  std::size_t stage = StageOf(aRollout);
  double bound = test.mPass * static_cast<double>(stage + 1) /
                 static_cast<double>(kStageShares.size());
  RolloutAction action = RolloutAction::Continue;
  if (ratio >= test.mStop) {
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
                static_cast<long long>(TotalOf(counts)),
                test.mGoodRate,
                ratio,
                test.mStop,
                stage,
                bound);
  return { action, text };
}

std::optional<Configuration>
StartRollout(const Configuration& aConfig,
             const std::string& aModel,
             const std::string& aFrom,
             const std::string& aTo)
{
  Configuration next = aConfig;
  Model* model = ModelIn(next, aModel);
  if (!model || aFrom == aTo ||
      std::any_of(
        next.mRollouts.begin(),
        next.mRollouts.end(),
        [&](const Rollout& aRollout) { return aRollout.mModel == aModel; })) {
    return std::nullopt;
  }
  Version* from = VersionIn(*model, aFrom);
  Version* to = VersionIn(*model, aTo);
  if (!from || !to || from->mState != VersionState::Serving) {
    return std::nullopt;
  }
  to->mState = VersionState::Candidate;
  to->mShare = kStageShares[0];
  next.mRollouts.push_back({ aModel, aFrom, aTo, 0 });
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
  Model* model = ModelIn(next, aModel);
  if (!model || rollout == next.mRollouts.end()) {
    return std::nullopt;
  }
  Version* from = VersionIn(*model, rollout->mBaselineVersion);
  Version* to = VersionIn(*model, rollout->mTargetVersion);
  // An operator's withdrawal stands: no decision brings a version back.
  if (!from || !to || to->mState != VersionState::Candidate) {
    return std::nullopt;
  }
  switch (aAction) {
    case RolloutAction::Continue:
    case RolloutAction::Pause:
      return std::nullopt;
    case RolloutAction::NextStage: {
      std::size_t stage = std::min(StageOf(*rollout) + 1, kLastStage);
      rollout->mStage = static_cast<int>(stage);
      to->mShare = kStageShares[stage];
      break;
    }
    case RolloutAction::Finish:
      to->mState = VersionState::Serving;
      to->mShare = 0;
      if (from->mState == VersionState::Serving) {
        from->mState = VersionState::Draining;
      }
      next.mRollouts.erase(rollout);
      break;
    case RolloutAction::Stop:
      to->mState = VersionState::Withdrawn;
      to->mShare = 0;
      next.mRollouts.erase(rollout);
      break;
  }
  next.mRevision += 1;
  return next;
}

bool
MayTakeCandidate(const Rollout& aRollout,
                 int aOwnOutstanding,
                 int aEntries,
                 bool aRatingUp)
{
  int limit = kStageOutstanding[StageOf(aRollout)] / std::max(1, aEntries);
  return aRatingUp && aOwnOutstanding < std::max(1, limit);
}

bool
WantsRating(std::int64_t aRatings)
{
  return aRatings < kWatchedRatings;
}

bool
ObserveVersion(RegressionWatch& aWatch,
               const RatingCounts& aCounts,
               double aGoodRate,
               const RegressionOptions& aOptions)
{
  if (!aWatch.mStarted) {
    aWatch = { std::clamp(aGoodRate,
                          aOptions.mLeastRate,
                          kHighestRate / aOptions.mRatio),
               0,
               aCounts,
               true };
    return false;
  }
  // Within one batch the order is unknown; the batch counts as one step. Rows
  // that were trimmed can lower a total, which counts as nothing.
  RatingCounts batch{
    std::max<std::int64_t>(0, aCounts.mPassed - aWatch.mSeen.mPassed),
    std::max<std::int64_t>(0, aCounts.mFailed - aWatch.mSeen.mFailed)
  };
  aWatch.mSeen = aCounts;
  Gain gain =
    GainOf(aWatch.mGoodRate, BadRate(aWatch.mGoodRate, aOptions.mRatio));
  aWatch.mSum = std::max(0.0, aWatch.mSum + CountedGain(gain, batch));
  return aWatch.mSum >= std::log(aOptions.mRatingsBetweenFalseAlarms);
}

double
MeanDetectionDelay(double aGoodRate, const RegressionOptions& aOptions)
{
  double bad = BadRate(aGoodRate, aOptions.mRatio);
  Gain gain = GainOf(aGoodRate, bad);
  return std::log(aOptions.mRatingsBetweenFalseAlarms) /
         (bad * gain.mFailed + (1 - bad) * gain.mPassed);
}

std::optional<Configuration>
WithdrawVersion(const Configuration& aConfig,
                const std::string& aModel,
                const std::string& aVersion)
{
  Configuration next = aConfig;
  Model* model = ModelIn(next, aModel);
  Version* version = model ? VersionIn(*model, aVersion) : nullptr;
  if (!version || version->mState == VersionState::Withdrawn) {
    return std::nullopt;
  }
  version->mState = VersionState::Withdrawn;
  version->mShare = 0;
  if (!AnyServing(*model)) {
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
         (kPriorRatings + static_cast<double>(TotalOf(aCounts)));
}

} // namespace savory
