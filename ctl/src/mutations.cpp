#include "mutations.h"

#include "savory/core/rollout.h"

#include <algorithm>

namespace savory {

namespace {

template<class T>
T*
FindItem(std::vector<T>& aItems, const std::string& aName)
{
  auto found = std::find_if(aItems.begin(), aItems.end(), [&](const T& aItem) {
    return aItem.mName == aName;
  });
  return found == aItems.end() ? nullptr : &*found;
}

tl::unexpected<std::string>
MakeNotFoundError(const std::string& aKind, const std::string& aName)
{
  return tl::unexpected("there is no " + aKind + " \"" + aName + "\"");
}

bool
IsRolloutTarget(const Configuration& aConfig,
                const std::string& aModel,
                const std::string& aVersion)
{
  return std::any_of(aConfig.mRollouts.begin(),
                     aConfig.mRollouts.end(),
                     [&](const Rollout& aRollout) {
                       return aRollout.mModel == aModel &&
                              aRollout.mTargetVersion == aVersion;
                     });
}

bool
IsRollingOut(const Configuration& aConfig, const Rollout& aRollout)
{
  return std::any_of(aConfig.mRollouts.begin(),
                     aConfig.mRollouts.end(),
                     [&](const Rollout& aOther) {
                       return aOther.mModel == aRollout.mModel &&
                              aOther.mBaselineVersion ==
                                aRollout.mBaselineVersion &&
                              aOther.mTargetVersion == aRollout.mTargetVersion;
                     });
}

MutationResult
EnsureRolloutStarted(const Configuration& aConfig, const Rollout& aRollout)
{
  if (IsRollingOut(aConfig, aRollout)) {
    return aConfig;
  }
  auto next = StartRollout(aConfig,
                           aRollout.mModel,
                           aRollout.mBaselineVersion,
                           aRollout.mTargetVersion);
  if (next) {
    return *next;
  }
  const Version* baseline = FindVersion(*FindModel(aConfig, aRollout.mModel),
                                        aRollout.mBaselineVersion);
  if (baseline->mState != VersionState::Serving) {
    return tl::unexpected(
      "version \"" + aRollout.mBaselineVersion + "\" is " +
      std::string(ToName(kVersionStateNames, baseline->mState)) +
      ", not serving");
  }
  return tl::unexpected("model \"" + aRollout.mModel +
                        "\" has another roll-out in progress");
}

MutationResult
RevertFinishedRollout(const Configuration& aConfig, const Rollout& aRollout)
{
  Configuration next = aConfig;
  Model* model = FindItem(next.mModels, aRollout.mModel);
  Version* baseline = FindItem(model->mVersions, aRollout.mBaselineVersion);
  Version* target = FindItem(model->mVersions, aRollout.mTargetVersion);
  if (IsRolloutTarget(aConfig, aRollout.mModel, aRollout.mBaselineVersion) ||
      IsRolloutTarget(aConfig, aRollout.mModel, aRollout.mTargetVersion)) {
    return tl::unexpected("model \"" + aRollout.mModel +
                          "\" has another roll-out in progress");
  }
  baseline->mState = VersionState::Serving;
  baseline->mShare = 0;
  target->mState = VersionState::Withdrawn;
  target->mShare = 0;
  return next;
}

// Returns the list of a customer that holds an item: mServices for a service,
// mAllowedModels for a model or version.
tl::expected<std::vector<std::string>*, std::string>
FindAllowList(const Configuration& aConfig,
              Customer& aCustomer,
              const std::string& aItem)
{
  if (FindService(aConfig, aItem)) {
    return &aCustomer.mServices;
  }
  auto at = aItem.find('@');
  const Model* model = FindModel(aConfig, aItem.substr(0, at));
  if (!model ||
      (at != std::string::npos && !FindVersion(*model, aItem.substr(at + 1)))) {
    return MakeNotFoundError("model, version or service", aItem);
  }
  return &aCustomer.mAllowedModels;
}

} // namespace

MutationResult
SetPreset(const Configuration& aConfig, const std::string& aPreset)
{
  Configuration next = aConfig;
  if (!FindItem(next.mPresets, aPreset)) {
    return MakeNotFoundError("preset", aPreset);
  }
  next.mPresetInForce = aPreset;
  return next;
}

MutationResult
AddVersion(const Configuration& aConfig,
           const std::string& aModel,
           const std::string& aVersion)
{
  Configuration next = aConfig;
  Model* model = FindItem(next.mModels, aModel);
  if (!model) {
    return MakeNotFoundError("model", aModel);
  }
  if (FindItem(model->mVersions, aVersion)) {
    return tl::unexpected("model \"" + aModel + "\" already has version \"" +
                          aVersion + "\"");
  }
  model->mVersions.push_back({ aVersion, VersionState::Withdrawn, 0 });
  return next;
}

MutationResult
SetVersionState(const Configuration& aConfig,
                const std::string& aModel,
                const std::string& aVersion,
                VersionState aState)
{
  Configuration next = aConfig;
  Model* model = FindItem(next.mModels, aModel);
  if (!model) {
    return MakeNotFoundError("model", aModel);
  }
  Version* version = FindItem(model->mVersions, aVersion);
  if (!version) {
    return MakeNotFoundError("version", aModel + "@" + aVersion);
  }
  if (version->mState == aState) {
    return next;
  }
  if (aState == VersionState::Withdrawn) {
    auto withdrawn = WithdrawVersion(aConfig, aModel, aVersion);
    if (!withdrawn) {
      return tl::unexpected("no version of model \"" + aModel +
                            "\" would be left to serve");
    }
    return *withdrawn;
  }
  if (IsRolloutTarget(aConfig, aModel, aVersion)) {
    return tl::unexpected("version \"" + aVersion +
                          "\" is being rolled out; use rollout");
  }
  version->mState = aState;
  version->mShare = 0;
  bool serving = std::any_of(model->mVersions.begin(),
                             model->mVersions.end(),
                             [](const Version& aOther) {
                               return aOther.mState == VersionState::Serving;
                             });
  if (!serving) {
    return tl::unexpected("no version of model \"" + aModel +
                          "\" would be left to serve");
  }
  return next;
}

MutationResult
ChangeRollout(const Configuration& aConfig,
              RolloutCommand aCommand,
              const Rollout& aRollout)
{
  const Model* model = FindModel(aConfig, aRollout.mModel);
  if (!model) {
    return MakeNotFoundError("model", aRollout.mModel);
  }
  for (const auto& version :
       { aRollout.mBaselineVersion, aRollout.mTargetVersion }) {
    if (!FindVersion(*model, version)) {
      return MakeNotFoundError("version", aRollout.mModel + "@" + version);
    }
  }
  if (aRollout.mBaselineVersion == aRollout.mTargetVersion) {
    return tl::unexpected(std::string("the two versions are the same"));
  }
  if (aCommand == RolloutCommand::Start) {
    return EnsureRolloutStarted(aConfig, aRollout);
  }
  bool inProgress = IsRollingOut(aConfig, aRollout);
  if (!inProgress && aCommand == RolloutCommand::Undo) {
    return RevertFinishedRollout(aConfig, aRollout);
  }
  if (!inProgress) {
    return tl::unexpected("there is no roll-out of model \"" + aRollout.mModel +
                          "\" from \"" + aRollout.mBaselineVersion +
                          "\" to \"" + aRollout.mTargetVersion + "\"");
  }
  RolloutAction action = RolloutAction::Stop;
  if (aCommand == RolloutCommand::Continue) {
    auto found = std::find_if(
      aConfig.mRollouts.begin(),
      aConfig.mRollouts.end(),
      [&](const Rollout& aOther) { return aOther.mModel == aRollout.mModel; });
    bool last = found->mStage + 1 >= static_cast<int>(kStageShares.size());
    action = last ? RolloutAction::Finish : RolloutAction::NextStage;
  }
  auto next = ApplyRollout(aConfig, aRollout.mModel, action);
  if (!next) {
    return tl::unexpected("version \"" + aRollout.mTargetVersion +
                          "\" is not a candidate any more");
  }
  return *next;
}

MutationResult
SetZoneOut(const Configuration& aConfig, const std::string& aZone)
{
  Configuration next = aConfig;
  Zone* zone = FindItem(next.mZones, aZone);
  if (!zone) {
    return MakeNotFoundError("zone", aZone);
  }
  zone->mState = ZoneState::Out;
  return next;
}

MutationResult
AdvanceZoneReturn(const Configuration& aConfig, const std::string& aZone)
{
  Configuration next = aConfig;
  Zone* zone = FindItem(next.mZones, aZone);
  if (!zone) {
    return MakeNotFoundError("zone", aZone);
  }
  zone->mState =
    zone->mState == ZoneState::Out ? ZoneState::Returning : ZoneState::In;
  return next;
}

MutationResult
AddCustomer(const Configuration& aConfig, const Customer& aCustomer)
{
  Configuration next = aConfig;
  if (FindItem(next.mCustomers, aCustomer.mName)) {
    return tl::unexpected("there is a customer \"" + aCustomer.mName +
                          "\" already");
  }
  next.mCustomers.push_back(aCustomer);
  return next;
}

MutationResult
RemoveCustomer(const Configuration& aConfig, const std::string& aName)
{
  Configuration next = aConfig;
  if (std::erase_if(next.mCustomers, [&](const Customer& aCustomer) {
        return aCustomer.mName == aName;
      }) == 0) {
    return MakeNotFoundError("customer", aName);
  }
  return next;
}

MutationResult
AllowItems(const Configuration& aConfig,
           const std::string& aCustomer,
           const std::vector<std::string>& aItems)
{
  Configuration next = aConfig;
  Customer* customer = FindItem(next.mCustomers, aCustomer);
  if (!customer) {
    return MakeNotFoundError("customer", aCustomer);
  }
  for (const auto& item : aItems) {
    auto list = FindAllowList(aConfig, *customer, item);
    if (!list) {
      return tl::unexpected(list.error());
    }
    if (std::find((*list)->begin(), (*list)->end(), item) == (*list)->end()) {
      (*list)->push_back(item);
    }
  }
  return next;
}

MutationResult
DenyItems(const Configuration& aConfig,
          const std::string& aCustomer,
          const std::vector<std::string>& aItems)
{
  Configuration next = aConfig;
  Customer* customer = FindItem(next.mCustomers, aCustomer);
  if (!customer) {
    return MakeNotFoundError("customer", aCustomer);
  }
  for (const auto& item : aItems) {
    auto list = FindAllowList(aConfig, *customer, item);
    if (!list) {
      return tl::unexpected(list.error());
    }
    if (*list == &customer->mServices) {
      std::erase(customer->mServices, item);
      continue;
    }
    auto at = item.find('@');
    std::string name = item.substr(0, at);
    std::vector<std::string>& allowed = customer->mAllowedModels;
    bool allowedWholeModel = std::erase(allowed, name) > 0;
    if (at == std::string::npos) {
      std::erase_if(allowed, [&](const std::string& aOther) {
        return aOther.starts_with(name + "@");
      });
      continue;
    }
    if (allowedWholeModel) {
      for (const auto& version : FindModel(aConfig, name)->mVersions) {
        std::string other = name + "@" + version.mName;
        if (std::find(allowed.begin(), allowed.end(), other) == allowed.end()) {
          allowed.push_back(other);
        }
      }
    }
    std::erase(allowed, item);
  }
  return next;
}

} // namespace savory
