#include "agent_exchange.h"
#include "entry.h"
#include "savory/core/identity.h"
#include "slots.h"

#include <algorithm>

namespace savory {

namespace {

constexpr int kMaxAttempts = 4;

// How long a call with a key waits for an owner of its slot: a take-over needs
// the 5 s of a lease, then up to 2 s until an agent takes the free slot.
constexpr TimeMs kOwnerWaitMs = 8000;
constexpr TimeMs kOwnerRetryMs = 50;

// A refusal after which a call with a key is sent again: it speaks of this
// attempt or of the present owner only.
bool
MayAskAgain(ErrorCode aCode, ExecutionState aExecution)
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
      // The new owner reads the record. With NotRun, it has no witnesses.
      return aExecution != ExecutionState::NotRun;
    default:
      return false;
  }
}

// Whether a refusal comes from the record, and so speaks of the key.
bool
IsOwnersWord(ErrorCode aCode)
{
  return aCode != ErrorCode::NotOwner && aCode != ErrorCode::ConfigOlder &&
         aCode != ErrorCode::ConfigStale && aCode != ErrorCode::NoConfiguration;
}

// Headers of a request that are passed on to the plain service.
constexpr std::array<std::string_view, 3> kPassedHeaders{
  "content-type",
  "accept",
  "idempotency-key",
};

// One call of a plain service at an entry.
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
    mEntry.CallStarted(this);
  }

  ~ServiceCall() { mEntry.CallEnded(this); }

  void Begin(const HttpRequest& aRequest);

private:
  void TryNext();
  std::string Choose() const;
  std::string FindOwner() const;
  void AskOwner();
  void AskOwnerLater();
  void OnOwnerRefused(const AnswerHead& aHead);
  void OnOwnerBroken();
  bool Send(const std::string& aAddress);
  void OnBroken(bool aAccepted);
  void OnEnd(const AnswerEnd& aEnd);
  void Leave();
  void Fail(const CallerError& aError);
  ExecutionState UnprovenRan() const;

  Entry& mEntry;
  CallerContext mContext;
  const Service& mService;
  std::shared_ptr<HttpReply> mReply;
  std::shared_ptr<AgentExchange> mExchange;
  Timer mDeadline;
  CallRequest mCall;
  std::string mBody;
  bool mNonIdempotent = false;
  bool mSent = false;
  // For a call with a key: its slot, the end of its attempts, and whether an
  // attempt was lost, after which only the owner knows what became of it.
  int mSlot = 0;
  TimeMs mStartMs = 0;
  bool mLost = false;
  Timer mRetry;
  std::string mAddress;
  std::string mBackendHost;
  std::vector<std::string> mTried;
  CallerError mLastError;
  AnswerHead mHead;
  std::string mAnswer;
};

void
ServiceCall::Begin(const HttpRequest& aRequest)
{
  // 1. Permission.
  const auto& allowed = mContext.mCustomer->mServices;
  if (std::find(allowed.begin(), allowed.end(), mService.mName) ==
      allowed.end()) {
    Fail({ ErrorCode::NotAllowed,
           "the customer may not use service \"" + mService.mName + "\"",
           ExecutionState::NotRun,
           0 });
    return;
  }

  // 2. The call as the agent will make it.
  std::string path = aRequest.mPath.substr(mService.mName.size() + 1);
  mNonIdempotent = IsNonIdempotent(mService, aRequest.mMethod, path);
  mBody = aRequest.mBody;
  mCall = {
    .mSender = {},
    .mFreshness = {},
    .mRequestId = mContext.mRequestId,
    .mCustomer = mContext.mCustomer->mName,
    .mService = mService.mName,
    .mMethod = aRequest.mMethod,
    .mPath = (path.empty() ? "/" : path) +
             (aRequest.mQuery.empty() ? "" : "?" + aRequest.mQuery),
    .mKey = mNonIdempotent ? mContext.mKey : "",
    .mFingerprint = Hash64(
      mBody,
      Hash64(aRequest.mMethod + " " + aRequest.mPath + "?" + aRequest.mQuery)),
    .mDeadlineMs = mContext.mDeadlineMs,
    .mHeaders = {},
  };
  for (const auto& [name, value] : aRequest.mHeaders) {
    if (std::find(kPassedHeaders.begin(), kPassedHeaders.end(), name) !=
        kPassedHeaders.end()) {
      mCall.mHeaders.emplace_back(name, value);
    }
  }

  // 3. The deadline, and the end of the caller's connection. A call that must
  // run at most once goes on without its caller, so that its outcome is known
  // when the caller asks again.
  auto self = shared_from_this();
  mDeadline = Timer::After(mEntry.mNode.mLoop, mContext.mDeadlineMs, [self] {
    self->Leave();
    self->mRetry.Cancel();
    if (self->mLost) {
      self->Fail(self->mLastError);
      return;
    }
    self->Fail({ ErrorCode::DeadlineExceeded,
                 "the deadline has passed",
                 self->UnprovenRan(),
                 0 });
  });
  mReply->mOnClosed = [self] {
    if (!self->mNonIdempotent) {
      self->Leave();
      self->mDeadline.Cancel();
    }
  };
  if (mCall.mKey.empty()) {
    TryNext();
    return;
  }
  mStartMs = mEntry.mNode.mLoop.NowMs();
  mSlot = HashKeyToSlot(mService, mCall.mCustomer, mCall.mKey);
  mLastError = { ErrorCode::RecordUnavailable,
                 "no agent owns the slot of the key",
                 ExecutionState::Unknown,
                 500 };
  AskOwner();
}

// What is known of a call that got no answer. A call with a key may have been
// sent before through another entry, so only its owner can prove "not run".
ExecutionState
ServiceCall::UnprovenRan() const
{
  bool maybe = mSent || (mNonIdempotent && !mCall.mKey.empty());
  return maybe ? ExecutionState::Unknown : ExecutionState::NotRun;
}

// The agent of the service with the fewest requests that was not tried.
std::string
ServiceCall::Choose() const
{
  std::string best;
  int fewest = 0;
  for (const auto& [address, link] : mEntry.mLinks.All()) {
    const AgentReport& report = link.mReport;
    bool tried =
      std::find(mTried.begin(), mTried.end(), address) != mTried.end();
    if (!link.mConnection || !report.mIsService ||
        report.mPool != mService.mName || tried || report.mLeaving ||
        !report.mReachable) {
      continue;
    }
    int load = link.mLocalRequests + report.mRunning;
    if (best.empty() || load < fewest) {
      best = address;
      fewest = load;
    }
  }
  return best;
}

void
ServiceCall::TryNext()
{
  std::string address = mTried.size() < kMaxAttempts ? Choose() : "";
  if (address.empty()) {
    if (mTried.empty()) {
      mLastError = { ErrorCode::NoBackend,
                     "no backend server of " + mService.mName,
                     UnprovenRan(),
                     500 };
    }
    Fail(mLastError);
    return;
  }
  mTried.push_back(address);
  if (!Send(address)) {
    TryNext();
    return;
  }
  auto self = shared_from_this();
  mExchange->mOnRefused = [self](const AnswerHead& aHead) {
    self->Leave();
    self->mLastError = {
      aHead.mCode, aHead.mReason, aHead.mExecution, aHead.mRetryAfterMs
    };
    if (aHead.mExecution == ExecutionState::NotRun) {
      self->mSent = false;
      self->TryNext();
    } else {
      self->Fail(self->mLastError);
    }
  };
  mExchange->mOnStreamLost = [self](bool aAccepted) {
    self->OnBroken(aAccepted);
  };
}

// Sends the call to an agent; false when nothing was sent.
bool
ServiceCall::Send(const std::string& aAddress)
{
  AgentLink* link = mEntry.mLinks.Find(aAddress);
  mEntry.mFleet.PushIfOutdated(*link);
  mCall.mSender = MakeSender(mEntry.mNode);
  mCall.mFreshness = mEntry.mFleet.MakeConfigFreshness(*link);
  mExchange =
    AgentExchange::Start(*link->mConnection, "/call", Encode(mCall), mBody);
  if (!mExchange) {
    return false;
  }
  mAddress = aAddress;
  mBackendHost = link->mReport.mSender.mHost;
  mSent = true;
  ++link->mLocalRequests;
  mAnswer.clear();
  auto self = shared_from_this();
  mExchange->mOnAccepted = [self](const AnswerHead& aHead) {
    self->mHead = aHead;
  };
  mExchange->mOnBody = [self](std::string_view aBytes) {
    self->mAnswer += aBytes;
  };
  mExchange->mOnEnd = [self](const AnswerEnd& aEnd) { self->OnEnd(aEnd); };
  return true;
}

// The agent whose report claims the slot with the highest epoch.
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
ServiceCall::AskOwner()
{
  std::string owner = FindOwner();
  TimeMs spent = mEntry.mNode.mLoop.NowMs() - mStartMs;
  mCall.mDeadlineMs = std::max<TimeMs>(mContext.mDeadlineMs - spent, 1);
  if (owner.empty() || !Send(owner)) {
    // What an earlier owner said of the key may have changed since.
    mLastError.mExecution = ExecutionState::Unknown;
    AskOwnerLater();
    return;
  }
  auto self = shared_from_this();
  mExchange->mOnRefused = [self](const AnswerHead& aHead) {
    self->OnOwnerRefused(aHead);
  };
  mExchange->mOnStreamLost = [self](bool) { self->OnOwnerBroken(); };
}

// Asks again, or ends the call when no owner was found in time. After a lost
// attempt the time is the caller's deadline, whose timer ends the call.
void
ServiceCall::AskOwnerLater()
{
  TimeMs spent = mEntry.mNode.mLoop.NowMs() - mStartMs;
  if (!mLost && spent + kOwnerRetryMs >= kOwnerWaitMs) {
    Fail(mLastError);
    return;
  }
  mRetry = Timer::After(mEntry.mNode.mLoop,
                        kOwnerRetryMs,
                        [self = shared_from_this()] { self->AskOwner(); });
}

void
ServiceCall::OnOwnerRefused(const AnswerHead& aHead)
{
  Leave();
  bool owners = IsOwnersWord(aHead.mCode);
  if (!owners && mLost) {
    // A lost attempt may have run; only the owner knows.
    AskOwnerLater();
    return;
  }
  mLost = false;
  mLastError = { aHead.mCode,
                 aHead.mReason,
                 owners ? aHead.mExecution : ExecutionState::Unknown,
                 aHead.mRetryAfterMs };
  if (mLastError.mCode == ErrorCode::NotOwner ||
      (mLastError.mCode == ErrorCode::Draining &&
       mLastError.mExecution != ExecutionState::NotRun)) {
    mLastError.mCode = ErrorCode::RecordUnavailable;
  } else if (mLastError.mCode == ErrorCode::BackendFailed) {
    mLastError.mCode = ErrorCode::OutcomeUnknown;
  }
  if (MayAskAgain(aHead.mCode, aHead.mExecution)) {
    AskOwnerLater();
  } else {
    Fail(mLastError);
  }
}

// The owner was lost after the call was sent to it. The record of the next
// owner, or of the same one, knows what became of the key.
void
ServiceCall::OnOwnerBroken()
{
  Leave();
  mLost = true;
  mLastError = { ErrorCode::OutcomeUnknown,
                 "the owner of the key's slot was lost",
                 ExecutionState::Unknown,
                 kOwnerRetryMs };
  AskOwnerLater();
}

// The agent was lost. An idempotent call goes to another one; any other may
// have run and must not be sent again.
void
ServiceCall::OnBroken(bool /*aAccepted*/)
{
  Leave();
  mLastError = { mNonIdempotent ? ErrorCode::OutcomeUnknown
                                : ErrorCode::BackendFailed,
                 "the agent was lost",
                 ExecutionState::Unknown,
                 100 };
  if (mNonIdempotent) {
    Fail(mLastError);
  } else {
    mAnswer.clear();
    TryNext();
  }
}

void
ServiceCall::OnEnd(const AnswerEnd& aEnd)
{
  Leave();
  if (!aEnd.mComplete) {
    mLastError = { aEnd.mCode, aEnd.mReason, aEnd.mExecution, 100 };
    Fail(mLastError);
    return;
  }
  // A replayed answer has the request id of the first, so that it is billed
  // once.
  mEntry.mBills.Add({ .mId = { mContext.mRequestId, 0, 0 },
                      .mCustomer = mContext.mCustomer->mName,
                      .mService = mService.mName,
                      .mVersion = {},
                      .mAgent = {},
                      .mInputTokens = 0,
                      .mOutputTokens = 0,
                      .mCost = 0,
                      .mComplete = true });
  mEntry.CountAnswer(mHead.mStatus);
  mDeadline.Cancel();
  mReply->mOnClosed = {};
  Headers headers = mHead.mHeaders;
  headers.emplace_back("x-savory-request-id", mContext.mRequestId);
  if (mHead.mReplayed) {
    headers.emplace_back("x-savory-replayed", "true");
  }
  if (mContext.mExplain) {
    headers.emplace_back("x-savory-backend", mBackendHost);
  }
  mReply->Send(mHead.mStatus, headers, mAnswer);
}

void
ServiceCall::Leave()
{
  if (mExchange) {
    std::exchange(mExchange, nullptr)->Cancel();
    if (AgentLink* link = mEntry.mLinks.Find(mAddress)) {
      --link->mLocalRequests;
    }
  }
}

void
ServiceCall::Fail(const CallerError& aError)
{
  mDeadline.Cancel();
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
