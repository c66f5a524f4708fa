#include "agent_run.h"

#include "savory/core/permission.h"
#include "savory/net/http_server.h"
#include "savory/net/log.h"

#include <algorithm>

namespace savory {

namespace {

// Unsent bytes of the entry's stream above which reading from the backend
// server pauses, and below which it resumes.
constexpr std::size_t kPauseReadingBytes = 64 * 1024;
constexpr std::size_t kResumeReadingBytes = 32 * 1024;

// Longest wait of a request until this agent has the entry's configuration.
constexpr TimeMs kConfigWaitMs = 1000;

// Counts the server-sent events in aBytes, each of which carries about one
// token.
std::int64_t
CountEvents(std::string_view aBytes)
{
  std::int64_t count = 0;
  for (auto position = aBytes.find("data: ");
       position != std::string_view::npos;
       position = aBytes.find("data: ", position + 1)) {
    ++count;
  }
  return count;
}

} // namespace

AgentRun::AgentRun(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream)
  : mAgent(aAgent)
  , mStream(aStream)
  , mArrivedMs(aAgent.mNode.mLoop.NowMs())
{
  mAgent.OnCallStarted(this);
}

AgentRun::~AgentRun()
{
  mConfigConnection.disconnect();
  ReleaseAdmission();
  mAgent.OnCallEnded(this);
}

void
AgentRun::Listen()
{
  auto self = shared_from_this();
  mStream->mOnFrame = [self](const Frame& aFrame) { self->OnFrame(aFrame); };
  mStream->mOnClosed = [self](bool) { self->OnStreamClosed(); };
}

// The entry disconnected or cancelled the request, so the answer has no
// recipient.
void
AgentRun::OnStreamClosed()
{
  mConfigConnection.disconnect();
  mConfigTimer.Cancel();
  if (mExchange) {
    std::exchange(mExchange, nullptr)->Cancel();
  }
  ReleaseAdmission();
}

void
AgentRun::OnFrame(const Frame& aFrame)
{
  if (aFrame.mType == FrameType::Head && !mHeadReceived) {
    auto request = DecodeRunRequest(aFrame.mPayload);
    if (!request) {
      RefuseRun({ ErrorCode::BadRequest, request.error().mReason, 0, {} });
      return;
    }
    mHeadReceived = true;
    mRequest = *request;
  } else if (aFrame.mType == FrameType::Body && mHeadReceived && !mDecided) {
    // A body longer than a frame arrives in several frames. A frame shorter
    // than the maximum is the last one.
    mBody += aFrame.mPayload;
    if (aFrame.mPayload.size() < kMaxFrameBytes) {
      mDecided = true;
      WaitForConfiguration();
    }
  }
}

// Decides once the configuration in force here is at least as new as the
// entry's.
void
AgentRun::WaitForConfiguration()
{
  const auto& config = mAgent.mNode.mConfig;
  if (config && config->mRevision >= mRequest.mSender.mRevision) {
    Decide();
    return;
  }
  auto self = shared_from_this();
  mConfigConnection = mAgent.mNode.mConfigChanged.connect([self] {
    if (self->mAgent.mNode.mConfig->mRevision >=
        self->mRequest.mSender.mRevision) {
      // Deferred to the next iteration of the event loop: disconnecting
      // destroys this callback, which holds the run.
      self->mConfigTimer = Timer::After(self->mAgent.mNode.mLoop, 0, [self] {
        self->mConfigConnection.disconnect();
        self->Decide();
      });
    }
  });
  mConfigTimer = Timer::After(mAgent.mNode.mLoop, kConfigWaitMs, [self] {
    self->mConfigConnection.disconnect();
    self->RefuseRun({ ErrorCode::NoConfiguration,
                      "the agent does not have the entry's configuration yet",
                      100,
                      {} });
  });
}

// Returns what forbids the run under the configuration in force, or nothing.
// Runs at arrival and again when a queued run starts.
std::optional<CallRefusal>
AgentRun::CheckRun() const
{
  const Node& node = mAgent.mNode;
  if (mAdmitted && !mAgent.IsConfigurationFresh()) {
    return CallRefusal{ ErrorCode::ConfigStale,
                        "the request waited too long to tell whether its "
                        "configuration is the newest",
                        100,
                        {} };
  }
  if (node.mDraining) {
    return CallRefusal{
      ErrorCode::Draining, "the backend server is leaving", 100, {}
    };
  }
  if (mAgent.IsZoneOut()) {
    return CallRefusal{
      ErrorCode::ZoneOut, "the availability zone is out", 100, {}
    };
  }
  const Customer* customer = FindCustomer(*node.mConfig, mRequest.mCustomer);
  std::optional<ErrorCode> forbidden =
    customer ? CheckPermission(*node.mConfig,
                               *customer,
                               mRequest.mModel,
                               mRequest.mVersion,
                               mRequest.mSession.empty() ? WorkKind::New
                                                         : WorkKind::Session)
             : ErrorCode::NotAllowed;
  if (forbidden) {
    return CallRefusal{ *forbidden,
                        mRequest.mModel + "@" + mRequest.mVersion +
                          " may not run for this customer",
                        0,
                        {} };
  }
  if (!mAgent.mReachable) {
    return CallRefusal{
      ErrorCode::NoBackend, "the backend server is not reachable", 100, {}
    };
  }
  const auto& versions = mAgent.mLoad.mVersions;
  std::string modelVersion = mRequest.mModel + "@" + mRequest.mVersion;
  if (std::find(versions.begin(), versions.end(), modelVersion) ==
      versions.end()) {
    return CallRefusal{
      ErrorCode::ModelNotLoaded, modelVersion + " is not loaded here", 100, {}
    };
  }
  return std::nullopt;
}

void
AgentRun::Decide()
{
  if (auto refusal =
        mAgent.CheckEntryFreshness(mRequest.mSender, mRequest.mFreshness)) {
    RefuseRun(*refusal);
    return;
  }
  if (auto refusal = CheckRun()) {
    RefuseRun(*refusal);
    return;
  }
  static std::int64_t counter = 0;
  mId = mRequest.mRequestId + "/" + std::to_string(mRequest.mStep) + "/" +
        std::to_string(++counter);
  const Customer* customer =
    FindCustomer(*mAgent.mNode.mConfig, mRequest.mCustomer);
  AdmissionRequest request{
    .mId = mId,
    .mCustomer = mRequest.mCustomer,
    .mInputTokens = mRequest.mInputTokens,
    .mOutputTokens = mRequest.mOutputTokens,
    .mPriority = mRequest.mPriority,
    .mWeight = customer->mWeight,
    .mDeadlineMs = mArrivedMs + mRequest.mDeadlineMs,
    .mMayQueue = mRequest.mMayQueue,
    .mIsolated = mRequest.mIsolated,
  };
  AdmissionDecision decision = mAgent.AdmitRun(shared_from_this(), request);
  switch (decision.mResult) {
    case AdmissionResult::Started:
      Dispatch();
      break;
    case AdmissionResult::Queued:
      mAdmitted = true;
      break;
    case AdmissionResult::Refused:
      mId.clear();
      Reject(decision);
      break;
  }
}

void
AgentRun::StartQueued()
{
  // The run starts as new work under the configuration in force now, which may
  // be newer than the one at its arrival.
  if (auto refusal = CheckRun()) {
    ReleaseAdmission();
    RefuseRun(*refusal);
    return;
  }
  Dispatch();
}

void
AgentRun::Reject(const AdmissionDecision& aDecision)
{
  RefuseRun({ aDecision.mCode,
              aDecision.mReason,
              aDecision.mRetryAfterMs,
              EncodeLoadHint(aDecision.mLoad) });
}

void
AgentRun::RefuseRun(const CallRefusal& aRefusal)
{
  Refuse(mAgent,
         *mStream,
         aRefusal.mCode,
         ExecutionState::NotRun,
         aRefusal.mReason,
         aRefusal.mRetryAfterMs,
         aRefusal.mLoadHint);
}

void
AgentRun::Dispatch()
{
  mAdmitted = true;
  mStartedMs = mAgent.mNode.mLoop.NowMs();
  mGeneration = mAgent.mWarmup.mGeneration;
  mUsage.mStream = mRequest.mStream;
  HttpCall call;
  call.mServer = mAgent.mNode.mSettings.mBackend;
  call.mMethod = "POST";
  call.mTarget = "/v1/chat/completions";
  call.mHeaders = { { "Content-Type", "application/json" },
                    { "x-request-id", mRequest.mRequestId },
                    { "x-customer", mRequest.mCustomer },
                    { "x-priority", std::to_string(mRequest.mPriority) },
                    { "x-model-version", mRequest.mVersion } };
  call.mBody = std::move(mBody);
  call.mTimeoutMs =
    std::max<TimeMs>(1, mArrivedMs + mRequest.mDeadlineMs - mStartedMs);
  mExchange = mAgent.mNode.mHttp.Start(call);
  auto self = shared_from_this();
  mExchange->mOnHeaders = [self](const HttpResponse& aResponse) {
    self->OnHeaders(aResponse);
  };
  mExchange->mOnBody = [self](std::string_view aBytes) {
    self->OnBody(aBytes);
  };
  mExchange->mOnDone = [self](const HttpResult& aResult) {
    self->OnDone(aResult);
  };
  mStream->mOnBytesSent = [self] {
    if (self->mPaused && self->mExchange &&
        self->mStream->UnsentBytes() < kResumeReadingBytes) {
      self->mPaused = false;
      self->mExchange->PauseReading(false);
    }
  };
}

void
AgentRun::OnHeaders(const HttpResponse& aResponse)
{
  mStatus = aResponse.mStatus;
  if (mStatus >= 500) {
    return;
  }
  mAccepted = true;
  AnswerHead head;
  head.mSender = MakeSender(mAgent.mNode);
  head.mAccepted = true;
  head.mStatus = mStatus;
  head.mHeaders.emplace_back("Content-Type",
                             HeaderValue(aResponse.mHeaders, "content-type"));
  mStream->Send(FrameType::Head, Encode(head));
}

void
AgentRun::OnBody(std::string_view aBytes)
{
  if (!mAccepted) {
    return;
  }
  if (!mFirstByteReceived) {
    mFirstByteReceived = true;
    if (mRequest.mStream &&
        OnFirstToken(mAgent.mWarmup,
                     mAgent.MakeWarmupOptions(),
                     mGeneration,
                     mRequest.mInputTokens,
                     mAgent.mNode.mLoop.NowMs() - mStartedMs)) {
      LogEvent(Event::BackendCold, { { "cause", mAgent.mWarmup.mCause } });
      mAgent.ReportNow();
    }
  }
  ReadUsage(mUsage, aBytes);
  mStream->Send(FrameType::Body, aBytes);
  if (mRequest.mStream) {
    mGeneratedTokens += CountEvents(aBytes);
    mAgent.OnRunTokensGenerated(mId, mGeneratedTokens);
  }
  if (!mPaused && mExchange && mStream->UnsentBytes() > kPauseReadingBytes) {
    mPaused = true;
    mExchange->PauseReading(true);
  }
}

void
AgentRun::OnDone(const HttpResult& aResult)
{
  mExchange.reset();
  FinishUsage(mUsage);
  bool complete =
    aResult.has_value() && mAccepted && (!mUsage.mStream || mUsage.mSawEnd);
  if (complete) {
    AnswerEnd end;
    end.mComplete = true;
    end.mExecution = ExecutionState::Ran;
    end.mInputTokens = mUsage.mUsage.mInputTokens;
    end.mOutputTokens = mUsage.mUsage.mOutputTokens;
    end.mCost = ComputeCost(mUsage.mUsage);
    // While an engine reports that it is cold, a completed round does not raise
    // its allowance.
    if (mAgent.mLoad.mWarm) {
      OnCompleted(mAgent.mWarmup, mAgent.MakeWarmupOptions(), mGeneration);
    }
    OnRequestCompleted(mAgent.mQuarantine, {}, mRequest.mFingerprint);
    ReleaseAdmission();
    SendEnd(end);
    return;
  }
  // The backend server failed this request only, or crashed. The answer is
  // delayed until that is known, so that the entry does not send a request that
  // crashes backend servers to the next one.
  bool connectionLost = !aResult &&
                        aResult.error() != HttpErrorCode::NotConnected &&
                        aResult.error() != HttpErrorCode::Timeout;
  if (connectionLost) {
    mAgent.SuspectRestart();
  }
  ReleaseAdmission();
  bool reached =
    aResult.has_value() || aResult.error() != HttpErrorCode::NotConnected;
  std::string reason =
    aResult ? "the backend server answered " + std::to_string(mStatus)
            : std::string(ToName(kHttpErrorNames, aResult.error()));
  if (!connectionLost) {
    SendFailure(reached, reason, 0);
    return;
  }
  auto self = shared_from_this();
  mAgent.OnRunConnectionLost(mRequest.mFingerprint,
                             [self, reached, reason](std::uint64_t aCrashId) {
                               self->SendFailure(reached, reason, aCrashId);
                             });
}

void
AgentRun::SendFailure(bool aReached,
                      const std::string& aReason,
                      std::uint64_t aCrashId)
{
  if (mAccepted) {
    AnswerEnd end;
    end.mCode = ErrorCode::BackendFailed;
    end.mExecution = ExecutionState::Ran;
    end.mReason = aReason;
    end.mCrashId = aCrashId;
    end.mOutputTokens = mGeneratedTokens;
    end.mInputTokens = mRequest.mInputTokens;
    end.mCost = ComputeCost({ end.mInputTokens, end.mOutputTokens });
    SendEnd(end);
    return;
  }
  AnswerHead head;
  head.mSender = MakeSender(mAgent.mNode);
  head.mCode = ErrorCode::BackendFailed;
  head.mExecution = aReached ? ExecutionState::Unknown : ExecutionState::NotRun;
  head.mReason = aReason;
  head.mRetryAfterMs = 100;
  head.mCrashId = aCrashId;
  mStream->Send(FrameType::Head, Encode(head));
  mStream->Finish();
}

bool
AgentRun::SuggestsColdBackend() const
{
  return mExchange && mRequest.mStream && !mFirstByteReceived &&
         mGeneration == mAgent.mWarmup.mGeneration &&
         LooksCold(mAgent.mWarmup,
                   mAgent.MakeWarmupOptions(),
                   mRequest.mInputTokens,
                   mAgent.mNode.mLoop.NowMs() - mStartedMs);
}

void
AgentRun::CancelForMemory()
{
  if (mExchange) {
    std::exchange(mExchange, nullptr)->Cancel();
  }
  mId.clear();
  mAdmitted = false;
  AnswerEnd end;
  end.mCode = ErrorCode::MemoryLimit;
  end.mExecution = ExecutionState::Ran;
  end.mReason = "cut to keep the backend server within its memory";
  SendEnd(end);
}

// Holds a copy of the step until the entry confirms that it is in the store.
void
AgentRun::AddBillStep(const AnswerEnd& aEnd)
{
  mAgent.mBills.Add(
    { .mId = { mRequest.mRequestId, mRequest.mStep, mRequest.mAttempt },
      .mCustomer = mRequest.mCustomer,
      .mService = {},
      .mVersion = mRequest.mModel + "@" + mRequest.mVersion,
      .mAgent = mAgent.mNode.mSettings.mHost,
      .mInputTokens = aEnd.mInputTokens,
      .mOutputTokens = aEnd.mOutputTokens,
      .mCost = aEnd.mCost,
      .mComplete = aEnd.mComplete });
}

void
AgentRun::SendEnd(const AnswerEnd& aEnd)
{
  AddBillStep(aEnd);
  mStream->Send(FrameType::End, Encode(aEnd));
  mStream->Finish();
}

// Reports the end of the run to the admission, once.
void
AgentRun::ReleaseAdmission()
{
  if (!mId.empty()) {
    mAgent.OnRunEnded(std::exchange(mId, {}));
  }
}

Micros
AgentRun::ComputeCost(const TokenUsage& aUsage) const
{
  const auto& config = mAgent.mNode.mConfig;
  const Model* model = config ? FindModel(*config, mRequest.mModel) : nullptr;
  return model ? aUsage.mInputTokens * model->mInputCostPerToken +
                   aUsage.mOutputTokens * model->mOutputCostPerToken
               : 0;
}

void
StartAgentRun(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream)
{
  std::make_shared<AgentRun>(aAgent, aStream)->Listen();
}

} // namespace savory
