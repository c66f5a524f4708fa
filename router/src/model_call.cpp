#include "model_call.h"

#include "entry.h"
#include "savory/core/identity.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savory {

using nlohmann::json;

namespace {

constexpr int kMaxAttempts = 8;

// Timers may fire this much before their time.
constexpr TimeMs kTimerSlackMs = 10;

// How long an isolated run waits after a crash, so that the entries have heard
// of each other's suspects before one of them is run again.
constexpr TimeMs kSuspectSpreadMs = 1500;

// Pause before a request is sent again to backend servers that refused it.
constexpr TimeMs kRetryPauseMs = 25;

// Pause before work is sent again that an agent could not tell to be new
// enough; its next report, within a second, makes the difference.
constexpr TimeMs kStalePauseMs = 250;

// Whether a refusal means that there is no room now.
bool
IsCapacity(ErrorCode aCode)
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
  mEntry.CallStarted(this);
}

ModelCall::~ModelCall()
{
  mEntry.CallEnded(this);
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
  // 1. The request.
  auto chat = ParseChatRequest(aRequest.mBody);
  if (!chat) {
    Fail(chat.error());
    return;
  }
  mChat = *chat;
  mClass = ClassifyRequest(mChat.mInputTokens, mChat.mHasImages);
  mFingerprint = Hash64(aRequest.mBody, Hash64(mCustomer));

  // 2. Whether it may run at all now, and where.
  if (!CheckLimits() || !ChoosePlan(aRequest)) {
    return;
  }
  mDocument = aRequest.mBody;
  mPrefix = PrefixHashes(mChat.mPrompt);

  // 3. The deadline, and the end of the caller's connection.
  auto self = shared_from_this();
  mDeadline = Timer::After(
    mEntry.mNode.mLoop, mContext.mDeadlineMs, [self] { self->Expire(); });
  mReply->mOnClosed = [self] {
    self->Leave();
    self->Over();
  };
  Proceed();
}

void
ModelCall::Expire()
{
  if (mOver) {
    return;
  }
  Leave();
  if (mQueued && RemainingMs() > kTimerSlackMs) {
    // The queue gives a request up after a bounded wait, mostly long before its
    // deadline; the caller is told what it waited for.
    Fail(mLastError);
    return;
  }
  Fail({ ErrorCode::DeadlineExceeded,
         "the deadline has passed",
         mExecution ? ExecutionState::Ran : RanOfRefusal(mContext),
         0 });
}

// Starts the present step, or waits for room, or ends the call.
void
ModelCall::Proceed()
{
  if (mOver) {
    return;
  }
  if (Place() == Placed::NoRoom) {
    WaitForRoom();
  }
}

bool
ModelCall::Resume()
{
  if (mOver) {
    return true;
  }
  mTried.clear();
  mQueued = false;
  if (Place() == Placed::NoRoom) {
    mQueued = true;
    return false;
  }
  return true;
}

// Where a suspect may run, or nothing while it has to wait.
std::optional<std::string>
ModelCall::IsolatedPlace()
{
  auto suspect = mEntry.mQuarantine.mSuspects.find(mFingerprint);
  TimeMs since = suspect == mEntry.mQuarantine.mSuspects.end()
                   ? kSuspectSpreadMs
                   : mEntry.mNode.mLoop.NowMs() - suspect->second.mLastSeenMs;
  if (since < kSuspectSpreadMs) {
    RetryAfter(kSuspectSpreadMs - since);
    return std::nullopt;
  }
  std::vector<std::string> addresses;
  std::string wanted =
    QualifiedVersion(CurrentStep().mModel, CurrentStep().mVersion);
  for (const auto& [address, link] : mEntry.mLinks.All()) {
    const AgentReport& report = link.mReport;
    bool serves =
      std::find(report.mVersions.begin(), report.mVersions.end(), wanted) !=
      report.mVersions.end();
    if (link.mConnection && serves && report.mReachable && !report.mLeaving) {
      addresses.push_back(address);
    }
  }
  std::string target = IsolationTarget(mFingerprint, addresses);
  if (target.empty()) {
    RetryAfter(kSuspectSpreadMs);
    return std::nullopt;
  }
  return target;
}

ModelCall::Placed
ModelCall::Place()
{
  // 1. Whether the step may still run.
  if (!MayStillRun()) {
    return Placed::Ended;
  }
  if (mAttempt >= kMaxAttempts) {
    Fail(mLastError);
    return Placed::Ended;
  }

  // 2. A suspect runs alone at one place.
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  switch (CheckQuarantine(mEntry.mQuarantine, {}, mFingerprint, now)) {
    case QuarantineAction::Refuse:
      Fail({ ErrorCode::Quarantined,
             "backend servers crashed while they ran this request",
             ExecutionState::Ran,
             0 });
      return Placed::Ended;
    case QuarantineAction::Isolate:
      if (auto target = IsolatedPlace()) {
        Explain("backend", *target, "alone, as a suspect of a crash");
        return Send(*target, true) ? Placed::Sent : Placed::NoRoom;
      }
      return Placed::Ended;
    case QuarantineAction::Free:
      break;
  }

  // 3. Any other goes to the best backend server.
  std::string version =
    QualifiedVersion(CurrentStep().mModel, CurrentStep().mVersion);
  Choice choice =
    ChooseBackend(mEntry.mBalancer,
                  mEntry.mBalancerOptions,
                  { .mPool = mEntry.PoolOf(version),
                    .mVersion = version,
                    .mPrefix = mPrefix,
                    .mTokens = mChat.mInputTokens + mChat.mOutputTokens,
                    .mExcluded = mTried },
                  mEntry.mNode.mRandom,
                  now);
  for (const auto& candidate : choice.mCandidates) {
    if (Send(candidate.mAddress, false)) {
      Explain("backend", mBackendHost, choice.mReason);
      return Placed::Sent;
    }
  }
  if (mTried.empty() || !IsCapacity(mLastError.mCode)) {
    mLastError = { choice.mCode,
                   choice.mReason,
                   mExecution ? ExecutionState::Ran : RanOfRefusal(mContext),
                   choice.mRetryAfterMs };
  }
  return Placed::NoRoom;
}

bool
ModelCall::Send(const std::string& aAddress, bool aAlone)
{
  AgentLink* link = mEntry.mLinks.Find(aAddress);
  if (!link || !link->mConnection) {
    return false;
  }
  mEntry.mFleet.PushIfOutdated(*link);
  json document = json::parse(mDocument, nullptr, false);
  document["model"] = CurrentStep().mModel;
  if (mChat.mStream) {
    document["stream_options"] = { { "include_usage", true } };
  }
  RunRequest request{
    .mSender = MakeSender(mEntry.mNode),
    .mFreshness = mEntry.mFleet.MakeConfigFreshness(*link),
    .mRequestId = mContext.mRequestId,
    .mStep = static_cast<int>(mStep),
    .mAttempt = ++mAttempt,
    .mCustomer = mCustomer,
    .mModel = CurrentStep().mModel,
    .mVersion = CurrentStep().mVersion,
    .mSession = mSession,
    .mDeadlineMs = RemainingMs(),
    .mInputTokens = mChat.mInputTokens,
    .mOutputTokens = mChat.mOutputTokens,
    .mFingerprint = mFingerprint,
    .mPriority = mContext.mCustomer->mPriority,
    .mStream = mChat.mStream,
    .mMayQueue = aAlone || !mTried.empty(),
    .mIsolated = aAlone,
  };
  mExchange = AgentExchange::Start(
    *link->mConnection,
    "/run",
    Encode(request),
    document.dump(-1, ' ', false, json::error_handler_t::replace));
  if (!mExchange) {
    return false;
  }
  mAddress = aAddress;
  mAlone = aAlone;
  mBackendHost = link->mReport.mSender.mHost;
  mTried.push_back(aAddress);
  mStepStartedMs = mEntry.mNode.mLoop.NowMs();
  ++link->mLocalRequests;
  OnRequestSent(mEntry.mBalancer,
                mEntry.mBalancerOptions,
                aAddress,
                mChat.mInputTokens + mChat.mOutputTokens,
                mPrefix,
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
  mExchange->mOnStreamLost = [self](bool) { self->OnBroken(); };
  return true;
}

// Puts the call into its customer's queue, or refuses it.
void
ModelCall::WaitForRoom()
{
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  WaitingRequest waiting{ mContext.mRequestId + "/" +
                            std::to_string(mFingerprint),
                          mChat.mInputTokens + mChat.mOutputTokens,
                          mStartedMs + mContext.mDeadlineMs };
  if (!IsCapacity(mLastError.mCode) ||
      !Enqueue(mEntry.mLimits, {}, mCustomer, waiting, now)) {
    Fail(mLastError);
    return;
  }
  mQueued = true;
  mEntry.mWaiting[waiting.mId] = weak_from_this();
  mEntry.Keep(shared_from_this());
}

void
ModelCall::RetryAfter(TimeMs aDelayMs)
{
  mRetry = Timer::After(mEntry.mNode.mLoop,
                        aDelayMs,
                        [self = shared_from_this()] { self->Proceed(); });
}

void
ModelCall::OnRefused(const AnswerHead& aHead)
{
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  Leave();
  mEntry.mFleet.OnSenderRevision(aHead.mSender);
  if (auto hint = DecodeLoadHint(aHead.mLoadHint)) {
    ApplyLoadHint(mEntry.mBalancer, mAddress, *hint, now);
  }
  mLastError = { aHead.mCode,
                 aHead.mReason,
                 mExecution ? ExecutionState::Ran : RanOfRefusal(mContext),
                 aHead.mRetryAfterMs };
  Explain("refused",
          mBackendHost,
          std::string(ToName(kErrorCodeNames, aHead.mCode)) + ": " +
            aHead.mReason);
  if (aHead.mExecution != ExecutionState::NotRun) {
    mExecution = true;
    AfterFailure(aHead.mCrashId);
    return;
  }
  bool config = aHead.mCode == ErrorCode::ConfigOlder ||
                aHead.mCode == ErrorCode::ConfigStale ||
                aHead.mCode == ErrorCode::NoConfiguration;
  if (config) {
    // The next message carries a newer revision or a younger state of the head.
    mTried.clear();
    RetryAfter(aHead.mCode == ErrorCode::ConfigStale ? kStalePauseMs
                                                     : kRetryPauseMs);
    return;
  }
  Proceed();
}

void
ModelCall::OnEnd(const AnswerEnd& aEnd)
{
  mExecution = true;
  Bill(aEnd, aEnd.mComplete);
  Leave();
  if (!aEnd.mComplete) {
    mLastError = { aEnd.mCode, aEnd.mReason, aEnd.mExecution, 100 };
    AfterFailure(aEnd.mCrashId);
    return;
  }
  mEntry.ObserveStep(CurrentStep().mModel,
                     mEntry.mNode.mLoop.NowMs() - mStepStartedMs);
  OnRequestCompleted(mEntry.mQuarantine, {}, mFingerprint);
  OnStepDone();
}

// The agent was lost with the request; its backend server may have crashed.
void
ModelCall::OnBroken()
{
  Leave();
  mExecution = true;
  mLastError = {
    ErrorCode::BackendFailed, "the agent was lost", ExecutionState::Unknown, 100
  };
  AfterFailure(CrashId(mAddress, mBackendHost));
}

// Sends the step to another backend server when nothing of its answer has
// reached the caller and the customer's retry budget allows.
void
ModelCall::AfterFailure(std::uint64_t aCrash)
{
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  if (aCrash != 0) {
    // Only a run that was sent alone is known here to have been alone; the
    // agent's own count of what broke comes with its report.
    SuspectRow rows[] = { { mFingerprint, { { aCrash, mAlone, false } }, 0 } };
    MergeSuspects(mEntry.mQuarantine, {}, rows, now);
  }
  mAnswer.clear();
  mText.clear();
  mRatedBytes = 0;
  if (mReply->IsStarted() ||
      !TryAcquireRetry(mEntry.mLimits, {}, mCustomer, now)) {
    Fail(mLastError);
    return;
  }
  Proceed();
}

// Ends the attempt at the present agent, if there is one.
void
ModelCall::Leave()
{
  if (!mExchange) {
    return;
  }
  std::exchange(mExchange, nullptr)->Cancel();
  OnRequestEnded(
    mEntry.mBalancer, mAddress, mChat.mInputTokens + mChat.mOutputTokens);
  if (AgentLink* link = mEntry.mLinks.Find(mAddress)) {
    --link->mLocalRequests;
  }
}

void
ModelCall::Fail(const CallerError& aError)
{
  if (mOver) {
    return;
  }
  mEntry.CountError(aError, mContext.mRequestId);
  Explain("failed",
          std::string(ToName(kErrorCodeNames, aError.mCode)),
          aError.mMessage);
  if (mReply->IsStarted()) {
    mReply->mOnClosed = {};
    mReply->mOnDrained = {};
    mReply->Chunk(StreamError(aError, mContext.mRequestId));
    mReply->End();
  } else {
    SendError(*mReply, aError, mContext.mRequestId);
  }
  Over();
}

// Lets go of everything that refers back to this call.
void
ModelCall::Over()
{
  mOver = true;
  mDeadline.Cancel();
  mRetry.Cancel();
  mReply->mOnClosed = {};
  mReply->mOnDrained = {};
  mEntry.Forget(this);
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
