#include "model_call.h"

#include "entry.h"
#include "savory/core/identity.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savory {

using nlohmann::json;

namespace {

constexpr int kMaxAttempts = 8;

// Timers may fire early by up to this much.
constexpr TimeMs kTimerSlackMs = 10;

// Delay of an isolated run after a crash, so that gossip brings the suspects to
// all entries before any of them runs one again.
constexpr TimeMs kSuspectGossipMs = 1500;

// Delay before a request is sent again to agents that refused it because of an
// older or missing configuration.
constexpr TimeMs kRefusalRetryMs = 25;

// Delay before a request is sent again after an agent could not confirm that
// its configuration state is recent enough. The agent's next report, due within
// 1 s, allows the confirmation.
constexpr TimeMs kStaleConfigRetryMs = 250;

// Whether an error code means a temporary lack of capacity.
bool
IsCapacityError(ErrorCode aCode)
{
  return aCode == ErrorCode::Overloaded || aCode == ErrorCode::ColdLimit ||
         aCode == ErrorCode::MemoryLimit;
}

} // namespace

ModelCall::ModelCall(Entry& aEntry,
                     CallerContext aContext,
                     const std::shared_ptr<HttpReply>& aReply)
  : mEntry(aEntry)
  , mContext(std::move(aContext))
  , mReply(aReply)
  , mCustomer(mContext.mCustomer->mName)
  , mStartedMs(aEntry.mNode.mLoop.NowMs())
{
  mEntry.OnCallStarted(this);
}

ModelCall::~ModelCall()
{
  mEntry.OnCallEnded(this);
}

TimeMs
ModelCall::RemainingMs() const
{
  return std::max<TimeMs>(
    0, mStartedMs + mContext.mDeadlineMs - mEntry.mNode.mLoop.NowMs());
}

void
ModelCall::Explain(const std::string& aKind,
                   const std::string& aOutcome,
                   const std::string& aReason)
{
  AddDecision(mEntry.mExplain,
              mContext.mRequestId,
              mCustomer,
              { .mKind = aKind,
                .mTimeMs = mEntry.mNode.mLoop.NowMs(),
                .mRevision = mContext.mConfig->mRevision,
                .mOutcome = aOutcome,
                .mReason = aReason,
                .mCandidates = {} });
}

void
ModelCall::Begin(const HttpRequest& aRequest)
{
  // 1. Parse the request.
  auto chat = ParseChatRequest(aRequest.mBody);
  if (!chat) {
    Fail(chat.error());
    return;
  }
  mChatRequest = *chat;
  mRequestClass =
    ClassifyRequest(mChatRequest.mInputTokens, mChatRequest.mHasImages);
  mFingerprint = Hash64(aRequest.mBody, Hash64(mCustomer));

  // 2. Check the limits and choose model and version.
  if (!CheckLimits() || !ChoosePlan(aRequest)) {
    return;
  }
  mRequestBody = aRequest.mBody;
  mPrefixHashes = PrefixHashes(mChatRequest.mPrompt);

  // 3. Watch the deadline and the caller's connection.
  auto self = shared_from_this();
  mDeadlineTimer = Timer::After(
    mEntry.mNode.mLoop, mContext.mDeadlineMs, [self] { self->OnExpired(); });
  mReply->mOnClosed = [self] {
    self->EndAttempt();
    self->Finish();
  };
  PlaceOrWait();
}

void
ModelCall::OnExpired()
{
  if (mFinished) {
    return;
  }
  EndAttempt();
  if (mQueued && RemainingMs() > kTimerSlackMs) {
    // The queue drops a request after a bounded wait, usually long before its
    // deadline. The caller gets the error that made the request wait.
    Fail(mLastError);
    return;
  }
  Fail({ ErrorCode::DeadlineExceeded,
         "the deadline has passed",
         mMayHaveRun ? ExecutionState::Ran : RefusalExecutionState(mContext),
         0 });
}

// Places the current step at an agent. Without capacity, queues the call or
// fails it.
void
ModelCall::PlaceOrWait()
{
  if (mFinished) {
    return;
  }
  if (PlaceStep() == PlacementResult::NoCapacity) {
    EnqueueOrFail();
  }
}

bool
ModelCall::Resume()
{
  if (mFinished) {
    return true;
  }
  mTriedAgents.clear();
  mQueued = false;
  if (PlaceStep() == PlacementResult::NoCapacity) {
    mQueued = true;
    return false;
  }
  return true;
}

// Returns the address of the agent that may run this suspect. Returns nothing,
// and schedules a retry, while the suspect has to wait.
std::optional<std::string>
ModelCall::FindIsolationTarget()
{
  auto suspect = mEntry.mQuarantine.mSuspects.find(mFingerprint);
  TimeMs sinceCrashMs =
    suspect == mEntry.mQuarantine.mSuspects.end()
      ? kSuspectGossipMs
      : mEntry.mNode.mLoop.NowMs() - suspect->second.mLastSeenMs;
  if (sinceCrashMs < kSuspectGossipMs) {
    ScheduleRetry(kSuspectGossipMs - sinceCrashMs);
    return std::nullopt;
  }
  std::vector<std::string> addresses;
  std::string version =
    QualifiedVersion(CurrentStep().mModel, CurrentStep().mVersion);
  for (const auto& [address, link] : mEntry.mLinks.All()) {
    const AgentReport& report = link.mReport;
    bool serves =
      std::find(report.mVersions.begin(), report.mVersions.end(), version) !=
      report.mVersions.end();
    if (link.mConnection && serves && report.mReachable && !report.mLeaving) {
      addresses.push_back(address);
    }
  }
  std::string target = IsolationTarget(mFingerprint, addresses);
  if (target.empty()) {
    ScheduleRetry(kSuspectGossipMs);
    return std::nullopt;
  }
  return target;
}

ModelCall::PlacementResult
ModelCall::PlaceStep()
{
  // 1. Check permission and the number of attempts.
  if (!EnsureStepPermitted()) {
    return PlacementResult::Ended;
  }
  if (mAttemptCount >= kMaxAttempts) {
    Fail(mLastError);
    return PlacementResult::Ended;
  }

  // 2. Send a suspect, isolated, to its one target agent.
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  switch (CheckQuarantine(mEntry.mQuarantine, {}, mFingerprint, now)) {
    case QuarantineAction::Refuse:
      Fail({ ErrorCode::Quarantined,
             "backend servers crashed while running this request",
             ExecutionState::Ran,
             0 });
      return PlacementResult::Ended;
    case QuarantineAction::Isolate:
      if (auto target = FindIsolationTarget()) {
        Explain("backend", *target, "isolated run of a crash suspect");
        return SendStep(*target, true) ? PlacementResult::Sent
                                       : PlacementResult::NoCapacity;
      }
      return PlacementResult::Ended;
    case QuarantineAction::Free:
      break;
  }

  // 3. Send any other request to the best backend server.
  std::string version =
    QualifiedVersion(CurrentStep().mModel, CurrentStep().mVersion);
  Choice choice = ChooseBackend(
    mEntry.mBalancer,
    mEntry.mBalancerOptions,
    { .mPool = mEntry.FindPool(version),
      .mVersion = version,
      .mPrefix = mPrefixHashes,
      .mTokens = mChatRequest.mInputTokens + mChatRequest.mOutputTokens,
      .mExcluded = mTriedAgents },
    mEntry.mNode.mRandom,
    now);
  for (const auto& candidate : choice.mCandidates) {
    if (SendStep(candidate.mAddress, false)) {
      Explain("backend", mBackendHost, choice.mReason);
      return PlacementResult::Sent;
    }
  }
  if (mTriedAgents.empty() || !IsCapacityError(mLastError.mCode)) {
    mLastError = { choice.mCode,
                   choice.mReason,
                   mMayHaveRun ? ExecutionState::Ran
                               : RefusalExecutionState(mContext),
                   choice.mRetryAfterMs };
  }
  return PlacementResult::NoCapacity;
}

bool
ModelCall::SendStep(const std::string& aAddress, bool aIsolated)
{
  AgentLink* link = mEntry.mLinks.Find(aAddress);
  if (!link || !link->mConnection) {
    return false;
  }
  mEntry.mFleet.PushIfOutdated(*link);
  json document = json::parse(mRequestBody, nullptr, false);
  document["model"] = CurrentStep().mModel;
  if (mChatRequest.mStream) {
    document["stream_options"] = { { "include_usage", true } };
  }
  RunRequest request{
    .mSender = MakeSender(mEntry.mNode),
    .mFreshness = mEntry.mFleet.MakeConfigFreshness(*link),
    .mRequestId = mContext.mRequestId,
    .mStep = static_cast<int>(mStepIndex),
    .mAttempt = ++mAttemptCount,
    .mCustomer = mCustomer,
    .mModel = CurrentStep().mModel,
    .mVersion = CurrentStep().mVersion,
    .mSession = mSession,
    .mDeadlineMs = RemainingMs(),
    .mInputTokens = mChatRequest.mInputTokens,
    .mOutputTokens = mChatRequest.mOutputTokens,
    .mFingerprint = mFingerprint,
    .mPriority = mContext.mCustomer->mPriority,
    .mStream = mChatRequest.mStream,
    .mMayQueue = aIsolated || !mTriedAgents.empty(),
    .mIsolated = aIsolated,
  };
  mExchange = AgentExchange::Start(
    *link->mConnection,
    "/run",
    Encode(request),
    document.dump(-1, ' ', false, json::error_handler_t::replace));
  if (!mExchange) {
    return false;
  }
  mAgentAddress = aAddress;
  mIsolated = aIsolated;
  mBackendHost = link->mReport.mSender.mHost;
  mTriedAgents.push_back(aAddress);
  mStepStartedMs = mEntry.mNode.mLoop.NowMs();
  ++link->mLocalRequests;
  OnRequestSent(mEntry.mBalancer,
                mEntry.mBalancerOptions,
                aAddress,
                mChatRequest.mInputTokens + mChatRequest.mOutputTokens,
                mPrefixHashes,
                mStepStartedMs);
  auto self = shared_from_this();
  mExchange->mOnAccepted = [self](const AnswerHead& aHead) {
    self->OnAccepted(aHead);
  };
  mExchange->mOnRefused = [self](const AnswerHead& aHead) {
    self->OnRefused(aHead);
  };
  mExchange->mOnBody = [self](std::string_view aBytes) {
    self->OnBody(aBytes);
  };
  mExchange->mOnEnd = [self](const AnswerEnd& aEnd) { self->OnEnd(aEnd); };
  mExchange->mOnStreamLost = [self](bool) { self->OnAgentLost(); };
  return true;
}

// Queues the call under its customer. Fails it when the last error is not a
// lack of capacity or the queue does not accept it.
void
ModelCall::EnqueueOrFail()
{
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  WaitingRequest waiting{
    mContext.mRequestId + "/" + std::to_string(mFingerprint),
    mChatRequest.mInputTokens + mChatRequest.mOutputTokens,
    mStartedMs + mContext.mDeadlineMs
  };
  if (!IsCapacityError(mLastError.mCode) ||
      !Enqueue(mEntry.mLimits, {}, mCustomer, waiting, now)) {
    Fail(mLastError);
    return;
  }
  mQueued = true;
  mEntry.mWaitingByQueueId[waiting.mId] = weak_from_this();
  mEntry.AddWaitingCall(shared_from_this());
}

void
ModelCall::ScheduleRetry(TimeMs aDelayMs)
{
  mRetryTimer =
    Timer::After(mEntry.mNode.mLoop, aDelayMs, [self = shared_from_this()] {
      self->PlaceOrWait();
    });
}

void
ModelCall::OnRefused(const AnswerHead& aHead)
{
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  EndAttempt();
  mEntry.mFleet.OnSenderRevision(aHead.mSender);
  if (auto hint = DecodeLoadHint(aHead.mLoadHint)) {
    ApplyLoadHint(mEntry.mBalancer, mAgentAddress, *hint, now);
  }
  mLastError = { aHead.mCode,
                 aHead.mReason,
                 mMayHaveRun ? ExecutionState::Ran
                             : RefusalExecutionState(mContext),
                 aHead.mRetryAfterMs };
  Explain("refused",
          mBackendHost,
          std::string(ToName(kErrorCodeNames, aHead.mCode)) + ": " +
            aHead.mReason);
  if (aHead.mExecution != ExecutionState::NotRun) {
    mMayHaveRun = true;
    RetryOrFail(aHead.mCrashId);
    return;
  }
  bool isConfigRefusal = aHead.mCode == ErrorCode::ConfigOlder ||
                         aHead.mCode == ErrorCode::ConfigStale ||
                         aHead.mCode == ErrorCode::NoConfiguration;
  if (isConfigRefusal) {
    // The next message carries a newer revision or a younger head state.
    mTriedAgents.clear();
    ScheduleRetry(aHead.mCode == ErrorCode::ConfigStale ? kStaleConfigRetryMs
                                                        : kRefusalRetryMs);
    return;
  }
  PlaceOrWait();
}

void
ModelCall::OnEnd(const AnswerEnd& aEnd)
{
  mMayHaveRun = true;
  AddBillStep(aEnd, aEnd.mComplete);
  EndAttempt();
  if (!aEnd.mComplete) {
    mLastError = { aEnd.mCode, aEnd.mReason, aEnd.mExecution, 100 };
    RetryOrFail(aEnd.mCrashId);
    return;
  }
  mEntry.ObserveStepTime(CurrentStep().mModel,
                         mEntry.mNode.mLoop.NowMs() - mStepStartedMs);
  OnRequestCompleted(mEntry.mQuarantine, {}, mFingerprint);
  OnStepCompleted();
}

// The connection to the agent was lost during the request. The agent's backend
// server may have crashed.
void
ModelCall::OnAgentLost()
{
  EndAttempt();
  mMayHaveRun = true;
  mLastError = { ErrorCode::BackendFailed,
                 "the connection to the agent was lost",
                 ExecutionState::Unknown,
                 100 };
  RetryOrFail(CrashId(mAgentAddress, mBackendHost));
}

// Places the step again if no part of its answer has reached the caller and the
// customer's retry budget allows it; fails the call otherwise.
void
ModelCall::RetryOrFail(std::uint64_t aCrashId)
{
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  if (aCrashId != 0) {
    // This entry knows that a run was isolated only if it requested isolation.
    // The agent's report carries its own count of the requests that the crash
    // interrupted.
    SuspectRow rows[] = {
      { mFingerprint, { { aCrashId, mIsolated, false } }, 0 }
    };
    MergeSuspects(mEntry.mQuarantine, {}, rows, now);
  }
  mAnswer.clear();
  mEventText.clear();
  mRatedStreamBytes = 0;
  if (mReply->IsStarted() ||
      !TryAcquireRetry(mEntry.mLimits, {}, mCustomer, now)) {
    Fail(mLastError);
    return;
  }
  PlaceOrWait();
}

// Cancels the attempt in progress at an agent, if there is one.
void
ModelCall::EndAttempt()
{
  if (!mExchange) {
    return;
  }
  std::exchange(mExchange, nullptr)->Cancel();
  OnRequestEnded(mEntry.mBalancer,
                 mAgentAddress,
                 mChatRequest.mInputTokens + mChatRequest.mOutputTokens);
  if (AgentLink* link = mEntry.mLinks.Find(mAgentAddress)) {
    --link->mLocalRequests;
  }
}

void
ModelCall::Fail(const CallerError& aError)
{
  if (mFinished) {
    return;
  }
  mEntry.CountError(aError, mContext.mRequestId);
  Explain("failed",
          std::string(ToName(kErrorCodeNames, aError.mCode)),
          aError.mMessage);
  if (mReply->IsStarted()) {
    mReply->mOnClosed = {};
    mReply->mOnDrained = {};
    mReply->Chunk(MakeStreamError(aError, mContext.mRequestId));
    mReply->End();
  } else {
    SendError(*mReply, aError, mContext.mRequestId);
  }
  Finish();
}

// Releases every callback and timer that holds a reference to this call.
void
ModelCall::Finish()
{
  mFinished = true;
  mDeadlineTimer.Cancel();
  mRetryTimer.Cancel();
  mReply->mOnClosed = {};
  mReply->mOnDrained = {};
  mEntry.RemoveWaitingCall(this);
}

void
StartModelCall(Entry& aEntry,
               const CallerContext& aContext,
               const HttpRequest& aRequest,
               const std::shared_ptr<HttpReply>& aReply)
{
  std::make_shared<ModelCall>(aEntry, aContext, aReply)->Begin(aRequest);
}

} // namespace savory
