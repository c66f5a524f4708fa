#include "agent.h"

#include "savory/net/http_server.h"

namespace savory {

namespace {

// One call of a plain service at an agent.
class AgentCall : public std::enable_shared_from_this<AgentCall>
{
public:
  AgentCall(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream)
    : mAgent(aAgent)
    , mStream(aStream)
  {
  }

  ~AgentCall()
  {
    if (mCounted) {
      mAgent.CallEnded(this);
    }
  }

  void Listen();

private:
  void OnFrame(const Frame& aFrame);
  void Decide();
  void Dispatch();
  void OnDone(const HttpResult& aResult);

  Agent& mAgent;
  std::shared_ptr<InnerStream> mStream;
  CallRequest mCall;
  std::string mBody;
  bool mHasHead = false;
  bool mCounted = false;
};

void
AgentCall::Listen()
{
  auto self = shared_from_this();
  mStream->mOnFrame = [self](const Frame& aFrame) { self->OnFrame(aFrame); };
}

void
AgentCall::OnFrame(const Frame& aFrame)
{
  if (aFrame.mType == FrameType::Head && !mHasHead) {
    auto call = DecodeCallRequest(aFrame.mPayload);
    if (!call) {
      Refuse(mAgent,
             *mStream,
             ErrorCode::BadRequest,
             Ran::NotRun,
             call.error().mReason,
             0);
      return;
    }
    mHasHead = true;
    mCall = *call;
  } else if (aFrame.mType == FrameType::Body && mHasHead && !mCounted) {
    mBody = aFrame.mPayload;
    Decide();
  }
}

void
AgentCall::Decide()
{
  const Node& node = mAgent.mNode;
  if (!node.mConfig || mCall.mFrom.mRevision < node.mConfig->mRevision) {
    Refuse(mAgent,
           *mStream,
           node.mConfig ? ErrorCode::ConfigOlder : ErrorCode::NoConfiguration,
           Ran::NotRun,
           "configurations differ",
           100);
    return;
  }
  if (node.mDraining) {
    Refuse(mAgent,
           *mStream,
           ErrorCode::Draining,
           Ran::NotRun,
           "the backend server is leaving",
           100);
    return;
  }
  const Zone* zone = FindZone(*node.mConfig, node.mSettings.mZone);
  if (zone && zone->mState == ZoneState::Out) {
    Refuse(mAgent,
           *mStream,
           ErrorCode::ZoneOut,
           Ran::NotRun,
           "the availability zone is out",
           100);
    return;
  }
  Dispatch();
}

void
AgentCall::Dispatch()
{
  mCounted = true;
  mAgent.CallStarted(this);
  HttpCall call;
  call.mServer = mAgent.mNode.mSettings.mBackend;
  call.mMethod = mCall.mMethod;
  call.mTarget = mCall.mPath;
  call.mHeaders = mCall.mHeaders;
  call.mHeaders.emplace_back("x-request-id", mCall.mRequestId);
  call.mHeaders.emplace_back("x-customer", mCall.mCustomer);
  call.mBody = mBody;
  call.mTimeoutMs = mCall.mDeadlineMs;
  call.mKeepAlive = false;
  mAgent.mNode.mHttp.Fetch(
    call, [self = shared_from_this()](const HttpResult& aResult) {
      self->OnDone(aResult);
    });
}

void
AgentCall::OnDone(const HttpResult& aResult)
{
  if (!aResult) {
    bool reached = aResult.error() != HttpErrorCode::NotConnected;
    Refuse(mAgent,
           *mStream,
           reached ? ErrorCode::OutcomeUnknown : ErrorCode::BackendFailed,
           reached ? Ran::Unknown : Ran::NotRun,
           std::string(NameOf(kHttpErrorNames, aResult.error())),
           100);
    return;
  }
  AnswerHead head;
  head.mFrom = SenderOf(mAgent.mNode);
  head.mAccepted = true;
  head.mStatus = aResult->mStatus;
  head.mHeaders = { { "Content-Type",
                      std::string(
                        HeaderValue(aResult->mHeaders, "content-type")) } };
  mStream->Send(FrameType::Head, Encode(head));
  mStream->Send(FrameType::Body, aResult->mBody);
  AnswerEnd end;
  end.mComplete = true;
  end.mRan = Ran::Ran;
  mStream->Send(FrameType::End, Encode(end));
  mStream->Finish();
}

} // namespace

void
StartAgentCall(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream)
{
  std::make_shared<AgentCall>(aAgent, aStream)->Listen();
}

} // namespace savory
