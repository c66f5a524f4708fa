#pragma once

#include "savory/core/config.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savory {

// Limits of the orders that an agent gives to its engine. `mStartSpreadMs` is
// the time over which the agents of a fleet start to load one new version, so
// that they do not all ask the rate-limited weight store at once.
// `mFencingWaitMs` is how long a new agent waits before its first order to an
// engine that ignores fencing numbers: the longest time that an earlier agent
// of the same engine may still act, by its lease and the worst clock drift.
struct LoadingOptions
{
  TimeMs mStartSpreadMs = 20000;
  TimeMs mFencingWaitMs = 6000;
  TimeMs mWithdrawnGraceMs = 60000;
  TimeMs mOrderIntervalMs = 2000;
  // Only tests switch the wait off.
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

// An order: the "model@version" that the engine is to load or unload.
struct LoadOrder
{
  LoadAction mAction = LoadAction::Load;
  std::string mTarget;
};

// What an agent remembers of the versions at its engine: since when each was
// wanted but not loaded, or loaded but withdrawn, and when it last ordered.
struct LoadOrderState
{
  std::map<std::string, TimeMs> mMissingSince;
  std::map<std::string, TimeMs> mUnwantedSince;
  std::optional<TimeMs> mLastOrderMs;
};

// The next order to give, or nothing. An engine gets versions of those models
// of which it has one already; which models it hosts is the operators' choice.
// `aStartedMs` is the start of this agent.
std::optional<LoadOrder>
NextLoadOrder(LoadOrderState& aLoading,
              const LoadingOptions& aOptions,
              const Configuration& aConfig,
              const std::vector<std::string>& aLoaded,
              std::string_view aHost,
              bool aEngineChecksFencing,
              TimeMs aStartedMs,
              TimeMs aNowMs);

} // namespace savory
