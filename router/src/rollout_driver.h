#pragma once

#include "answer_rater.h"
#include "fleet.h"
#include "savory/core/rollout.h"
#include "savory/platform/store.h"

#include <map>
#include <set>
#include <string>

namespace savory {

// Carries roll-outs on and withdraws versions that turn bad. Each model has
// one live entry that does so; when it dies the next one goes on from the
// configuration and the merged ratings.
class RolloutDriver
{
public:
  RolloutDriver(Node& aNode,
                Fleet& aFleet,
                StoreClient& aStore,
                const AnswerRater& aRater);

  // Decides anew; called about once a second.
  void Tick();

private:
  void AdvanceRollout(const Rollout& aRollout);
  void WithdrawRegressions(const Model& aModel);
  void SubmitChange(const std::string& aModel,
                    const std::string& aDescription,
                    const Mutation& aMutation);

  Node& mNode;
  Fleet& mFleet;
  StoreClient& mStore;
  const AnswerRater& mRater;
  std::map<std::string, RegressionWatch> mRegressionWatches;
  // Models whose change is on its way to the store.
  std::set<std::string> mPendingModels;
};

} // namespace savory
