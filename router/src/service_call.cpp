#include "agent_exchange.h"
#include "entry.h"
#include "savory/core/identity.h"

#include <algorithm>

namespace savory {

namespace {

constexpr int kMaxAttempts = 4;

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
  void OnBroken(bool aAccepted);
  void OnEnd(const AnswerEnd& aEnd);
  void Leave();
  void Fail(const CallerError& aError);
  Ran UnprovenRan() const;

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
           Ran::NotRun,
           0 });
    return;
  }

  // 2. The call as the agent will make it.
  std::string path = aRequest.mPath.substr(mService.mName.size() + 1);
  mNonIdempotent = IsNonIdempotent(mService, aRequest.mMethod, path);
  mBody = aRequest.mBody;
  mCall = {
    .mFrom = {},
    .mRequestId = mContext.mRequestId,
    .mCustomer = mContext.mCustomer->mName,
    .mService = mService.mName,
    .mMethod = aRequest.mMethod,
    .mPath = (path.empty() ? "/" : path) +
             (aRequest.mQuery.empty() ? "" : "?" + aRequest.mQuery),
    .mKey = mNonIdempotent ? mContext.mKey : "",
    .mFingerprint =
      HashOf(mBody, HashOf(aRequest.mMethod + " " + aRequest.mPath)),
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
  TryNext();
}

// What is known of a call that got no answer. A call with a key may have been
// sent before through another entry, so only its owner can prove "not run".
Ran
ServiceCall::UnprovenRan() const
{
  bool maybe = mSent || (mNonIdempotent && !mCall.mKey.empty());
  return maybe ? Ran::Unknown : Ran::NotRun;
}

// The agent of the service with the fewest requests that was not tried.
std::string
ServiceCall::Choose() const
{
  std::string best;
  int fewest = 0;
  for (const auto& [address, link] : mEntry.mLinks.All()) {
    const Report& report = link.mReport;
    bool tried =
      std::find(mTried.begin(), mTried.end(), address) != mTried.end();
    if (!link.mConnection || !report.mIsService ||
        report.mPool != mService.mName || tried || report.mLeaving ||
        !report.mReachable) {
      continue;
    }
    int load = link.mOwn + report.mRunning;
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
  AgentLink* link = mEntry.mLinks.Find(address);
  mAddress = address;
  mBackendHost = link->mReport.mFrom.mHost;
  mTried.push_back(address);
  mCall.mFrom = SenderOf(mEntry.mNode);
  mEntry.mFleet.BringUpToDate(*link);
  mExchange =
    AgentExchange::Start(*link->mConnection, "/call", Encode(mCall), mBody);
  if (!mExchange) {
    TryNext();
    return;
  }
  mSent = true;
  ++link->mOwn;
  auto self = shared_from_this();
  mExchange->mOnAccepted = [self](const AnswerHead& aHead) {
    self->mHead = aHead;
  };
  mExchange->mOnRefused = [self](const AnswerHead& aHead) {
    self->Leave();
    self->mLastError = {
      aHead.mCode, aHead.mReason, aHead.mRan, aHead.mRetryAfterMs
    };
    if (aHead.mRan == Ran::NotRun) {
      self->mSent = false;
      self->TryNext();
    } else {
      self->Fail(self->mLastError);
    }
  };
  mExchange->mOnBody = [self](std::string_view aBytes) {
    self->mAnswer += aBytes;
  };
  mExchange->mOnEnd = [self](const AnswerEnd& aEnd) { self->OnEnd(aEnd); };
  mExchange->mOnBroken = [self](bool aAccepted) { self->OnBroken(aAccepted); };
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
                 Ran::Unknown,
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
    mLastError = { aEnd.mCode, aEnd.mReason, aEnd.mRan, 100 };
    Fail(mLastError);
    return;
  }
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
      --link->mOwn;
    }
  }
}

void
ServiceCall::Fail(const CallerError& aError)
{
  mDeadline.Cancel();
  mReply->mOnClosed = {};
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
