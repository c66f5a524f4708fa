#include "agent_exchange.h"
#include "entry.h"
#include "savory/core/identity.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savory {

using nlohmann::json;

namespace {

constexpr int kMaxAttempts = 4;

// Bytes in the caller's socket buffer above which the agent gets no credit.
constexpr std::size_t kPendingBytes = 16 * 1024;

// One model call at an entry, from the caller's request to its answer.
class ModelCall : public std::enable_shared_from_this<ModelCall>
{
public:
  ModelCall(Entry& aEntry,
            CallerContext aContext,
            const std::shared_ptr<HttpReply>& aReply)
    : mEntry(aEntry)
    , mContext(std::move(aContext))
    , mReply(aReply)
  {
    mEntry.CallStarted(this);
  }

  ~ModelCall() { mEntry.CallEnded(this); }

  void Begin(const HttpRequest& aRequest);

private:
  void TryNext();
  void OnAccepted(const AnswerHead& aHead);
  void OnBody(std::string_view aBytes);
  void OnEnd(const AnswerEnd& aEnd);
  void Fail(const CallerError& aError);
  void Leave();
  Headers AnswerHeaders() const;
  std::string Choose();

  Entry& mEntry;
  CallerContext mContext;
  std::shared_ptr<HttpReply> mReply;
  std::shared_ptr<AgentExchange> mExchange;
  Timer mDeadline;
  ChatRequest mChat;
  std::string mBody;
  std::string mModel;
  std::string mVersion;
  std::string mAddress;
  std::string mBackendHost;
  std::vector<std::string> mTried;
  CallerError mLastError;
  int mAttempt = 0;
  Headers mHeaders;
  int mStatus = 200;
  std::string mAnswer;
};

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

  // 2. Model and version.
  for (const auto& model : mContext.mConfig->mModels) {
    if (!mChat.mModel.empty() && mChat.mModel != model.mName) {
      continue;
    }
    for (const auto& version : model.mVersions) {
      if (mModel.empty() && version.mState == VersionState::Serving &&
          IsAllowed(*mContext.mCustomer, model.mName, version.mName)) {
        mModel = model.mName;
        mVersion = version.mName;
      }
    }
  }
  if (mModel.empty()) {
    Fail({ FindModel(*mContext.mConfig, mChat.mModel) || mChat.mModel.empty()
             ? ErrorCode::NotAllowed
             : ErrorCode::UnknownModel,
           "no allowed version of model \"" + mChat.mModel + "\"",
           Ran::NotRun,
           0 });
    return;
  }
  json document = json::parse(aRequest.mBody, nullptr, false);
  document["model"] = mModel;
  if (mChat.mStream) {
    document["stream_options"] = { { "include_usage", true } };
  }
  mBody = document.dump(-1, ' ', false, json::error_handler_t::replace);

  // 3. The deadline, and the end of the caller's connection.
  auto self = shared_from_this();
  mDeadline = Timer::After(mEntry.mNode.mLoop, mContext.mDeadlineMs, [self] {
    self->Leave();
    self->Fail(
      { ErrorCode::DeadlineExceeded, "the deadline has passed", Ran::Ran, 0 });
  });
  mReply->mOnClosed = [self] {
    self->Leave();
    self->mDeadline.Cancel();
  };
  TryNext();
}

// The agent with the fewest own requests among those that serve the version.
std::string
ModelCall::Choose()
{
  std::string best;
  int fewest = 0;
  std::string wanted = mModel + "@" + mVersion;
  for (const auto& [address, link] : mEntry.mLinks.All()) {
    const Report& report = link.mReport;
    bool serves =
      std::find(report.mVersions.begin(), report.mVersions.end(), wanted) !=
      report.mVersions.end();
    bool tried =
      std::find(mTried.begin(), mTried.end(), address) != mTried.end();
    if (!link.mConnection || !serves || tried || report.mLeaving ||
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

// Sends the request to the next agent, or gives up.
void
ModelCall::TryNext()
{
  std::string address = mAttempt < kMaxAttempts ? Choose() : "";
  if (address.empty()) {
    if (mTried.empty()) {
      mLastError = { ErrorCode::NoBackend,
                     "no backend server serves " + mModel + "@" + mVersion,
                     Ran::NotRun,
                     500 };
    }
    Fail(mLastError);
    return;
  }
  AgentLink* link = mEntry.mLinks.Find(address);
  RunRequest request{
    .mFrom = SenderOf(mEntry.mNode),
    .mRequestId = mContext.mRequestId,
    .mAttempt = ++mAttempt,
    .mCustomer = mContext.mCustomer->mName,
    .mModel = mModel,
    .mVersion = mVersion,
    .mSession = {},
    .mDeadlineMs = mContext.mDeadlineMs,
    .mInputTokens = mChat.mInputTokens,
    .mOutputTokens = mChat.mOutputTokens,
    .mFingerprint = HashOf(mBody),
    .mPriority = mContext.mCustomer->mPriority,
    .mStream = mChat.mStream,
  };
  mAddress = address;
  mBackendHost = link->mReport.mFrom.mHost;
  mTried.push_back(address);
  mEntry.mFleet.BringUpToDate(*link);
  mExchange =
    AgentExchange::Start(*link->mConnection, "/run", Encode(request), mBody);
  if (!mExchange) {
    TryNext();
    return;
  }
  ++link->mOwn;
  auto self = shared_from_this();
  mExchange->mOnAccepted = [self](const AnswerHead& aHead) {
    self->OnAccepted(aHead);
  };
  mExchange->mOnRefused = [self](const AnswerHead& aHead) {
    self->Leave();
    self->mLastError = {
      aHead.mCode, aHead.mReason, aHead.mRan, aHead.mRetryAfterMs
    };
    self->TryNext();
  };
  mExchange->mOnBody = [self](std::string_view aBytes) {
    self->OnBody(aBytes);
  };
  mExchange->mOnEnd = [self](const AnswerEnd& aEnd) { self->OnEnd(aEnd); };
  mExchange->mOnBroken = [self](bool) {
    self->Leave();
    self->mLastError = {
      ErrorCode::BackendFailed, "the agent was lost", Ran::Unknown, 100
    };
    if (self->mReply->IsStarted()) {
      self->Fail(self->mLastError);
    } else {
      self->mAnswer.clear();
      self->TryNext();
    }
  };
}

Headers
ModelCall::AnswerHeaders() const
{
  Headers headers = mHeaders;
  headers.emplace_back("x-savory-request-id", mContext.mRequestId);
  if (mContext.mExplain) {
    headers.emplace_back("x-savory-model", mModel);
    headers.emplace_back("x-savory-version", mVersion);
    headers.emplace_back("x-savory-backend", mBackendHost);
  }
  return headers;
}

void
ModelCall::OnAccepted(const AnswerHead& aHead)
{
  mHeaders = aHead.mHeaders;
  mStatus = aHead.mStatus;
  if (!mChat.mStream) {
    return;
  }
  mExchange->HoldCredit();
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
  if (!mChat.mStream) {
    mAnswer += aBytes;
    return;
  }
  mReply->Chunk(aBytes);
  if (mReply->PendingBytes() < kPendingBytes) {
    mExchange->ReleaseCredit();
  }
}

void
ModelCall::OnEnd(const AnswerEnd& aEnd)
{
  Leave();
  if (!aEnd.mComplete) {
    mLastError = { aEnd.mCode, aEnd.mReason, aEnd.mRan, 100 };
    if (mReply->IsStarted()) {
      Fail(mLastError);
    } else {
      mAnswer.clear();
      TryNext();
    }
    return;
  }
  mDeadline.Cancel();
  mReply->mOnClosed = {};
  mReply->mOnDrained = {};
  if (mChat.mStream) {
    mReply->End();
  } else {
    mReply->Send(mStatus, AnswerHeaders(), mAnswer);
  }
}

// Ends the attempt at the present agent, if there is one.
void
ModelCall::Leave()
{
  if (mExchange) {
    std::exchange(mExchange, nullptr)->Cancel();
    if (AgentLink* link = mEntry.mLinks.Find(mAddress)) {
      --link->mOwn;
    }
  }
}

void
ModelCall::Fail(const CallerError& aError)
{
  mDeadline.Cancel();
  mReply->mOnClosed = {};
  mReply->mOnDrained = {};
  if (mReply->IsStarted()) {
    mReply->Chunk(StreamError(aError, mContext.mRequestId));
    mReply->End();
  } else {
    SendError(*mReply, aError, mContext.mRequestId);
  }
}

} // namespace

void
StartModelCall(Entry& aEntry,
               const CallerContext& aContext,
               const HttpRequest& aRequest,
               const std::shared_ptr<HttpReply>& aReply)
{
  std::make_shared<ModelCall>(aEntry, aContext, aReply)->Begin(aRequest);
}

} // namespace savory
