#include "savory/core/permission.h"

#include "savory/core/identity.h"
#include "savory/core/ratings.h"

#include <algorithm>

namespace savory {

namespace {

// The oldest serving version that the customer may use for new work.
const Version*
FindOldestServing(const Configuration& aConfig,
                  const Customer& aCustomer,
                  const Model& aModel,
                  const SafetyChecks& aChecks)
{
  for (const auto& version : aModel.mVersions) {
    if (version.mState == VersionState::Serving &&
        !CheckPermission(aConfig,
                         aCustomer,
                         aModel.mName,
                         version.mName,
                         WorkKind::New,
                         aChecks)) {
      return &version;
    }
  }
  return nullptr;
}

// The model for a session without a binding whose request names no model.
const Model*
DefaultSessionModel(const Configuration& aConfig, const Customer& aCustomer)
{
  const Model* best = nullptr;
  for (const auto& model : aConfig.mModels) {
    if (FindSessionVersion(model, aCustomer) &&
        (!best || model.mQuality > best->mQuality)) {
      best = &model;
    }
  }
  return best;
}

tl::expected<SessionChoice, ErrorCode>
ChooseForUnboundSession(const Configuration& aConfig,
                        const Customer& aCustomer,
                        std::string_view aModel,
                        const SafetyChecks& aChecks)
{
  const Model* model = aModel.empty() ? DefaultSessionModel(aConfig, aCustomer)
                                      : FindModel(aConfig, aModel);
  if (!model) {
    return tl::unexpected(aModel.empty() ? ErrorCode::NotAllowed
                                         : ErrorCode::UnknownModel);
  }
  const Version* version =
    aChecks.mSessionPin
      ? FindSessionVersion(*model, aCustomer)
      : FindOldestServing(aConfig, aCustomer, *model, aChecks);
  if (!version) {
    bool allowed =
      std::any_of(model->mVersions.begin(),
                  model->mVersions.end(),
                  [&](const Version& aVersion) {
                    return IsAllowed(aCustomer, model->mName, aVersion.mName);
                  });
    return tl::unexpected(allowed ? ErrorCode::VersionWithdrawn
                                  : ErrorCode::NotAllowed);
  }
  return SessionChoice{ .mModel = model->mName,
                        .mVersion = version->mName,
                        .mReason = "session without a binding: oldest version "
                                   "of " +
                                   model->mName + " in service" };
}

} // namespace

std::optional<ErrorCode>
CheckPermission(const Configuration& aConfig,
                const Customer& aCustomer,
                std::string_view aModel,
                std::string_view aVersion,
                WorkKind aKind,
                const SafetyChecks& aChecks)
{
  const Model* model = FindModel(aConfig, aModel);
  if (!model) {
    return ErrorCode::UnknownModel;
  }
  if (aChecks.mPermission && !IsAllowed(aCustomer, aModel, aVersion)) {
    return ErrorCode::NotAllowed;
  }
  if (!aChecks.mVersionState) {
    return std::nullopt;
  }
  const Version* version = FindVersion(*model, aVersion);
  if (!version || version->mState == VersionState::Withdrawn) {
    return ErrorCode::VersionWithdrawn;
  }
  if (version->mState == VersionState::Draining && aKind == WorkKind::New) {
    return ErrorCode::VersionWithdrawn;
  }
  return std::nullopt;
}

const Version*
FindSessionVersion(const Model& aModel, const Customer& aCustomer)
{
  for (const auto& version : aModel.mVersions) {
    if ((version.mState == VersionState::Serving ||
         version.mState == VersionState::Draining) &&
        IsAllowed(aCustomer, aModel.mName, version.mName)) {
      return &version;
    }
  }
  return nullptr;
}

tl::expected<SessionChoice, ErrorCode>
ChooseSessionVersion(const Configuration& aConfig,
                     const Customer& aCustomer,
                     std::string_view aSession,
                     std::string_view aModel,
                     bool aStrict,
                     const SafetyChecks& aChecks)
{
  // 1. A session without a binding.
  auto binding = VerifySession(aConfig, aSession);
  if (!binding) {
    return ChooseForUnboundSession(aConfig, aCustomer, aModel, aChecks);
  }
  SessionChoice choice;
  choice.mModel = binding->mModel;
  choice.mVersion = binding->mVersion;
  choice.mSigned = true;
  std::string bound = QualifiedVersion(choice.mModel, choice.mVersion);
  const Model* model = FindModel(aConfig, choice.mModel);
  if (!model) {
    return tl::unexpected(ErrorCode::UnknownModel);
  }
  // 2. A session keeps its version unless it was withdrawn.
  auto refusal = CheckPermission(aConfig,
                                 aCustomer,
                                 choice.mModel,
                                 choice.mVersion,
                                 WorkKind::Session,
                                 aChecks);
  if (!refusal && aChecks.mSessionPin) {
    choice.mReason = "session keeps " + bound;
    return choice;
  }
  if (refusal && *refusal != ErrorCode::VersionWithdrawn) {
    return tl::unexpected(*refusal);
  }
  // 3. Withdrawal takes precedence over the binding.
  if (aStrict) {
    return tl::unexpected(ErrorCode::SessionVersionWithdrawn);
  }
  const Version* serving =
    FindOldestServing(aConfig, aCustomer, *model, aChecks);
  if (!serving) {
    return tl::unexpected(ErrorCode::VersionWithdrawn);
  }
  choice.mVersion = serving->mName;
  choice.mMoved = true;
  choice.mReason = "session moved from " + bound + ", withdrawn, to " +
                   QualifiedVersion(choice.mModel, choice.mVersion);
  return choice;
}

} // namespace savory
