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
  double mMeanMs = 0;
};

// All that an entry host of the fleet platform believes: what the store says,
// and what it learned from its own requests and its peers.
struct GatewayState
{
  std::shared_ptr<const RouteTable> mTable;
  RunnerSet mRunners;
  VersionShifts mShifts;
  SessionTable mSessions;
  Quarantine mQuarantine;
  QuarantineOptions mQuarantineOptions;
  RetryBudget mRetryBudget;
  RetryBudgetOptions mRetryBudgetOptions;
  // By service and model; plain services have an empty model.
  std::map<std::pair<std::string, std::string>, PrefillSpeed> mPrefillSpeeds;
  std::map<std::string, PoolWait> mPoolWaits;
  // By route and model.
  std::map<std::pair<std::string, std::string>, StreamPace> mStreamPaces;
  std::mt19937_64 mRandom;
};

// What a change of the store did, for those who hold more state.
enum class StateChange
{
  None,
  Table,
  Runners,
  Shift,
};

StateChange
ApplyStoreEntry(GatewayState& aState, const StoreEntry& aEntry, TimeMs aNowMs);

// A key was deleted. Entries of runners that vanish around a store outage are
// kept until aGraceUntilMs, when it is given.
StateChange
ApplyDeletion(GatewayState& aState,
              const std::string& aKey,
              std::optional<TimeMs> aGraceUntilMs);

// Versions that are in use when a process first sees the store are no
// candidates.
void
MarkStableVersions(GatewayState& aState);

// The state of the process as JSON, for operators.
std::string
DumpState(const GatewayState& aState, TimeMs aNowMs);

} // namespace savory
