#pragma once

#include "savory/core/crash_suspects.h"
#include "savory/core/fair_share.h"
#include "savory/core/model_choice.h"
#include "savory/core/pool_admission.h"
#include "savory/core/retry_budget.h"
#include "savory/core/routes.h"
#include "savory/core/runners.h"
#include "savory/core/stream_pace.h"
#include "savory/core/version_shift.h"
#include "savory/platform/fleet_documents.h"
#include "savory/platform/fleet_settings.h"
#include "savory/platform/store.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace savory {

// Exponentially weighted moving average of the time that prompts of a service
// wait in the runners' prefill queues.
struct PoolWait
{
  double mMeanMs = 0;
};

// What this host has learned of the load and of the answers of a paced service.
struct PoolKnowledge
{
  // As last counted, and when.
  PoolState mState;
  std::optional<TimeMs> mCountedMs;
  DampedLoad mLoad;
  // By the rank of the request's priority, as those that are served first wait
  // less than placement expects and the others more, and by model.
  std::map<std::pair<int, std::string>, LogSpread> mFirstEventErrors;
  // Moving average of the engine time of the requests sent, in
  // runner-milliseconds.
  double mMeanWorkMs = 0;
  CustomerShares mShares;
  // The priorities of the service's requests in the table of that version.
  std::vector<int> mPriorities;
  std::int64_t mPrioritiesVersion = -1;
};

// An entry host's view of the fleet platform: the store's contents, and what
// the host measured on its own requests or received from its peers.
struct GatewayState
{
  std::shared_ptr<const RouteTable> mTable;
  RouteRowCache mRouteRows;
  RunnerSet mRunners;
  VersionShifts mShifts;
  SessionTable mSessions;
  CrashSuspects mCrashSuspects;
  CrashSuspectOptions mCrashSuspectOptions;
  RetryBudget mRetryBudget;
  RetryBudgetOptions mRetryBudgetOptions;
  // Keyed by service and model; the model of a plain service is empty.
  std::map<std::pair<std::string, std::string>, PrefillSpeed> mPrefillSpeeds;
  // Keyed by service.
  std::map<std::string, PoolWait> mPoolWaits;
  // Keyed by route and model.
  std::map<std::pair<std::string, std::string>, StreamPace> mStreamPaces;
  // For paced services: by service, by service and model, and by route.
  std::map<std::string, PoolKnowledge> mPools;
  std::map<std::pair<std::string, std::string>, TokenPace> mTokenPaces;
  std::map<std::string, AnswerLengths> mAnswerLengths;
  std::mt19937_64 mRandom;
};

// The part of the state that a store change affected.
enum class StateChange
{
  None,
  Table,
  Runners,
  Shift,
};

StateChange
ApplyStoreEntry(GatewayState& aState, const StoreEntry& aEntry, TimeMs aNowMs);

// Applies the deletion of a key. With aGraceUntilMs, which is set around a
// store outage, a runner whose registration was deleted stays until that time.
StateChange
ApplyDeletion(GatewayState& aState,
              const std::string& aKey,
              std::optional<TimeMs> aGraceUntilMs);

// The copy was replaced by one of a newer epoch of the store. Finds the
// progress of roll-outs that the store has lost.
void
OnStoreRestored(GatewayState& aState, const StoreCopy& aCopy);

// Marks as stable the versions that are registered when the process first reads
// the store, except targets of roll-outs. They are used without an order.
void
MarkStableVersions(GatewayState& aState);

// Returns the state as JSON, for operators.
std::string
DumpState(const GatewayState& aState, TimeMs aNowMs);

} // namespace savory
