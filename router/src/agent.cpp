#include "agent.h"

#include "savory/net/log.h"

#include <nlohmann/json.hpp>

namespace savory {

namespace {

constexpr TimeMs kReportMs = 1000;
constexpr TimeMs kPollMs = 250;

} // namespace

Agent::Agent(Node& aNode)
  : mNode(aNode)
  , mAdmin(aNode,
           { .mState = [this] { return State(); },
             .mMetrics = [] { return std::string(); },
             .mExplain = [](const std::string&) { return nlohmann::json(); },
             .mRefresh = [] {} })
{
}

bool
Agent::Listen()
{
  mSync.mRole = Role::Agent;
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
    });
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
    .mSlots = {},
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
           { "calls", mCalls.size() } };
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
  } else if (aStream->Path() == "/report") {
    mSubscribers.insert(aStream);
    aStream->mOnClosed = [this, aStream](bool) { mSubscribers.erase(aStream); };
    aStream->Send(FrameType::Head, Encode(MakeReport()));
  } else if (aStream->Path() == "/config") {
    aStream->mOnFrame = [this, aStream](const Frame& aFrame) {
      OnConfig(aStream, aFrame);
    };
  } else {
    aStream->Cancel();
  }
}

// Takes a configuration that an entry brings. When it is a difference to one
// that this agent lacks, the stream carries back what to send instead.
void
Agent::OnConfig(const std::shared_ptr<InnerStream>& aStream,
                const Frame& aFrame)
{
  auto document = DecodeDocument(aFrame.mPayload);
  if (!document) {
    aStream->Cancel();
    return;
  }
  auto actions =
    OnPullAnswer(mSync, aStream->PeerAddress(), *document, mNode.mLoop.NowMs());
  for (const auto& action : actions) {
    if (action.mKind == SyncAction::Kind::Pull) {
      aStream->Send(FrameType::Head, EncodeDocument(action.mDocument));
    } else if (action.mKind == SyncAction::Kind::Adopted &&
               AdoptConfiguration(mNode, mSync.mConfig)) {
      ReportNow();
    }
  }
  if (actions.empty() || actions[0].mKind != SyncAction::Kind::Pull) {
    aStream->Finish();
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
  CallEnded(nullptr);
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
  if (mNode.mDraining && mCalls.empty()) {
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
