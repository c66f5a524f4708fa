#include "model_call.h"

#include "entry.h"
#include "savory/core/rollout.h"

#include <nlohmann/json.hpp>

namespace savory {

using nlohmann::json;

namespace {

// While at least this many bytes are pending in the caller's socket, the agent
// gets no flow-control credit.
constexpr std::size_t kMaxPendingBytes = 4 * 1024;

// Number of bytes of a stream whose text is kept for the rating.
constexpr std::size_t kMaxRatedBytes = 256 * 1024;

// Number of bytes of stream events that are buffered before they are replaced
// by their text. Events are many times larger than their text, and every call
// with a slow caller buffers them.
constexpr std::size_t kMaxUnparsedEventBytes = 4 * 1024;

// Longest wait for the rating of a step, as a ratio of the time until the
// deadline; the rest is left for the next step.
constexpr double kRatingWaitRatio = 0.3;

// Appends the string "content" of a member ("message" or "delta") of the first
// choice, if there is one.
void
AppendContent(const json& aDocument, const char* aMember, std::string& aText)
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

// Returns the concatenated text of the server-sent events of a stream.
std::string
ParseEventText(std::string_view aEvents)
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
      AppendContent(event, "delta", text);
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
  if (!mChatRequest.mStream) {
    return;
  }
  mExchange->DisableAutomaticCredit();
  mReply->Start(mStatus, MakeAnswerHeaders());
  mReply->mOnDrained = [self = shared_from_this()] {
    if (self->mExchange) {
      self->mExchange->ReleaseCredit();
    }
  };
}

void
ModelCall::OnBody(std::string_view aBytes)
{
  if (!mFirstByteReceived) {
    mFirstByteReceived = true;
    mEntry.ObserveFirstToken(mEntry.mNode.mLoop.NowMs() - mStartedMs);
  }
  if (!mChatRequest.mStream) {
    mAnswer += aBytes;
    return;
  }
  if (mPlan.mRateAnswer && mRatedStreamBytes < kMaxRatedBytes) {
    mRatedStreamBytes += aBytes.size();
    mAnswer += aBytes;
    if (mAnswer.size() >= kMaxUnparsedEventBytes) {
      ParseBufferedEvents();
    }
  }
  mReply->Chunk(aBytes);
  if (mReply->PendingBytes() < kMaxPendingBytes) {
    mExchange->ReleaseCredit();
  }
}

// Adds the step to the bill. Entry and agent both hold the step before the
// caller gets the whole answer.
void
ModelCall::AddBillStep(const AnswerEnd& aEnd, bool aComplete)
{
  mEntry.mBills.Add({ .mId = { mContext.mRequestId,
                               static_cast<int>(mStepIndex),
                               mAttemptCount },
                      .mCustomer = mCustomer,
                      .mService = {},
                      .mVersion = QualifiedVersion(CurrentStep().mModel,
                                                   CurrentStep().mVersion),
                      .mAgent = mBackendHost,
                      .mInputTokens = aEnd.mInputTokens,
                      .mOutputTokens = aEnd.mOutputTokens,
                      .mCost = aEnd.mCost,
                      .mComplete = aComplete });
}

// Handles the complete answer of a step: delivers it when no step can follow,
// otherwise requests a rating that decides between delivery and the next step.
void
ModelCall::OnStepCompleted()
{
  bool mayEscalate =
    !mChatRequest.mStream && mStepIndex + 1 < mPlan.mSteps.size();
  if (!mayEscalate) {
    Deliver();
    return;
  }
  mRatingRequested = true;
  auto ratingWaitMs =
    static_cast<TimeMs>(kRatingWaitRatio * static_cast<double>(RemainingMs()));
  mEntry.mRater.Rate(MakeRatingKey(mPlan, mStepIndex, mRequestClass),
                     { mContext.mRequestId + "/" + std::to_string(mStepIndex),
                       CurrentStep().mModel,
                       CurrentStep().mVersion,
                       mChatRequest.mPrompt,
                       AnswerText() },
                     ratingWaitMs,
                     [self = shared_from_this()](std::optional<bool> aPassed) {
                       self->OnStepRated(aPassed);
                     });
}

void
ModelCall::OnStepRated(std::optional<bool> aPassed)
{
  if (mFinished) {
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
  mPlan.mSteps[++mStepIndex] = decision.mNext;
  mAnswer.clear();
  mTriedAgents.clear();
  mAttemptCount = 0;
  mRatingRequested = false;
  PlaceOrWait();
}

// Returns the text of the answer, from its JSON document or from its stream
// events.
std::string
ModelCall::AnswerText() const
{
  if (mChatRequest.mStream) {
    return mEventText + ParseEventText(mAnswer);
  }
  std::string text;
  json document = json::parse(mAnswer, nullptr, false);
  if (document.is_object()) {
    AppendContent(document, "message", text);
  }
  return text;
}

// Moves the complete events in mAnswer to mEventText, as text.
void
ModelCall::ParseBufferedEvents()
{
  auto end = mAnswer.rfind('\n');
  if (end != std::string::npos) {
    mEventText += ParseEventText(std::string_view(mAnswer).substr(0, end + 1));
    mAnswer.erase(0, end + 1);
  }
}

// Requests a rating of the delivered answer if the plan asks for one or the
// version is the target of a roll-out, unless the step has been rated already.
void
ModelCall::RateDeliveredAnswer()
{
  bool isRolloutTarget = false;
  for (const auto& rollout : mContext.mConfig->mRollouts) {
    isRolloutTarget =
      isRolloutTarget || (rollout.mModel == CurrentStep().mModel &&
                          rollout.mTargetVersion == CurrentStep().mVersion);
  }
  if (mRatingRequested || (!mPlan.mRateAnswer && !isRolloutTarget)) {
    return;
  }
  mEntry.mRater.Rate(MakeRatingKey(mPlan, mStepIndex, mRequestClass),
                     { mContext.mRequestId + "/" + std::to_string(mStepIndex),
                       CurrentStep().mModel,
                       CurrentStep().mVersion,
                       mChatRequest.mPrompt,
                       AnswerText() },
                     kRatingTimeoutMs,
                     [](std::optional<bool>) {});
}

Headers
ModelCall::MakeAnswerHeaders() const
{
  Headers headers = mHeaders;
  headers.emplace_back("x-savory-request-id", mContext.mRequestId);
  if (!mSession.empty()) {
    headers.emplace_back("x-session-id", mSession);
  }
  if (!mSessionMovedFrom.empty()) {
    headers.emplace_back("x-savory-session-moved", mSessionMovedFrom);
  }
  if (mContext.mWantsExplanation) {
    headers.emplace_back("x-savory-model", CurrentStep().mModel);
    headers.emplace_back("x-savory-version", CurrentStep().mVersion);
    headers.emplace_back("x-savory-backend", mBackendHost);
    headers.emplace_back("x-savory-step", std::to_string(mStepIndex));
    headers.emplace_back("x-savory-reason", mPlan.mReason);
  }
  return headers;
}

void
ModelCall::Deliver()
{
  RateDeliveredAnswer();
  OnAnswered(
    mEntry.mLimits, {}, mCustomer, mFingerprint, mEntry.mNode.mLoop.NowMs());
  mEntry.CountAnswer(200);
  if (mChatRequest.mStream) {
    mReply->mOnClosed = {};
    mReply->mOnDrained = {};
    mReply->End();
  } else {
    mReply->Send(mStatus, MakeAnswerHeaders(), mAnswer);
  }
  Finish();
}

} // namespace savory
