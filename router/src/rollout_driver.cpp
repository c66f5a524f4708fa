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
      DriveRollout(rollout);
    }
  }
  for (const auto& model : config->mModels) {
    if (mFleet.IsRendezvousOwner("rollout/" + model.mName)) {
      WatchVersions(model);
    }
  }
}

void
RolloutDriver::DriveRollout(const Rollout& aRollout)
{
  RolloutDecision decision =
    DecideRollout(aRollout, mRater.Table(), mRater.IsUp());
  if (decision.mAction == RolloutAction::Continue ||
      decision.mAction == RolloutAction::Pause) {
    return;
  }
  // The decision holds for this stage of this roll-out only; the mutation does
  // nothing when another process has moved it on.
  Write(aRollout.mModel,
        std::string(ToName(kRolloutActionNames, decision.mAction)) + ": " +
          decision.mReason,
        [aRollout, action = decision.mAction](Configuration& aConfig) {
          for (const auto& rollout : aConfig.mRollouts) {
            if (rollout.mModel == aRollout.mModel &&
                rollout.mTargetVersion == aRollout.mTargetVersion &&
                rollout.mStage == aRollout.mStage) {
              auto changed = ApplyRollout(aConfig, rollout.mModel, action);
              if (changed) {
                aConfig = *changed;
              }
              return;
            }
          }
        });
}

// Withdraws a serving version whose failure rate has risen for certain.
void
RolloutDriver::WatchVersions(const Model& aModel)
{
  for (const auto& version : aModel.mVersions) {
    std::string name = QualifiedVersion(aModel.mName, version.mName);
    if (version.mState != VersionState::Serving) {
      mWatches.erase(name);
      continue;
    }
    RatingCounts counts = FirstStepCounts(mRater.Table(), name);
    double goodRate = FailureRate(counts, 1 - aModel.mQuality);
    if (ObserveVersion(mWatches[name], counts, goodRate)) {
      mWatches.erase(name);
      Write(
        aModel.mName,
        "withdraw " + name + ": its failure rate has risen",
        [model = aModel.mName, broken = version.mName](Configuration& aConfig) {
          auto changed = WithdrawVersion(aConfig, model, broken);
          if (changed) {
            aConfig = *changed;
          }
        });
    }
  }
}

void
RolloutDriver::Write(const std::string& aModel,
                     const std::string& aWhat,
                     const Mutation& aMutation)
{
  if (!mWriting.insert(aModel).second) {
    return;
  }
  LogEvent(Event::RolloutChanged, { { "model", aModel }, { "change", aWhat } });
  auto change = std::make_shared<Change>(
    StartChange("rollout-" + MakeRandomId(mNode), aMutation));
  RunChange(mStore, change, [this, aModel](const Change& aChange) {
    mWriting.erase(aModel);
    if (aChange.mState == ChangeState::Accepted) {
      mFleet.ProbeHead();
    }
  });
}

} // namespace savory
