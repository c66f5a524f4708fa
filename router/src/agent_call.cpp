#include "agent.h"

#include "savory/core/identity.h"
#include "savory/net/http_server.h"

#include <algorithm>

namespace savory {

namespace {

// How long a call waits for a configuration that the entry has and this agent
// does not have yet.
constexpr TimeMs kConfigWaitMs = 1000;

// A call that must not be repeated is given this long even when its caller's
// deadline is shorter: to cut it would make its outcome unknown for good.
constexpr TimeMs kMinRunMs = 30000;

// The least delay after which a refused call is worth another attempt.
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
    mConfigChange.disconnect();
    if (mCounted) {
      mAgent.CallEnded(this);
    }
  }

  void Listen();

private:
  void OnFrame(const Frame& aFrame);
  void AwaitConfiguration();
  void Decide();
  void DecideKeyed();
  void Dispatch();
  void OnDone(const HttpResult& aResult);
  void OnRecorded(const AnswerCall& aAnswer);
  void Answer(int aStatus,
              const Headers& aHeaders,
              const std::string& aBody,
              bool aReplayed);
  void RefuseCall(ErrorCode aCode,
                  ExecutionState aExecution,
                  const std::string& aReason);
  void Count();

  Agent& mAgent;
  std::shared_ptr<InnerStream> mStream;
  CallRequest mCall;
  std::string mBody;
  CallId mId = 0;
  bool mHasHead = false;
  bool mDecided = false;
  bool mCounted = false;
  bool mAnswered = false;
  Timer mTimer;
  sigc::connection mConfigChange;
};

void
AgentCall::Listen()
{
  auto self = shared_from_this();
  mStream->mOnFrame = [self](const Frame& aFrame) { self->OnFrame(aFrame); };
  // Without a caller, a call that has not begun need not begin. One that runs
  // goes on, and its outcome is recorded.
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
  if (aFrame.mType == FrameType::Head && !mHasHead) {
    auto call = DecodeCallRequest(aFrame.mPayload);
    if (!call) {
      RefuseCall(
        ErrorCode::BadRequest, ExecutionState::NotRun, call.error().mReason);
      return;
    }
    mHasHead = true;
    mCall = *call;
  } else if (aFrame.mType == FrameType::Body && mHasHead && !mDecided) {
    mBody += aFrame.mPayload;
  } else if (aFrame.mType == FrameType::End && mHasHead && !mDecided) {
    mDecided = true;
    AwaitConfiguration();
  }
}

// Decides under a configuration that is at least as new as the entry's.
void
AgentCall::AwaitConfiguration()
{
  Node& node = mAgent.mNode;
  if (SenderOf(node).mRevision >= mCall.mSender.mRevision) {
    Decide();
    return;
  }
  auto self = shared_from_this();
  mConfigChange = node.mConfigChanged.connect([self] {
    if (SenderOf(self->mAgent.mNode).mRevision >=
        self->mCall.mSender.mRevision) {
      self->mTimer = Timer::After(self->mAgent.mNode.mLoop, 0, [self] {
        self->mConfigChange.disconnect();
        self->Decide();
      });
    }
  });
  mTimer = Timer::After(node.mLoop, kConfigWaitMs, [self] {
    self->mConfigChange.disconnect();
    self->RefuseCall(ErrorCode::ConfigStale,
                     ExecutionState::NotRun,
                     "the agent lacks the entry's configuration");
  });
}

void
AgentCall::Decide()
{
  const Node& node = mAgent.mNode;
  if (auto refusal = mAgent.JudgeEntry(mCall.mSender, mCall.mFreshness)) {
    RefuseCall(refusal->mCode, ExecutionState::NotRun, refusal->mReason);
    return;
  }
  // The owner of a slot answers known keys even while it leaves.
  if (!mCall.mKey.empty()) {
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

// A refusal with NotRun from here speaks of this attempt only; what the record
// says speaks of the key.
void
AgentCall::DecideKeyed()
{
  const Node& node = mAgent.mNode;
  const Service* service = FindService(*node.mConfig, mCall.mService);
  if (!service || !mAgent.mSlots || mCall.mService != node.mSettings.mPool) {
    RefuseCall(ErrorCode::NotOwner, ExecutionState::NotRun, "another service");
    return;
  }
  // 1. The handlers keep this object until the record has answered the call
  // and the backend server has ended it.
  auto self = shared_from_this();
  KeyedHandlers handlers{
    .mDispatch = [self] { self->Dispatch(); },
    .mAnswer = [self](const AnswerCall& aAnswer) { self->OnRecorded(aAnswer); }
  };
  KeyedCall call{ .mId = 0,
                  .mCustomer = mCall.mCustomer,
                  .mKey = mCall.mKey,
                  .mFingerprint = mCall.mFingerprint,
                  .mRequestId = mCall.mRequestId };
  int slot = SlotOfKey(*service, mCall.mCustomer, mCall.mKey);
  Count();
  mId = mAgent.mSlots->Arrive(slot, std::move(call), std::move(handlers));
  if (mId == 0) {
    RefuseCall(ErrorCode::NotOwner,
               ExecutionState::NotRun,
               "the agent does not own slot " + std::to_string(slot));
    return;
  }
  // 2. The caller's deadline.
  if (!mAnswered) {
    mTimer = Timer::After(mAgent.mNode.mLoop, mCall.mDeadlineMs, [self] {
      self->mAgent.mSlots->Cancel(self->mId);
    });
  }
}

void
AgentCall::Dispatch()
{
  Count();
  bool keyed = !mCall.mKey.empty();
  HttpCall call;
  call.mServer = mAgent.mNode.mSettings.mBackend;
  call.mMethod = mCall.mMethod;
  call.mTarget = mCall.mPath;
  call.mHeaders = mCall.mHeaders;
  call.mHeaders.emplace_back("x-request-id", mCall.mRequestId);
  call.mHeaders.emplace_back("x-customer", mCall.mCustomer);
  call.mBody = mBody;
  call.mTimeoutMs =
    keyed ? std::max(mCall.mDeadlineMs, kMinRunMs) : mCall.mDeadlineMs;
  call.mKeepAlive = false;
  mAgent.mNode.mHttp.Fetch(
    call, [self = shared_from_this()](const HttpResult& aResult) {
      if (self->mCall.mKey.empty()) {
        self->OnDone(aResult);
      } else {
        self->mAgent.mSlots->BackendDone(self->mId, aResult);
      }
    });
}

// The end of a call without a key.
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

// What the record says of a call with a key.
void
AgentCall::OnRecorded(const AnswerCall& aAnswer)
{
  mTimer.Cancel();
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
  head.mSender = SenderOf(mAgent.mNode);
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
AgentCall::Count()
{
  if (!mCounted) {
    mCounted = true;
    mAgent.CallStarted(this);
  }
}

} // namespace

void
StartAgentCall(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream)
{
  std::make_shared<AgentCall>(aAgent, aStream)->Listen();
}

} // namespace savory
