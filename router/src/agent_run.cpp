#include "agent.h"

#include "savory/net/http_server.h"

#include <algorithm>

namespace savory {

namespace {

// Unsent bytes of a stream above which the backend server is not read, and
// below which reading resumes.
constexpr std::size_t kPauseBytes = 64 * 1024;
constexpr std::size_t kResumeBytes = 32 * 1024;

// One model call at an agent.
class AgentRun : public std::enable_shared_from_this<AgentRun>
{
public:
  AgentRun(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream)
    : mAgent(aAgent)
    , mStream(aStream)
  {
  }

  ~AgentRun()
  {
    if (mCounted) {
      mAgent.CallEnded(this);
    }
  }

  void Listen();

private:
  void OnFrame(const Frame& aFrame);
  void Decide();
  void RefuseRun(ErrorCode aCode, const std::string& aReason);
  void Dispatch();
  void OnHeaders(const HttpResponse& aResponse);
  void OnBody(std::string_view aBytes);
  void OnDone(const HttpResult& aResult);
  void End(const AnswerEnd& aEnd);

  Agent& mAgent;
  std::shared_ptr<InnerStream> mStream;
  std::shared_ptr<HttpExchange> mExchange;
  RunRequest mRequest;
  std::string mBody;
  bool mHasHead = false;
  bool mCounted = false;
  bool mAccepted = false;
  int mStatus = 0;
  bool mPaused = false;
  UsageReader mUsage;
  std::int64_t mGenerated = 0;
};

void
AgentRun::Listen()
{
  auto self = shared_from_this();
  mStream->mOnFrame = [self](const Frame& aFrame) { self->OnFrame(aFrame); };
  mStream->mOnClosed = [self](bool) {
    // The entry has gone or has cancelled: nobody waits for the answer.
    if (self->mExchange) {
      std::exchange(self->mExchange, nullptr)->Cancel();
    }
  };
}

void
AgentRun::OnFrame(const Frame& aFrame)
{
  if (aFrame.mType == FrameType::Head && !mHasHead) {
    auto request = DecodeRunRequest(aFrame.mPayload);
    if (!request) {
      RefuseRun(ErrorCode::BadRequest, request.error().mReason);
      return;
    }
    mHasHead = true;
    mRequest = *request;
  } else if (aFrame.mType == FrameType::Body && mHasHead && !mExchange) {
    mBody += aFrame.mPayload;
    Decide();
  }
}

// Checks everything that may refuse the request; each refusal is before the
// backend server sees anything of it.
void
AgentRun::Decide()
{
  const Node& node = mAgent.mNode;
  if (!node.mConfig) {
    RefuseRun(ErrorCode::NoConfiguration, "the agent has no configuration");
    return;
  }
  if (mRequest.mFrom.mRevision < node.mConfig->mRevision) {
    RefuseRun(ErrorCode::ConfigOlder,
              "the configuration of the entry is older than " +
                std::to_string(node.mConfig->mRevision));
    return;
  }
  if (node.mDraining) {
    RefuseRun(ErrorCode::Draining, "the backend server is leaving");
    return;
  }
  const Zone* zone = FindZone(*node.mConfig, node.mSettings.mZone);
  if (zone && zone->mState == ZoneState::Out) {
    RefuseRun(ErrorCode::ZoneOut, "the availability zone is out");
    return;
  }
  const Customer* customer = FindCustomer(*node.mConfig, mRequest.mCustomer);
  if (!customer || !IsAllowed(*customer, mRequest.mModel, mRequest.mVersion)) {
    RefuseRun(ErrorCode::NotAllowed,
              "the customer may not use " + mRequest.mModel + "@" +
                mRequest.mVersion);
    return;
  }
  const Model* model = FindModel(*node.mConfig, mRequest.mModel);
  const Version* version =
    model ? FindVersion(*model, mRequest.mVersion) : nullptr;
  if (!version || version->mState == VersionState::Withdrawn) {
    RefuseRun(ErrorCode::VersionWithdrawn,
              mRequest.mModel + "@" + mRequest.mVersion + " is withdrawn");
    return;
  }
  if (!mAgent.mReachable) {
    RefuseRun(ErrorCode::NoBackend, "the backend server is not reachable");
    return;
  }
  Dispatch();
}

void
AgentRun::RefuseRun(ErrorCode aCode, const std::string& aReason)
{
  Refuse(mAgent, *mStream, aCode, Ran::NotRun, aReason, 100);
}

void
AgentRun::Dispatch()
{
  mCounted = true;
  mAgent.CallStarted(this);
  mUsage.mStream = mRequest.mStream;
  HttpCall call;
  call.mServer = mAgent.mNode.mSettings.mBackend;
  call.mMethod = "POST";
  call.mTarget = "/v1/chat/completions";
  call.mHeaders = { { "Content-Type", "application/json" },
                    { "x-request-id", mRequest.mRequestId },
                    { "x-customer", mRequest.mCustomer },
                    { "x-model-version", mRequest.mVersion } };
  call.mBody = mBody;
  call.mTimeoutMs = mRequest.mDeadlineMs;
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
  mStream->mOnRoom = [self] {
    if (self->mPaused && self->mExchange &&
        self->mStream->UnsentBytes() < kResumeBytes) {
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
  head.mFrom = SenderOf(mAgent.mNode);
  head.mAccepted = true;
  head.mStatus = mStatus;
  head.mHeaders = { { "Content-Type",
                      std::string(
                        HeaderValue(aResponse.mHeaders, "content-type")) } };
  mStream->Send(FrameType::Head, Encode(head));
}

void
AgentRun::OnBody(std::string_view aBytes)
{
  if (!mAccepted) {
    return;
  }
  ReadUsage(mUsage, aBytes);
  mStream->Send(FrameType::Body, aBytes);
  if (!mPaused && mStream->UnsentBytes() > kPauseBytes) {
    mPaused = true;
    mExchange->PauseReading(true);
  }
}

void
AgentRun::OnDone(const HttpResult& aResult)
{
  mExchange.reset();
  if (!mAccepted) {
    bool reached =
      aResult.has_value() || aResult.error() != HttpErrorCode::NotConnected;
    Refuse(mAgent,
           *mStream,
           ErrorCode::BackendFailed,
           reached ? Ran::Unknown : Ran::NotRun,
           aResult ? "the backend server answered " + std::to_string(mStatus)
                   : std::string(NameOf(kHttpErrorNames, aResult.error())),
           100);
    return;
  }
  AnswerEnd end;
  FinishUsage(mUsage);
  end.mComplete = aResult.has_value() && (!mUsage.mStream || mUsage.mSawEnd);
  end.mRan = Ran::Ran;
  end.mInputTokens = mUsage.mUsage.mInputTokens;
  end.mOutputTokens = mUsage.mUsage.mOutputTokens;
  if (!end.mComplete) {
    end.mCode = ErrorCode::BackendFailed;
    end.mReason = "the backend server ended its answer early";
  }
  End(end);
}

void
AgentRun::End(const AnswerEnd& aEnd)
{
  mStream->Send(FrameType::End, Encode(aEnd));
  mStream->Finish();
}

} // namespace

void
StartAgentRun(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream)
{
  std::make_shared<AgentRun>(aAgent, aStream)->Listen();
}

} // namespace savory
