#include "model_call.h"

#include "entry.h"
#include "savory/core/identity.h"
#include "savory/core/permission.h"
#include "savory/core/rollout.h"
#include "savory/net/http_server.h"

namespace savory {

// Checks the customer's retry budget and token bucket, load shedding,
// quarantine and the backlog of unwritten bills. Fails the call when one
// refuses it.
bool
ModelCall::CheckLimits()
{
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  LimitDecision limit =
    CheckArrival(mEntry.mLimits,
                 {},
                 mCustomer,
                 mFingerprint,
                 mChatRequest.mInputTokens + mChatRequest.mOutputTokens,
                 PresetInForce(*mContext.mConfig),
                 mEntry.IsOverloaded(),
                 now);
  if (!limit.mAllowed) {
    Fail({ limit.mCode,
           limit.mReason,
           RefusalExecutionState(mContext),
           limit.mRetryAfterMs });
    return false;
  }
  if (CheckQuarantine(mEntry.mQuarantine, {}, mFingerprint, now) ==
      QuarantineAction::Refuse) {
    Fail({ ErrorCode::Quarantined,
           "backend servers crashed while running this request",
           RefusalExecutionState(mContext),
           0 });
    return false;
  }
  if (!mEntry.mBills.CanAccept(mEntry.mCalls.size())) {
    Fail({ ErrorCode::Overloaded,
           "too many bill steps are not yet written to the store",
           RefusalExecutionState(mContext),
           1000 });
    return false;
  }
  return true;
}

// Returns the target versions of roll-outs that have reached this entry's limit
// of unrated answers.
std::vector<std::string>
ModelCall::FindCandidatesAtLimit() const
{
  std::vector<std::string> excluded;
  int entries = mEntry.mFleet.EntryCount();
  for (const auto& rollout : mContext.mConfig->mRollouts) {
    std::string version =
      QualifiedVersion(rollout.mModel, rollout.mTargetVersion);
    if (!MaySendToCandidate(rollout,
                            mEntry.mRater.OutstandingCount(version),
                            entries,
                            mEntry.mRater.IsAvailable())) {
      excluded.push_back(version);
    }
  }
  return excluded;
}

PlanInput
ModelCall::MakePlanInput() const
{
  PlanInput input;
  input.mClass = mRequestClass;
  input.mInputTokens = mChatRequest.mInputTokens;
  input.mOutputTokens = mChatRequest.mOutputTokens;
  input.mModel = mChatRequest.mModel;
  input.mStream = mChatRequest.mStream;
  input.mRemainingMs = RemainingMs();
  input.mRatingUp = mEntry.mRater.IsAvailable();
  input.mRatingMs = mEntry.mRater.MeanRatingMs();
  input.mExcluded = FindCandidatesAtLimit();
  for (const auto& [model, meanMs] : mEntry.mMeanStepMs) {
    input.mStepTimes.push_back({ model, static_cast<TimeMs>(meanMs) });
  }
  return input;
}

// Chooses model and version: those that the caller named, those of the session,
// or those that the router plans.
bool
ModelCall::ChoosePlan(const HttpRequest& aRequest)
{
  std::string session(HeaderValue(aRequest.mHeaders, "x-session-id"));
  bool strict = HeaderValue(aRequest.mHeaders, "x-session-strict") == "true";
  auto separator = mChatRequest.mModel.find('@');
  if (separator != std::string::npos) {
    return PlanFixed(mChatRequest.mModel.substr(0, separator),
                     mChatRequest.mModel.substr(separator + 1));
  }
  if (!session.empty() && session != "new") {
    return PlanSession(session, strict);
  }
  auto plan = PlanRequest(*mContext.mConfig,
                          *mContext.mCustomer,
                          mEntry.mRater.Table(),
                          MakePlanInput(),
                          mEntry.mCascade,
                          mEntry.mNode.mRandom);
  if (!plan) {
    Fail({ plan.error(),
           "no permitted version of model \"" +
             (mChatRequest.mModel.empty() ? "auto" : mChatRequest.mModel) +
             "\" can run the request",
           RefusalExecutionState(mContext),
           0 });
    return false;
  }
  mPlan = std::move(*plan);
  if (session == "new") {
    // A session stays on one version from its first answer on, so its plan has
    // no later steps.
    mPlan.mSteps.resize(1);
    mSession = SignSession(*mContext.mConfig,
                           { CurrentStep().mModel, CurrentStep().mVersion },
                           mEntry.mNode.mRandom());
  }
  Explain("plan",
          QualifiedVersion(CurrentStep().mModel, CurrentStep().mVersion),
          mPlan.mReason);
  return true;
}

bool
ModelCall::PlanFixed(const std::string& aModel, const std::string& aVersion)
{
  const Model* model = FindModel(*mContext.mConfig, aModel);
  std::optional<ErrorCode> forbidden = model && FindVersion(*model, aVersion)
                                         ? CheckPermission(*mContext.mConfig,
                                                           *mContext.mCustomer,
                                                           aModel,
                                                           aVersion,
                                                           WorkKind::New)
                                         : ErrorCode::UnknownModel;
  if (forbidden) {
    Fail({ *forbidden,
           aModel + "@" + aVersion +
             " is unknown or not permitted for this customer",
           RefusalExecutionState(mContext),
           0 });
    return false;
  }
  mPlan.mSteps = { { .mModel = aModel, .mVersion = aVersion } };
  Explain(
    "plan", QualifiedVersion(aModel, aVersion), "version named by the caller");
  return true;
}

bool
ModelCall::PlanSession(const std::string& aSession, bool aStrict)
{
  auto choice = ChooseSessionVersion(*mContext.mConfig,
                                     *mContext.mCustomer,
                                     aSession,
                                     mChatRequest.mModel,
                                     aStrict);
  if (!choice) {
    Fail({ choice.error(),
           "the session's model version cannot run the request",
           RefusalExecutionState(mContext),
           0 });
    return false;
  }
  mPlan.mSteps = { { .mModel = choice->mModel, .mVersion = choice->mVersion } };
  if (choice->mMoved) {
    auto oldVersion = VerifySession(*mContext.mConfig, aSession);
    mSessionMovedFrom =
      oldVersion ? QualifiedVersion(oldVersion->mModel, oldVersion->mVersion)
                 : "withdrawn";
  }
  mSession = choice->mSigned && !choice->mMoved
               ? aSession
               : SignSession(*mContext.mConfig,
                             { choice->mModel, choice->mVersion },
                             Hash64(aSession));
  Explain("plan",
          QualifiedVersion(choice->mModel, choice->mVersion),
          choice->mReason);
  return true;
}

// Switches the call to the configuration now in force. Returns false when that
// does not contain the customer.
bool
ModelCall::UseNewestConfiguration()
{
  mContext.mConfig = mEntry.mNode.mConfig;
  mContext.mCustomer = FindCustomer(*mContext.mConfig, mCustomer);
  return mContext.mCustomer != nullptr;
}

// Checks whether the newest configuration permits the current step. If not, a
// request in its first step and without a session is planned again. Any other
// call fails, as does one for which no version is left.
bool
ModelCall::EnsureStepPermitted()
{
  UseNewestConfiguration();
  std::optional<ErrorCode> forbidden = ErrorCode::NotAllowed;
  if (mContext.mCustomer) {
    forbidden =
      CheckPermission(*mContext.mConfig,
                      *mContext.mCustomer,
                      CurrentStep().mModel,
                      CurrentStep().mVersion,
                      mSession.empty() ? WorkKind::New : WorkKind::Session);
  }
  if (!forbidden) {
    return true;
  }
  if (mContext.mCustomer && mStepIndex == 0 && mSession.empty()) {
    auto plan = PlanRequest(*mContext.mConfig,
                            *mContext.mCustomer,
                            mEntry.mRater.Table(),
                            MakePlanInput(),
                            mEntry.mCascade,
                            mEntry.mNode.mRandom);
    if (plan) {
      mPlan = std::move(*plan);
      Explain("plan",
              QualifiedVersion(CurrentStep().mModel, CurrentStep().mVersion),
              "planned again: " + mPlan.mReason);
      return true;
    }
  }
  Fail({ *forbidden,
         "the model version is no longer permitted",
         mMayHaveRun ? ExecutionState::Ran : RefusalExecutionState(mContext),
         0 });
  return false;
}

} // namespace savory
