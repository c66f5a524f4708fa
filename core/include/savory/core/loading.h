#pragma once

#include "savory/core/config.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savory {

// Timing of the load orders that an agent gives to its engine. `mStartSpreadMs`
// is the time over which the agents of a fleet start to load one new version,
// so that they do not all ask the rate-limited weight store at once.
// `mFencingWaitMs` is the time that a new agent waits before its first order to
// an engine that ignores fencing numbers: the longest time for which an earlier
// agent of the same engine may still act, given its lease and the worst clock
// drift. `mWithdrawnGraceMs` is the time for which a withdrawn version stays
// loaded, and `mOrderIntervalMs` the minimum time between two orders.
struct LoadingOptions
{
  TimeMs mStartSpreadMs = 20000;
  TimeMs mFencingWaitMs = 6000;
  TimeMs mWithdrawnGraceMs = 60000;
  TimeMs mOrderIntervalMs = 2000;
  // False only in tests.
  bool mWaitForFencing = true;
};

enum class LoadAction
{
  Load,
  Unload,
};

inline constexpr std::array<EnumName<LoadAction>, 2> kLoadActionNames{ {
  { LoadAction::Load, "load" },
  { LoadAction::Unload, "unload" },
} };

// An order to the engine to load or unload a "model@version".
struct LoadOrder
{
  LoadAction mAction = LoadAction::Load;
  std::string mTarget;
};

// The state of an agent's load orders: since when each version has been wanted
// but not loaded, or loaded but withdrawn, and the time of the last order.
struct LoadOrderState
{
  std::map<std::string, TimeMs> mMissingSince;
  std::map<std::string, TimeMs> mUnwantedSince;
  std::optional<TimeMs> mLastOrderMs;
};

// Returns the next order to give, if any, and counts it as given. An engine
// only gets versions of models of which it has a version already, because the
// operators choose which models it hosts. `aStartedMs` is the start time of
// this agent.
std::optional<LoadOrder>
NextLoadOrder(LoadOrderState& aState,
              const LoadingOptions& aOptions,
              const Configuration& aConfig,
              const std::vector<std::string>& aLoaded,
              std::string_view aHost,
              bool aEngineChecksFencing,
              TimeMs aStartedMs,
              TimeMs aNowMs);

} // namespace savory
