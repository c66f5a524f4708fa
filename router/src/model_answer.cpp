#include "model_call.h"

#include "entry.h"
#include "savory/core/rollout.h"

#include <nlohmann/json.hpp>

namespace savory {

using nlohmann::json;

namespace {

// Bytes in the caller's socket buffer above which the agent gets no credit.
constexpr std::size_t kPendingBytes = 4 * 1024;

// Bytes of a stream whose text is kept to be rated.
constexpr std::size_t kRatedBytes = 256 * 1024;

// Bytes of events that are kept before their text is taken out. The events are
// many times the size of their text, and each slow caller holds them.
constexpr std::size_t kFoldBytes = 4 * 1024;

// Time kept for a second step when the first one waits for its rating.
constexpr double kRatingWaitShare = 0.3;

// Appends the content of the first choice's member, if it is a text.
void
TakeContent(const json& aDocument, const char* aMember, std::string& aText)
{
  auto choices = aDocument.find("choices");
  if (choices == aDocument.end() || !choices->is_array() || choices->empty()) {
    return;
  }
  auto message = (*choices)[0].find(aMember);
  if (message != (*choices)[0].end() && message->is_object() &&
      message->contains("content") && (*message)["content"].is_string()) {
    aText += (*message)["content"].get_ref<const std::string&>();
  }
}

// The text of the events of a stream.
std::string
TextOfEvents(std::string_view aEvents)
{
  constexpr std::string_view kData = "data: ";
  std::string text;
  for (auto at = aEvents.find(kData); at != std::string_view::npos;
       at = aEvents.find(kData, at + 1)) {
    auto end = aEvents.find('\n', at);
    json event =
      json::parse(aEvents.substr(at + kData.size(), end - at - kData.size()),
                  nullptr,
                  false);
    if (event.is_object()) {
      TakeContent(event, "delta", text);
    }
  }
  return text;
}

} // namespace

void
ModelCall::OnAccepted(const AnswerHead& aHead)
{
  mHeaders = aHead.mHeaders;
  mStatus = aHead.mStatus;
  if (!mChat.mStream) {
    return;
  }
  mExchange->DisableAutomaticCredit();
  mReply->Start(mStatus, AnswerHeaders());
  mReply->mOnDrained = [self = shared_from_this()] {
    if (self->mExchange) {
      self->mExchange->ReleaseCredit();
    }
  };
}

void
ModelCall::OnBody(std::string_view aBytes)
{
  if (!mFirstByte) {
    mFirstByte = true;
    mEntry.ObserveFirstToken(mEntry.mNode.mLoop.NowMs() - mStartedMs);
  }
  if (!mChat.mStream) {
    mAnswer += aBytes;
    return;
  }
  if (mPlan.mRateAnswer && mRatedBytes < kRatedBytes) {
    mRatedBytes += aBytes.size();
    mAnswer += aBytes;
    if (mAnswer.size() >= kFoldBytes) {
      FoldAnswer();
    }
  }
  mReply->Chunk(aBytes);
  if (mReply->PendingBytes() < kPendingBytes) {
    mExchange->ReleaseCredit();
  }
}

// Both hosts hold the step before the caller gets the whole answer.
void
ModelCall::Bill(const AnswerEnd& aEnd, bool aComplete)
{
  mEntry.mBills.Add(
    { .mId = { mContext.mRequestId, static_cast<int>(mStep), mAttempt },
      .mCustomer = mCustomer,
      .mService = {},
      .mVersion =
        QualifiedVersion(CurrentStep().mModel, CurrentStep().mVersion),
      .mAgent = mBackendHost,
      .mInputTokens = aEnd.mInputTokens,
      .mOutputTokens = aEnd.mOutputTokens,
      .mCost = aEnd.mCost,
      .mComplete = aComplete });
}

// After a whole answer of a step: delivers it or goes on to the next.
void
ModelCall::OnStepDone()
{
  bool mayEscalate = !mChat.mStream && mStep + 1 < mPlan.mSteps.size();
  if (!mayEscalate) {
    Deliver();
    return;
  }
  mRated = true;
  auto wait =
    static_cast<TimeMs>(kRatingWaitShare * static_cast<double>(RemainingMs()));
  mEntry.mRater.Rate(MakeRatingKey(mPlan, mStep, mClass),
                     { mContext.mRequestId + "/" + std::to_string(mStep),
                       CurrentStep().mModel,
                       CurrentStep().mVersion,
                       mChat.mPrompt,
                       AnswerText() },
                     wait,
                     [self = shared_from_this()](std::optional<bool> aPassed) {
                       self->OnStepRated(aPassed);
                     });
}

void
ModelCall::OnStepRated(std::optional<bool> aPassed)
{
  if (mOver) {
    return;
  }
  if (!UseNewestConfiguration()) {
    Deliver();
    return;
  }
  StepDecision decision = DecideAfterStep(*mContext.mConfig,
                                          *mContext.mCustomer,
                                          mEntry.mRater.Table(),
                                          mPlan,
                                          aPassed,
                                          MakePlanInput(),
                                          mEntry.mCascade);
  Explain("after step",
          decision.mAction == StepAction::Escalate
            ? QualifiedVersion(decision.mNext.mModel, decision.mNext.mVersion)
            : "deliver",
          decision.mReason);
  if (decision.mAction == StepAction::Deliver) {
    Deliver();
    return;
  }
  mPlan.mSteps[++mStep] = decision.mNext;
  mAnswer.clear();
  mTried.clear();
  mAttempt = 0;
  mRated = false;
  Proceed();
}

// The text of the answer, out of a whole document or out of the events of a
// stream.
std::string
ModelCall::AnswerText() const
{
  if (mChat.mStream) {
    return mText + TextOfEvents(mAnswer);
  }
  std::string text;
  json document = json::parse(mAnswer, nullptr, false);
  if (document.is_object()) {
    TakeContent(document, "message", text);
  }
  return text;
}

// Replaces the whole events of a stream by their text.
void
ModelCall::FoldAnswer()
{
  auto end = mAnswer.rfind('\n');
  if (end != std::string::npos) {
    mText += TextOfEvents(std::string_view(mAnswer).substr(0, end + 1));
    mAnswer.erase(0, end + 1);
  }
}

// Has the delivered answer rated where the plan wants it.
void
ModelCall::AskForRating()
{
  bool candidate = false;
  for (const auto& rollout : mContext.mConfig->mRollouts) {
    candidate = candidate || (rollout.mModel == CurrentStep().mModel &&
                              rollout.mTargetVersion == CurrentStep().mVersion);
  }
  if (mRated || (!mPlan.mRateAnswer && !candidate)) {
    return;
  }
  mEntry.mRater.Rate(MakeRatingKey(mPlan, mStep, mClass),
                     { mContext.mRequestId + "/" + std::to_string(mStep),
                       CurrentStep().mModel,
                       CurrentStep().mVersion,
                       mChat.mPrompt,
                       AnswerText() },
                     kRatingTimeoutMs,
                     [](std::optional<bool>) {});
}

Headers
ModelCall::AnswerHeaders() const
{
  Headers headers = mHeaders;
  headers.emplace_back("x-savory-request-id", mContext.mRequestId);
  if (!mSession.empty()) {
    headers.emplace_back("x-session-id", mSession);
  }
  if (!mMovedFrom.empty()) {
    headers.emplace_back("x-savory-session-moved", mMovedFrom);
  }
  if (mContext.mExplain) {
    headers.emplace_back("x-savory-model", CurrentStep().mModel);
    headers.emplace_back("x-savory-version", CurrentStep().mVersion);
    headers.emplace_back("x-savory-backend", mBackendHost);
    headers.emplace_back("x-savory-step", std::to_string(mStep));
    headers.emplace_back("x-savory-reason", mPlan.mReason);
  }
  return headers;
}

void
ModelCall::Deliver()
{
  AskForRating();
  OnAnswered(
    mEntry.mLimits, {}, mCustomer, mFingerprint, mEntry.mNode.mLoop.NowMs());
  mEntry.CountAnswer(200);
  if (mChat.mStream) {
    mReply->mOnClosed = {};
    mReply->mOnDrained = {};
    mReply->End();
  } else {
    mReply->Send(mStatus, AnswerHeaders(), mAnswer);
  }
  Over();
}

} // namespace savory
