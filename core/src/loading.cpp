#include "savory/core/loading.h"

#include "savory/core/identity.h"
#include "savory/core/ratings.h"

#include <algorithm>
#include <set>

namespace savory {

namespace {

// When a host starts to load a version, as a part of the spread. Hosts and
// versions are hashed together, so that no host is always the first.
TimeMs
StartDelay(std::string_view aHost,
           const std::string& aVersion,
           const LoadingOptions& aOptions)
{
  constexpr std::uint64_t kParts = 1000;
  std::uint64_t part = Hash64(std::string(aHost) + "/" + aVersion) % kParts;
  return static_cast<TimeMs>(part) * aOptions.mSpreadMs /
         static_cast<TimeMs>(kParts);
}

// Keeps the time since when each name is in a set; forgets the others.
void
Track(std::map<std::string, TimeMs>& aSince,
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
NextLoadOrder(Loading& aLoading,
              const LoadingOptions& aOptions,
              const Configuration& aConfig,
              const std::vector<std::string>& aLoaded,
              std::string_view aHost,
              bool aChecksFencing,
              TimeMs aStartedMs,
              TimeMs aNowMs)
{
  // 1. What is missing and what is there too much.
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
      std::string name = VersionText(model.mName, version.mName);
      bool withdrawn = version.mState == VersionState::Withdrawn;
      if (!withdrawn && !loaded.contains(name)) {
        missing.insert(name);
      } else if (withdrawn && loaded.contains(name)) {
        unwanted.insert(name);
      }
    }
  }
  Track(aLoading.mMissingSince, missing, aNowMs);
  Track(aLoading.mUnwantedSince, unwanted, aNowMs);

  // 2. Whether any order may be given now. Only time keeps two agents of one
  // engine apart when the engine does not look at fencing numbers.
  bool fenced = aChecksFencing || !aOptions.mWaitForFence ||
                aNowMs - aStartedMs >= aOptions.mFenceMs;
  bool rested =
    !aLoading.mOrderedMs || aNowMs - *aLoading.mOrderedMs >= aOptions.mRetryMs;
  if (!fenced || !rested) {
    return std::nullopt;
  }

  // 3. The order that is due longest.
  for (const auto& [name, since] : aLoading.mMissingSince) {
    if (aNowMs - since >= StartDelay(aHost, name, aOptions)) {
      aLoading.mOrderedMs = aNowMs;
      return LoadOrder{ LoadAction::Load, name };
    }
  }
  for (const auto& [name, since] : aLoading.mUnwantedSince) {
    // The last version of a model stays: without it the engine would no longer
    // count as one that hosts the model.
    std::string model = name.substr(0, name.find('@') + 1);
    auto versions =
      std::count_if(loaded.begin(), loaded.end(), [&](const auto& aName) {
        return aName.starts_with(model);
      });
    if (versions > 1 && aNowMs - since >= aOptions.mKeepWithdrawnMs) {
      aLoading.mOrderedMs = aNowMs;
      return LoadOrder{ LoadAction::Unload, name };
    }
  }
  return std::nullopt;
}

} // namespace savory
