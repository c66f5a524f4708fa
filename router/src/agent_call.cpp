#include "agent.h"

#include "savory/core/identity.h"
#include "savory/net/http_server.h"

#include <algorithm>

namespace savory {

namespace {

// Longest wait of a call until this agent has the entry's configuration.
constexpr TimeMs kConfigWaitMs = 1000;

// Minimum timeout of a call with a key, even when the caller's deadline is
// shorter. Such a call must not be repeated, so cancelling it would leave its
// outcome unknown for good.
constexpr TimeMs kMinKeyedCallMs = 30000;

// Minimum delay before a retry that a refusal recommends.
constexpr TimeMs kRetryAfterMs = 100;

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
    mConfigConnection.disconnect();
    if (mCounted) {
      mAgent.OnCallEnded(this);
    }
  }

  void Listen();

private:
  void OnFrame(const Frame& aFrame);
  void WaitForConfiguration();
  void Decide();
  void DecideKeyed();
  void Dispatch();
  void OnDone(const HttpResult& aResult);
  void OnRecordAnswer(const AnswerCall& aAnswer);
  void Answer(int aStatus,
              const Headers& aHeaders,
              const std::string& aBody,
              bool aReplayed);
  void RefuseCall(ErrorCode aCode,
                  ExecutionState aExecution,
                  const std::string& aReason);
  void CountCall();

  Agent& mAgent;
  std::shared_ptr<InnerStream> mStream;
  CallRequest mRequest;
  std::string mBody;
  CallId mId = 0;
  bool mHeadReceived = false;
  bool mDecided = false;
  bool mCounted = false;
  bool mAnswered = false;
  Timer mWaitTimer;
  sigc::connection mConfigConnection;
};

void
AgentCall::Listen()
{
  auto self = shared_from_this();
  mStream->mOnFrame = [self](const Frame& aFrame) { self->OnFrame(aFrame); };
  // When the caller disconnects, a call that has not started is cancelled. A
  // running call continues, and its outcome is recorded.
  std::weak_ptr<AgentCall> weak = self;
  mStream->mOnClosed = [weak](bool) {
    auto call = weak.lock();
    if (call && call->mId != 0 && !call->mAnswered) {
      call->mAgent.mSlots->Cancel(call->mId);
    }
  };
}

void
AgentCall::OnFrame(const Frame& aFrame)
{
  if (aFrame.mType == FrameType::Head && !mHeadReceived) {
    auto call = DecodeCallRequest(aFrame.mPayload);
    if (!call) {
      RefuseCall(
        ErrorCode::BadRequest, ExecutionState::NotRun, call.error().mReason);
      return;
    }
    mHeadReceived = true;
    mRequest = *call;
  } else if (aFrame.mType == FrameType::Body && mHeadReceived && !mDecided) {
    mBody += aFrame.mPayload;
  } else if (aFrame.mType == FrameType::End && mHeadReceived && !mDecided) {
    mDecided = true;
    WaitForConfiguration();
  }
}

// Decides once the configuration in force here is at least as new as the
// entry's.
void
AgentCall::WaitForConfiguration()
{
  Node& node = mAgent.mNode;
  if (MakeSender(node).mRevision >= mRequest.mSender.mRevision) {
    Decide();
    return;
  }
  auto self = shared_from_this();
  mConfigConnection = node.mConfigChanged.connect([self] {
    if (MakeSender(self->mAgent.mNode).mRevision >=
        self->mRequest.mSender.mRevision) {
      self->mWaitTimer = Timer::After(self->mAgent.mNode.mLoop, 0, [self] {
        self->mConfigConnection.disconnect();
        self->Decide();
      });
    }
  });
  mWaitTimer = Timer::After(node.mLoop, kConfigWaitMs, [self] {
    self->mConfigConnection.disconnect();
    self->RefuseCall(ErrorCode::ConfigStale,
                     ExecutionState::NotRun,
                     "the agent does not have the entry's configuration yet");
  });
}

void
AgentCall::Decide()
{
  const Node& node = mAgent.mNode;
  if (auto refusal =
        mAgent.CheckEntryFreshness(mRequest.mSender, mRequest.mFreshness)) {
    RefuseCall(refusal->mCode, ExecutionState::NotRun, refusal->mReason);
    return;
  }
  // The owner of a slot answers calls with a key from its record even while it
  // is leaving.
  if (!mRequest.mKey.empty()) {
    DecideKeyed();
    return;
  }
  if (node.mDraining) {
    RefuseCall(ErrorCode::Draining,
               ExecutionState::NotRun,
               "the backend server is leaving");
    return;
  }
  const Zone* zone = FindZone(*node.mConfig, node.mSettings.mZone);
  if (zone && zone->mState == ZoneState::Out) {
    RefuseCall(ErrorCode::ZoneOut,
               ExecutionState::NotRun,
               "the availability zone is out");
    return;
  }
  Dispatch();
}

// A refusal with NotRun that this function sends concerns this attempt only,
// whereas an answer from the record concerns the key.
void
AgentCall::DecideKeyed()
{
  const Node& node = mAgent.mNode;
  const Service* service = FindService(*node.mConfig, mRequest.mService);
  if (!service || !mAgent.mSlots || mRequest.mService != node.mSettings.mPool) {
    RefuseCall(ErrorCode::NotOwner,
               ExecutionState::NotRun,
               "the agent serves another service");
    return;
  }
  // 1. Submit the call to its slot. The handlers keep this object alive until
  // the record has answered the call and the backend server has ended it.
  auto self = shared_from_this();
  KeyedHandlers handlers{ .mDispatch = [self] { self->Dispatch(); },
                          .mAnswer =
                            [self](const AnswerCall& aAnswer) {
                              self->OnRecordAnswer(aAnswer);
                            } };
  KeyedCall call{ .mId = 0,
                  .mCustomer = mRequest.mCustomer,
                  .mKey = mRequest.mKey,
                  .mFingerprint = mRequest.mFingerprint,
                  .mRequestId = mRequest.mRequestId };
  int slot = HashKeyToSlot(*service, mRequest.mCustomer, mRequest.mKey);
  CountCall();
  mId = mAgent.mSlots->SubmitCall(slot, std::move(call), std::move(handlers));
  if (mId == 0) {
    RefuseCall(ErrorCode::NotOwner,
               ExecutionState::NotRun,
               "the agent does not own slot " + std::to_string(slot));
    return;
  }
  // 2. Enforce the caller's deadline.
  if (!mAnswered) {
    mWaitTimer = Timer::After(mAgent.mNode.mLoop, mRequest.mDeadlineMs, [self] {
      self->mAgent.mSlots->Cancel(self->mId);
    });
  }
}

void
AgentCall::Dispatch()
{
  CountCall();
  bool keyed = !mRequest.mKey.empty();
  HttpCall call;
  call.mServer = mAgent.mNode.mSettings.mBackend;
  call.mMethod = mRequest.mMethod;
  call.mTarget = mRequest.mPath;
  call.mHeaders = mRequest.mHeaders;
  call.mHeaders.emplace_back("x-request-id", mRequest.mRequestId);
  call.mHeaders.emplace_back("x-customer", mRequest.mCustomer);
  call.mBody = mBody;
  call.mTimeoutMs = keyed ? std::max(mRequest.mDeadlineMs, kMinKeyedCallMs)
                          : mRequest.mDeadlineMs;
  call.mKeepAlive = false;
  mAgent.mNode.mHttp.Fetch(
    call, [self = shared_from_this()](const HttpResult& aResult) {
      if (self->mRequest.mKey.empty()) {
        self->OnDone(aResult);
      } else {
        self->mAgent.mSlots->OnBackendResult(self->mId, aResult);
      }
    });
}

// Handles the backend server's result for a call without a key.
void
AgentCall::OnDone(const HttpResult& aResult)
{
  if (!aResult) {
    bool reached = aResult.error() != HttpErrorCode::NotConnected;
    RefuseCall(reached ? ErrorCode::OutcomeUnknown : ErrorCode::BackendFailed,
               reached ? ExecutionState::Unknown : ExecutionState::NotRun,
               std::string(ToName(kHttpErrorNames, aResult.error())));
    return;
  }
  Answer(aResult->mStatus,
         { { "Content-Type",
             std::string(HeaderValue(aResult->mHeaders, "content-type")) } },
         aResult->mBody,
         false);
}

// Handles the record's answer to a call with a key.
void
AgentCall::OnRecordAnswer(const AnswerCall& aAnswer)
{
  mWaitTimer.Cancel();
  if (aAnswer.mOutcome) {
    Answer(aAnswer.mOutcome->mStatus,
           aAnswer.mOutcome->mHeaders,
           aAnswer.mOutcome->mBody,
           aAnswer.mReplayed);
  } else {
    RefuseCall(aAnswer.mCode, aAnswer.mExecution, aAnswer.mReason);
  }
}

void
AgentCall::Answer(int aStatus,
                  const Headers& aHeaders,
                  const std::string& aBody,
                  bool aReplayed)
{
  mAnswered = true;
  AnswerHead head;
  head.mSender = MakeSender(mAgent.mNode);
  head.mAccepted = true;
  head.mStatus = aStatus;
  head.mReplayed = aReplayed;
  head.mHeaders = aHeaders;
  mStream->Send(FrameType::Head, Encode(head));
  mStream->Send(FrameType::Body, aBody);
  AnswerEnd end;
  end.mComplete = true;
  end.mExecution = ExecutionState::Ran;
  mStream->Send(FrameType::End, Encode(end));
  mStream->Finish();
}

void
AgentCall::RefuseCall(ErrorCode aCode,
                      ExecutionState aExecution,
                      const std::string& aReason)
{
  mAnswered = true;
  Refuse(mAgent, *mStream, aCode, aExecution, aReason, kRetryAfterMs);
}

void
AgentCall::CountCall()
{
  if (!mCounted) {
    mCounted = true;
    mAgent.OnCallStarted(this);
  }
}

} // namespace

void
StartAgentCall(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream)
{
  std::make_shared<AgentCall>(aAgent, aStream)->Listen();
}

} // namespace savory
