#include "savory/core/loading.h"

#include "savory/core/identity.h"
#include "savory/core/ratings.h"

#include <algorithm>
#include <set>

namespace savory {

namespace {

// The delay within mStartSpreadMs after which a host starts to load a version.
// Host and version are hashed together, so that no host is always the first.
TimeMs
StartDelay(std::string_view aHost,
           const std::string& aVersion,
           const LoadingOptions& aOptions)
{
  constexpr std::uint64_t kParts = 1000;
  std::uint64_t part = Hash64(std::string(aHost) + "/" + aVersion) % kParts;
  return static_cast<TimeMs>(part) * aOptions.mStartSpreadMs /
         static_cast<TimeMs>(kParts);
}

// Records since when each name has been in a set, and removes the other names.
void
UpdateSince(std::map<std::string, TimeMs>& aSince,
            const std::set<std::string>& aNames,
            TimeMs aNowMs)
{
  std::erase_if(aSince,
                [&](const auto& aRow) { return !aNames.contains(aRow.first); });
  for (const auto& name : aNames) {
    aSince.try_emplace(name, aNowMs);
  }
}

} // namespace

std::optional<LoadOrder>
NextLoadOrder(LoadOrderState& aState,
              const LoadingOptions& aOptions,
              const Configuration& aConfig,
              const std::vector<std::string>& aLoaded,
              std::string_view aHost,
              bool aEngineChecksFencing,
              TimeMs aStartedMs,
              TimeMs aNowMs)
{
  // 1. Find the versions that are missing and the withdrawn ones still loaded.
  std::set<std::string> loaded(aLoaded.begin(), aLoaded.end());
  std::set<std::string> models;
  for (const auto& version : loaded) {
    models.insert(version.substr(0, version.find('@')));
  }
  std::set<std::string> missing;
  std::set<std::string> unwanted;
  for (const auto& model : aConfig.mModels) {
    if (!models.contains(model.mName)) {
      continue;
    }
    for (const auto& version : model.mVersions) {
      std::string name = QualifiedVersion(model.mName, version.mName);
      bool withdrawn = version.mState == VersionState::Withdrawn;
      if (!withdrawn && !loaded.contains(name)) {
        missing.insert(name);
      } else if (withdrawn && loaded.contains(name)) {
        unwanted.insert(name);
      }
    }
  }
  UpdateSince(aState.mMissingSince, missing, aNowMs);
  UpdateSince(aState.mUnwantedSince, unwanted, aNowMs);

  // 2. Check whether any order may be given now. If the engine does not check
  // fencing numbers, only the waiting time keeps two of its agents from giving
  // orders at the same time.
  bool fenced = aEngineChecksFencing || !aOptions.mWaitForFencing ||
                aNowMs - aStartedMs >= aOptions.mFencingWaitMs;
  bool intervalElapsed =
    !aState.mLastOrderMs ||
    aNowMs - *aState.mLastOrderMs >= aOptions.mOrderIntervalMs;
  if (!fenced || !intervalElapsed) {
    return std::nullopt;
  }

  // 3. Give the first order that is due, loads before unloads.
  for (const auto& [name, since] : aState.mMissingSince) {
    if (aNowMs - since >= StartDelay(aHost, name, aOptions)) {
      aState.mLastOrderMs = aNowMs;
      return LoadOrder{ LoadAction::Load, name };
    }
  }
  for (const auto& [name, since] : aState.mUnwantedSince) {
    // The last version of a model stays loaded, because an engine without any
    // version would no longer count as hosting the model.
    std::string model = name.substr(0, name.find('@') + 1);
    auto versions =
      std::count_if(loaded.begin(), loaded.end(), [&](const auto& aName) {
        return aName.starts_with(model);
      });
    if (versions > 1 && aNowMs - since >= aOptions.mWithdrawnGraceMs) {
      aState.mLastOrderMs = aNowMs;
      return LoadOrder{ LoadAction::Unload, name };
    }
  }
  return std::nullopt;
}

} // namespace savory
