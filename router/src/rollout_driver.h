#pragma once

#include "answer_rater.h"
#include "fleet.h"
#include "savory/core/rollout.h"
#include "savory/platform/store.h"

#include <map>
#include <set>
#include <string>

namespace savory {

// Advances roll-outs and withdraws versions that regress. For each model
// exactly one live entry does so, chosen by rendezvous hashing. When that entry
// fails, the next one continues from the configuration and the merged ratings.
class RolloutDriver
{
public:
  RolloutDriver(Node& aNode,
                Fleet& aFleet,
                StoreClient& aStore,
                const AnswerRater& aRater);

  // Evaluates all roll-outs and versions; called about once a second.
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
  // Models with a change that is being written to the store.
  std::set<std::string> mPendingModels;
};

} // namespace savory
