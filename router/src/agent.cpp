#include "agent.h"

#include "savory/net/log.h"

#include <nlohmann/json.hpp>

namespace savory {

namespace {

constexpr TimeMs kReportMs = 1000;
constexpr TimeMs kPollMs = 250;

// A backend server that is back within this time keeps its slots: a restart is
// shorter than a take-over.
constexpr TimeMs kBackendGoneMs = 3000;

} // namespace

Agent::Agent(Node& aNode)
  : mNode(aNode)
  , mAdmin(aNode,
           { .mState = [this] { return State(); },
             .mMetrics = [] { return std::string(); },
             .mExplain = [](const std::string&) { return nlohmann::json(); },
             .mRefresh = [] {} })
{
  if (mNode.mSettings.mBackendKind == BackendKind::Service) {
    mSlots = std::make_unique<Slots>(mNode, mNode.mSettings.mPool);
    mSlots->mOnChanged = [this] {
      ReportNow();
      StopWhenDone();
    };
    mNode.mConfigChanged.connect([this] { ReviewSlots(); });
  }
}

// The end of the slots ends calls, which this object must outlive.
Agent::~Agent()
{
  mSlots.reset();
}

bool
Agent::Listen()
{
  mListener = std::make_unique<InnerListener>(
    mNode.mLoop,
    [this](const std::shared_ptr<InnerStream>& aStream) { OnStream(aStream); });
  Endpoint& inner = mNode.mSettings.mInner;
  inner.mPort = mListener->Listen(inner.mAddress, inner.mPort);
  if (inner.mPort == 0 || !mAdmin.Listen()) {
    return false;
  }
  mReportTimer = Timer::Every(mNode.mLoop, kReportMs, [this] { ReportNow(); });
  mPollTimer = Timer::Every(mNode.mLoop, kPollMs, [this] { PollBackend(); });
  PollBackend();
  if (mSlots) {
    mSlots->Start();
  }
  return true;
}

void
Agent::PollBackend()
{
  FetchBackendLoad(
    mNode.mHttp,
    mNode.mSettings.mBackend,
    [this](const tl::expected<BackendLoad, BackendError>& aLoad) {
      bool changed = mReachable != aLoad.has_value() ||
                     (aLoad && aLoad->mInstance != mLoad.mInstance);
      mReachable = aLoad.has_value();
      if (aLoad) {
        mLoad = *aLoad;
      }
      if (changed) {
        ReportNow();
      }
      ReviewSlots();
    });
}

// Slots are held while the backend server answers and its zone takes work.
void
Agent::ReviewSlots()
{
  if (!mSlots) {
    return;
  }
  TimeMs now = MonotonicMs();
  if (mReachable) {
    mLastReachableMs = now;
  }
  const Zone* zone =
    mNode.mConfig ? FindZone(*mNode.mConfig, mNode.mSettings.mZone) : nullptr;
  bool isOut = zone && zone->mState == ZoneState::Out;
  bool gone = now - mLastReachableMs > kBackendGoneMs;
  mSlots->SetWanted(mNode.mConfig && !isOut && !gone && mLastReachableMs > 0);
}

Report
Agent::MakeReport() const
{
  const Settings& settings = mNode.mSettings;
  return {
    .mFrom = SenderOf(mNode),
    .mPool = settings.mPool,
    .mZone = settings.mZone,
    .mAddress = ToString(settings.mInner),
    .mIsService = settings.mBackendKind == BackendKind::Service,
    .mLeaving = mNode.mDraining,
    .mReachable = mReachable,
    .mVersions = mLoad.mVersions,
    .mRunning = static_cast<int>(mCalls.size()),
    .mQueued = 0,
    .mAllowance = settings.mMaxRunning,
    .mTokensHeld = mLoad.mTokensHeld,
    .mTokenCapacity = mLoad.mTokenCapacity,
    .mSlots = mSlots ? mSlots->Owned() : std::vector<OwnedSlot>(),
  };
}

nlohmann::json
Agent::State() const
{
  return { { "host", mNode.mSettings.mHost },
           { "role", "agent" },
           { "incarnation", mNode.mIncarnation },
           { "revision", SenderOf(mNode).mRevision },
           { "draining", mNode.mDraining },
           { "reachable", mReachable },
           { "calls", mCalls.size() },
           { "slots", mSlots ? mSlots->State() : nlohmann::json() } };
}

void
Agent::ReportNow()
{
  std::string report = Encode(MakeReport());
  for (const auto& subscriber : mSubscribers) {
    subscriber->Send(FrameType::Head, report);
  }
}

void
Agent::OnStream(const std::shared_ptr<InnerStream>& aStream)
{
  if (aStream->Path() == "/run") {
    StartAgentRun(*this, aStream);
  } else if (aStream->Path() == "/call") {
    StartAgentCall(*this, aStream);
  } else if (aStream->Path() == "/witness" && mSlots) {
    mSlots->OnWitnessStream(aStream);
  } else if (aStream->Path() == "/report") {
    mSubscribers.insert(aStream);
    aStream->mOnClosed = [this, aStream](bool) { mSubscribers.erase(aStream); };
    aStream->Send(FrameType::Head, Encode(MakeReport()));
  } else if (aStream->Path() == "/config") {
    aStream->mOnFrame = [this, aStream](const Frame& aFrame) {
      auto document = DecodeDocument(aFrame.mPayload);
      if (document && document->contains("config") &&
          AdoptDocument(mNode, (*document)["config"], aStream->PeerAddress())) {
        ReportNow();
      }
      aStream->Finish();
    };
  } else {
    aStream->Cancel();
  }
}

void
Agent::Drain()
{
  if (mNode.mDraining) {
    return;
  }
  mNode.mDraining = true;
  LogEvent(Event::DrainStarted, { { "calls", std::to_string(mCalls.size()) } });
  ReportNow();
  mDrainTimer = Timer::After(mNode.mLoop, mNode.mSettings.mDrainMs, [this] {
    LogEvent(Event::AbandonedAtStop,
             { { "calls", std::to_string(mCalls.size()) } });
    mNode.mLoop.Stop();
  });
  if (mSlots) {
    mSlots->Leave();
  }
  StopWhenDone();
}

void
Agent::CallStarted(const void* aCall)
{
  mCalls.insert(aCall);
}

void
Agent::CallEnded(const void* aCall)
{
  mCalls.erase(aCall);
  StopWhenDone();
}

// Ends a graceful shutdown once no call runs and no slot is held.
void
Agent::StopWhenDone()
{
  if (mNode.mDraining && mCalls.empty() && (!mSlots || mSlots->HasLeft())) {
    // The report and the last answer still have to leave the socket.
    mDrainTimer =
      Timer::After(mNode.mLoop, 200, [this] { mNode.mLoop.Stop(); });
  }
}

void
Refuse(Agent& aAgent,
       InnerStream& aStream,
       ErrorCode aCode,
       Ran aRan,
       const std::string& aReason,
       TimeMs aRetryAfterMs,
       const std::string& aHint)
{
  AnswerHead head;
  head.mFrom = SenderOf(aAgent.mNode);
  head.mCode = aCode;
  head.mRan = aRan;
  head.mReason = aReason;
  head.mRetryAfterMs = aRetryAfterMs;
  head.mHint = aHint;
  aStream.Send(FrameType::Head, Encode(head));
  aStream.Finish();
}

} // namespace savory
