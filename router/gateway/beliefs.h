#pragma once

#include "savory/core/model_choice.h"
#include "savory/core/quarantine.h"
#include "savory/core/retry_budget.h"
#include "savory/core/routes.h"
#include "savory/core/runners.h"
#include "savory/core/stream_pace.h"
#include "savory/core/version_shift.h"
#include "savory/platform/fleet_settings.h"
#include "savory/platform/store.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace savory {

// How much prompts wait for others on a service's runners, decayed.
struct PoolWait
{
  double mMs = 0;
};

// All that an entry host of the fleet platform believes: what the store says,
// and what it learned from its own requests and its peers.
struct Beliefs
{
  std::shared_ptr<const RouteTable> mTable;
  RunnerSet mRunners;
  VersionShifts mShifts;
  SessionTable mSessions;
  Quarantine mQuarantine;
  QuarantineOptions mQuarantineOptions;
  RetryBudget mBudget;
  RetryBudgetOptions mBudgetOptions;
  // By service and model; plain services have an empty model.
  std::map<std::pair<std::string, std::string>, PrefillSpeed> mSpeeds;
  std::map<std::string, PoolWait> mWaits;
  // By route and model.
  std::map<std::pair<std::string, std::string>, StreamPace> mPaces;
  std::mt19937_64 mRandom;
};

// What a change of the store did, for those who hold more state.
enum class BeliefChange
{
  None,
  Table,
  Runners,
  Shift,
};

BeliefChange
ApplyItem(Beliefs& aBeliefs, const StoreEntry& aEntry, TimeMs aNowMs);

// A key was deleted. Entries of runners that vanish around a store outage are
// kept until aLapsedUntilMs, when it is given.
BeliefChange
ApplyDeletion(Beliefs& aBeliefs,
              const std::string& aKey,
              std::optional<TimeMs> aLapsedUntilMs);

// Versions that are in use when a process first sees the store are no
// candidates.
void
EstablishVersions(Beliefs& aBeliefs);

// The state of the process as JSON, for operators.
std::string
DumpBeliefs(const Beliefs& aBeliefs, TimeMs aNowMs);

} // namespace savory
