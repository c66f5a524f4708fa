#include "agent_exchange.h"
#include "entry.h"
#include "savory/core/identity.h"
#include "slots.h"

#include <algorithm>

namespace savory {

namespace {

constexpr int kMaxAttempts = 4;

// Longest wait of a call with a key for an owner of its slot. A takeover needs
// the 5 s of a lease, then up to 2 s until an agent acquires the free slot.
constexpr TimeMs kMaxOwnerWaitMs = 8000;
constexpr TimeMs kOwnerRetryMs = 50;

// Whether a call with a key is sent again after a refusal, because the refusal
// concerns only this attempt or the current owner.
bool
IsRetryableRefusal(ErrorCode aCode, ExecutionState aExecution)
{
  switch (aCode) {
    case ErrorCode::NotOwner:
    case ErrorCode::ConfigOlder:
    case ErrorCode::ConfigStale:
    case ErrorCode::NoConfiguration:
    case ErrorCode::Draining:
    case ErrorCode::NoBackend:
      return true;
    case ErrorCode::RecordUnavailable:
      // A new owner is still reading the record. With NotRun, the owner has no
      // witnesses.
      return aExecution != ExecutionState::NotRun;
    default:
      return false;
  }
}

// Whether a refusal is based on the slot's record, so that its execution state
// holds for the key.
bool
IsRecordRefusal(ErrorCode aCode)
{
  return aCode != ErrorCode::NotOwner && aCode != ErrorCode::ConfigOlder &&
         aCode != ErrorCode::ConfigStale && aCode != ErrorCode::NoConfiguration;
}

// Request headers that are forwarded to the plain service.
constexpr std::array<std::string_view, 3> kForwardedHeaders{
  "content-type",
  "accept",
  "idempotency-key",
};

// A call of a plain service at an entry.
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
  ServiceCall(Entry& aEntry,
              CallerContext aContext,
              const Service& aService,
              const std::shared_ptr<HttpReply>& aReply)
    : mEntry(aEntry)
    , mContext(std::move(aContext))
    , mService(aService)
    , mReply(aReply)
  {
    mEntry.OnCallStarted(this);
  }

  ~ServiceCall() { mEntry.OnCallEnded(this); }

  void Begin(const HttpRequest& aRequest);

private:
  void TryNextAgent();
  std::string ChooseAgent() const;
  std::string FindOwner() const;
  void SendToOwner();
  void RetryOwnerOrFail();
  void OnOwnerRefused(const AnswerHead& aHead);
  void OnOwnerLost();
  bool Send(const std::string& aAddress);
  void OnAgentLost(bool aAccepted);
  void OnEnd(const AnswerEnd& aEnd);
  void EndAttempt();
  void Fail(const CallerError& aError);
  ExecutionState UnansweredExecutionState() const;

  Entry& mEntry;
  CallerContext mContext;
  const Service& mService;
  std::shared_ptr<HttpReply> mReply;
  std::shared_ptr<AgentExchange> mExchange;
  Timer mDeadlineTimer;
  CallRequest mCallRequest;
  std::string mBody;
  bool mNonIdempotent = false;
  bool mSent = false;
  // For a call with a key: its slot, the start of its attempts, and whether the
  // connection was lost during an attempt, after which only the slot's owner
  // knows the outcome.
  int mSlot = 0;
  TimeMs mStartedMs = 0;
  bool mAttemptLost = false;
  Timer mRetryTimer;
  std::string mAgentAddress;
  std::string mBackendHost;
  std::vector<std::string> mTriedAgents;
  CallerError mLastError;
  AnswerHead mAnswerHead;
  std::string mAnswer;
};

void
ServiceCall::Begin(const HttpRequest& aRequest)
{
  // 1. Check permission.
  const auto& allowed = mContext.mCustomer->mServices;
  if (std::find(allowed.begin(), allowed.end(), mService.mName) ==
      allowed.end()) {
    Fail({ ErrorCode::NotAllowed,
           "the customer may not use service \"" + mService.mName + "\"",
           ExecutionState::NotRun,
           0 });
    return;
  }

  // 2. Make the request for the agent.
  std::string path = aRequest.mPath.substr(mService.mName.size() + 1);
  mNonIdempotent = IsNonIdempotent(mService, aRequest.mMethod, path);
  mBody = aRequest.mBody;
  mCallRequest = {
    .mSender = {},
    .mFreshness = {},
    .mRequestId = mContext.mRequestId,
    .mCustomer = mContext.mCustomer->mName,
    .mService = mService.mName,
    .mMethod = aRequest.mMethod,
    .mPath = (path.empty() ? "/" : path) +
             (aRequest.mQuery.empty() ? "" : "?" + aRequest.mQuery),
    .mKey = mNonIdempotent ? mContext.mIdempotencyKey : "",
    .mFingerprint = Hash64(
      mBody,
      Hash64(aRequest.mMethod + " " + aRequest.mPath + "?" + aRequest.mQuery)),
    .mDeadlineMs = mContext.mDeadlineMs,
    .mHeaders = {},
  };
  for (const auto& [name, value] : aRequest.mHeaders) {
    if (std::find(kForwardedHeaders.begin(), kForwardedHeaders.end(), name) !=
        kForwardedHeaders.end()) {
      mCallRequest.mHeaders.emplace_back(name, value);
    }
  }

  // 3. Watch the deadline and the caller's connection. A call that must run at
  // most once continues after its caller disconnects, so that its outcome is
  // known when the caller retries.
  auto self = shared_from_this();
  mDeadlineTimer =
    Timer::After(mEntry.mNode.mLoop, mContext.mDeadlineMs, [self] {
      self->EndAttempt();
      self->mRetryTimer.Cancel();
      if (self->mAttemptLost) {
        self->Fail(self->mLastError);
        return;
      }
      self->Fail({ ErrorCode::DeadlineExceeded,
                   "the deadline has passed",
                   self->UnansweredExecutionState(),
                   0 });
    });
  mReply->mOnClosed = [self] {
    if (!self->mNonIdempotent) {
      self->EndAttempt();
      self->mDeadlineTimer.Cancel();
    }
  };
  if (mCallRequest.mKey.empty()) {
    TryNextAgent();
    return;
  }
  mStartedMs = mEntry.mNode.mLoop.NowMs();
  mSlot = HashKeyToSlot(mService, mCallRequest.mCustomer, mCallRequest.mKey);
  mLastError = { ErrorCode::RecordUnavailable,
                 "no agent owns the slot of the key",
                 ExecutionState::Unknown,
                 500 };
  SendToOwner();
}

// Returns the execution state of a call without an answer. A call with a key
// may have been sent before through another entry, so only the slot's owner can
// prove that it did not run.
ExecutionState
ServiceCall::UnansweredExecutionState() const
{
  bool mayHaveRun = mSent || (mNonIdempotent && !mCallRequest.mKey.empty());
  return mayHaveRun ? ExecutionState::Unknown : ExecutionState::NotRun;
}

// Returns the address of the untried agent of the service with the fewest
// requests, or an empty string.
std::string
ServiceCall::ChooseAgent() const
{
  std::string best;
  int lowestLoad = 0;
  for (const auto& [address, link] : mEntry.mLinks.All()) {
    const AgentReport& report = link.mReport;
    bool tried = std::find(mTriedAgents.begin(), mTriedAgents.end(), address) !=
                 mTriedAgents.end();
    if (!link.mConnection || !report.mIsService ||
        report.mPool != mService.mName || tried || report.mLeaving ||
        !report.mReachable) {
      continue;
    }
    int load = link.mLocalRequests + report.mRunning;
    if (best.empty() || load < lowestLoad) {
      best = address;
      lowestLoad = load;
    }
  }
  return best;
}

void
ServiceCall::TryNextAgent()
{
  std::string address = mTriedAgents.size() < kMaxAttempts ? ChooseAgent() : "";
  if (address.empty()) {
    if (mTriedAgents.empty()) {
      mLastError = { ErrorCode::NoBackend,
                     "no backend server is available for service " +
                       mService.mName,
                     UnansweredExecutionState(),
                     500 };
    }
    Fail(mLastError);
    return;
  }
  mTriedAgents.push_back(address);
  if (!Send(address)) {
    TryNextAgent();
    return;
  }
  auto self = shared_from_this();
  mExchange->mOnRefused = [self](const AnswerHead& aHead) {
    self->EndAttempt();
    self->mLastError = {
      aHead.mCode, aHead.mReason, aHead.mExecution, aHead.mRetryAfterMs
    };
    if (aHead.mExecution == ExecutionState::NotRun) {
      self->mSent = false;
      self->TryNextAgent();
    } else {
      self->Fail(self->mLastError);
    }
  };
  mExchange->mOnStreamLost = [self](bool aAccepted) {
    self->OnAgentLost(aAccepted);
  };
}

// Sends the call to an agent. Returns false when nothing was sent.
bool
ServiceCall::Send(const std::string& aAddress)
{
  AgentLink* link = mEntry.mLinks.Find(aAddress);
  mEntry.mFleet.PushIfOutdated(*link);
  mCallRequest.mSender = MakeSender(mEntry.mNode);
  mCallRequest.mFreshness = mEntry.mFleet.MakeConfigFreshness(*link);
  mExchange = AgentExchange::Start(
    *link->mConnection, "/call", Encode(mCallRequest), mBody);
  if (!mExchange) {
    return false;
  }
  mAgentAddress = aAddress;
  mBackendHost = link->mReport.mSender.mHost;
  mSent = true;
  ++link->mLocalRequests;
  mAnswer.clear();
  auto self = shared_from_this();
  mExchange->mOnAccepted = [self](const AnswerHead& aHead) {
    self->mAnswerHead = aHead;
  };
  mExchange->mOnBody = [self](std::string_view aBytes) {
    self->mAnswer += aBytes;
  };
  mExchange->mOnEnd = [self](const AnswerEnd& aEnd) { self->OnEnd(aEnd); };
  return true;
}

// Returns the address of the agent that reports the slot with the highest
// epoch, or an empty string.
std::string
ServiceCall::FindOwner() const
{
  std::string owner;
  std::int64_t epoch = -1;
  for (const auto& [address, link] : mEntry.mLinks.All()) {
    const AgentReport& report = link.mReport;
    if (!link.mConnection || !report.mIsService ||
        report.mPool != mService.mName) {
      continue;
    }
    for (const auto& slot : report.mSlots) {
      if (slot.mSlot == mSlot && slot.mEpoch > epoch) {
        owner = address;
        epoch = slot.mEpoch;
      }
    }
  }
  return owner;
}

void
ServiceCall::SendToOwner()
{
  std::string owner = FindOwner();
  TimeMs elapsedMs = mEntry.mNode.mLoop.NowMs() - mStartedMs;
  mCallRequest.mDeadlineMs =
    std::max<TimeMs>(mContext.mDeadlineMs - elapsedMs, 1);
  if (owner.empty() || !Send(owner)) {
    // The state of the key may have changed since an earlier owner reported it.
    mLastError.mExecution = ExecutionState::Unknown;
    RetryOwnerOrFail();
    return;
  }
  auto self = shared_from_this();
  mExchange->mOnRefused = [self](const AnswerHead& aHead) {
    self->OnOwnerRefused(aHead);
  };
  mExchange->mOnStreamLost = [self](bool) { self->OnOwnerLost(); };
}

// Schedules another attempt at the owner, or fails the call after
// kMaxOwnerWaitMs. After a lost attempt only the caller's deadline limits the
// wait, and its timer ends the call.
void
ServiceCall::RetryOwnerOrFail()
{
  TimeMs elapsedMs = mEntry.mNode.mLoop.NowMs() - mStartedMs;
  if (!mAttemptLost && elapsedMs + kOwnerRetryMs >= kMaxOwnerWaitMs) {
    Fail(mLastError);
    return;
  }
  mRetryTimer =
    Timer::After(mEntry.mNode.mLoop,
                 kOwnerRetryMs,
                 [self = shared_from_this()] { self->SendToOwner(); });
}

void
ServiceCall::OnOwnerRefused(const AnswerHead& aHead)
{
  EndAttempt();
  bool isRecordRefusal = IsRecordRefusal(aHead.mCode);
  if (!isRecordRefusal && mAttemptLost) {
    // The lost attempt may have run; only the slot's owner knows.
    RetryOwnerOrFail();
    return;
  }
  mAttemptLost = false;
  mLastError = { aHead.mCode,
                 aHead.mReason,
                 isRecordRefusal ? aHead.mExecution : ExecutionState::Unknown,
                 aHead.mRetryAfterMs };
  if (mLastError.mCode == ErrorCode::NotOwner ||
      (mLastError.mCode == ErrorCode::Draining &&
       mLastError.mExecution != ExecutionState::NotRun)) {
    mLastError.mCode = ErrorCode::RecordUnavailable;
  } else if (mLastError.mCode == ErrorCode::BackendFailed) {
    mLastError.mCode = ErrorCode::OutcomeUnknown;
  }
  if (IsRetryableRefusal(aHead.mCode, aHead.mExecution)) {
    RetryOwnerOrFail();
  } else {
    Fail(mLastError);
  }
}

// The connection to the owner was lost after the call was sent. The record of
// the next owner, or of the same one, holds the outcome of the key.
void
ServiceCall::OnOwnerLost()
{
  EndAttempt();
  mAttemptLost = true;
  mLastError = { ErrorCode::OutcomeUnknown,
                 "the connection to the owner of the key's slot was lost",
                 ExecutionState::Unknown,
                 kOwnerRetryMs };
  RetryOwnerOrFail();
}

// The connection to the agent was lost. An idempotent call is sent to another
// agent. Any other call may have run and must not be sent again.
void
ServiceCall::OnAgentLost(bool /*aAccepted*/)
{
  EndAttempt();
  mLastError = { mNonIdempotent ? ErrorCode::OutcomeUnknown
                                : ErrorCode::BackendFailed,
                 "the connection to the agent was lost",
                 ExecutionState::Unknown,
                 100 };
  if (mNonIdempotent) {
    Fail(mLastError);
  } else {
    mAnswer.clear();
    TryNextAgent();
  }
}

void
ServiceCall::OnEnd(const AnswerEnd& aEnd)
{
  EndAttempt();
  if (!aEnd.mComplete) {
    mLastError = { aEnd.mCode, aEnd.mReason, aEnd.mExecution, 100 };
    Fail(mLastError);
    return;
  }
  // A replayed answer carries the request id of the original, so that the call
  // is billed once.
  mEntry.mBills.Add({ .mId = { mContext.mRequestId, 0, 0 },
                      .mCustomer = mContext.mCustomer->mName,
                      .mService = mService.mName,
                      .mVersion = {},
                      .mAgent = {},
                      .mInputTokens = 0,
                      .mOutputTokens = 0,
                      .mCost = 0,
                      .mComplete = true });
  mEntry.CountAnswer(mAnswerHead.mStatus);
  mDeadlineTimer.Cancel();
  mReply->mOnClosed = {};
  Headers headers = mAnswerHead.mHeaders;
  headers.emplace_back("x-savory-request-id", mContext.mRequestId);
  if (mAnswerHead.mReplayed) {
    headers.emplace_back("x-savory-replayed", "true");
  }
  if (mContext.mWantsExplanation) {
    headers.emplace_back("x-savory-backend", mBackendHost);
  }
  mReply->Send(mAnswerHead.mStatus, headers, mAnswer);
}

void
ServiceCall::EndAttempt()
{
  if (mExchange) {
    std::exchange(mExchange, nullptr)->Cancel();
    if (AgentLink* link = mEntry.mLinks.Find(mAgentAddress)) {
      --link->mLocalRequests;
    }
  }
}

void
ServiceCall::Fail(const CallerError& aError)
{
  mDeadlineTimer.Cancel();
  mReply->mOnClosed = {};
  mEntry.CountError(aError, mContext.mRequestId);
  SendError(*mReply, aError, mContext.mRequestId);
}

} // namespace

void
StartServiceCall(Entry& aEntry,
                 const CallerContext& aContext,
                 const Service& aService,
                 const HttpRequest& aRequest,
                 const std::shared_ptr<HttpReply>& aReply)
{
  std::make_shared<ServiceCall>(aEntry, aContext, aService, aReply)
    ->Begin(aRequest);
}

} // namespace savory
