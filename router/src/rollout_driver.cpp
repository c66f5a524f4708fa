#include "rollout_driver.h"

#include "config_writer.h"
#include "savory/net/log.h"

#include <algorithm>

namespace savory {

RolloutDriver::RolloutDriver(Node& aNode,
                             Fleet& aFleet,
                             StoreClient& aStore,
                             const AnswerRater& aRater)
  : mNode(aNode)
  , mFleet(aFleet)
  , mStore(aStore)
  , mRater(aRater)
{
}

void
RolloutDriver::Tick()
{
  auto config = mNode.mConfig;
  if (!config || mNode.mDraining) {
    return;
  }
  for (const auto& rollout : config->mRollouts) {
    if (mFleet.IsRendezvousOwner("rollout/" + rollout.mModel)) {
      AdvanceRollout(rollout);
    }
  }
  for (const auto& model : config->mModels) {
    if (mFleet.IsRendezvousOwner("rollout/" + model.mName)) {
      WithdrawRegressions(model);
    }
  }
}

void
RolloutDriver::AdvanceRollout(const Rollout& aRollout)
{
  RolloutDecision decision =
    DecideRollout(aRollout, mRater.Table(), mRater.IsAvailable());
  if (decision.mAction == RolloutAction::Continue ||
      decision.mAction == RolloutAction::Pause) {
    return;
  }
  // The decision holds only for this stage of this roll-out. The mutation does
  // nothing when another process has advanced the roll-out meanwhile.
  SubmitChange(aRollout.mModel,
               std::string(ToName(kRolloutActionNames, decision.mAction)) +
                 ": " + decision.mReason,
               [aRollout, action = decision.mAction](Configuration& aConfig) {
                 for (const auto& rollout : aConfig.mRollouts) {
                   if (rollout.mModel == aRollout.mModel &&
                       rollout.mTargetVersion == aRollout.mTargetVersion &&
                       rollout.mStage == aRollout.mStage) {
                     auto changed =
                       ApplyRollout(aConfig, rollout.mModel, action);
                     if (changed) {
                       aConfig = *changed;
                     }
                     return;
                   }
                 }
               });
}

// Withdraws serving versions whose failure rate has risen significantly.
void
RolloutDriver::WithdrawRegressions(const Model& aModel)
{
  for (const auto& version : aModel.mVersions) {
    std::string name = QualifiedVersion(aModel.mName, version.mName);
    if (version.mState != VersionState::Serving) {
      mRegressionWatches.erase(name);
      continue;
    }
    RatingCounts counts = FirstStepCounts(mRater.Table(), name);
    double baselineFailureRate = FailureRate(counts, 1 - aModel.mQuality);
    if (ObserveVersion(mRegressionWatches[name], counts, baselineFailureRate)) {
      mRegressionWatches.erase(name);
      SubmitChange(
        aModel.mName,
        "withdraw " + name + ": its failure rate rose above the baseline",
        [model = aModel.mName,
         versionName = version.mName](Configuration& aConfig) {
          auto changed = WithdrawVersion(aConfig, model, versionName);
          if (changed) {
            aConfig = *changed;
          }
        });
    }
  }
}

void
RolloutDriver::SubmitChange(const std::string& aModel,
                            const std::string& aDescription,
                            const Mutation& aMutation)
{
  if (!mPendingModels.insert(aModel).second) {
    return;
  }
  LogEvent(Event::RolloutChanged,
           { { "model", aModel }, { "change", aDescription } });
  auto change = std::make_shared<Change>(
    StartChange("rollout-" + MakeRandomId(mNode), aMutation));
  RunChange(mStore, change, [this, aModel](const Change& aChange) {
    mPendingModels.erase(aModel);
    if (aChange.mState == ChangeState::Accepted) {
      mFleet.ProbeHead();
    }
  });
}

} // namespace savory
