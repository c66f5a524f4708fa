#include "agent.h"

#include "agent_run.h"

#include "savory/net/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savory {

namespace {

constexpr TimeMs kReportIntervalMs = 1000;
constexpr TimeMs kBackendPollIntervalMs = 250;
constexpr TimeMs kQueuePollIntervalMs = 100;

// How long an agent holds its copy of a step so that the entry can write it
// first.
constexpr TimeMs kBillHoldMs = 10000;

// Poll interval of the drain. The delay before a poll lets the last answers and
// reports leave the socket buffers.
constexpr TimeMs kDrainPollIntervalMs = 200;

// An agent keeps its slots when the backend server is back within this time: a
// restart is shorter than a takeover.
constexpr TimeMs kBackendOutageGraceMs = 3000;

} // namespace

Agent::Agent(Node& aNode)
  : mNode(aNode)
  , mStore(aNode.mHttp, aNode.mSettings.mStore)
  , mBills(aNode, mStore, kBillHoldMs, [](const SendSettled&) {})
  , mStartedMs(aNode.mLoop.NowMs())
  , mAdmin(aNode,
           { .mState = [this] { return State(); },
             .mMetrics = [this] { return mMetrics.ToText(); },
             .mExplain = [](const std::string&) { return nlohmann::json(); },
             .mRefresh = [] {} })
{
  if (mNode.mSettings.mBackendKind == BackendKind::Service) {
    mSlots = std::make_unique<Slots>(mNode, mNode.mSettings.mPool);
    mSlots->mOnChanged = [this] { ReportNow(); };
    mNode.mConfigChanged.connect([this] { UpdateSlotEligibility(); });
  }
}

// Destroying the slots ends calls, which use this object.
Agent::~Agent()
{
  mSlots.reset();
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
  mReportTimer =
    Timer::Every(mNode.mLoop, kReportIntervalMs, [this] { ReportNow(); });
  mQueueTimer = Timer::Every(mNode.mLoop, kQueuePollIntervalMs, [this] {
    PollQueue();
    DetectColdBackend();
  });
  mNode.mConfigChanged.connect([this] { OnConfigChanged(); });
  mPollTimer = Timer::Every(
    mNode.mLoop, kBackendPollIntervalMs, [this] { PollBackend(); });
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
      OnLoad(aLoad);
      UpdateSlotEligibility();
      ReconcileVersions();
    });
}

// Handles the result of a poll: the backend server's load, or an error.
void
Agent::OnLoad(const tl::expected<BackendLoad, BackendError>& aLoad)
{
  // 1. Detect a crash: the instance changed, or the poll failed.
  bool changed = mReachable != aLoad.has_value();
  bool restarted =
    aLoad && !mLoad.mInstance.empty() && aLoad->mInstance != mLoad.mInstance;
  ResolveLostRuns(restarted || !aLoad);
  mReachable = aLoad.has_value();
  if (!aLoad) {
    if (changed) {
      LogEvent(Event::BackendLost, { { "reason", aLoad.error().mReason } });
      ResetWarmup(mWarmup, "not reachable");
      ReportNow();
    }
    return;
  }

  // 2. Apply the load.
  mLoad = *aLoad;
  if (OnIncarnation(mWarmup, mLoad.mInstance) || restarted) {
    LogEvent(Event::BackendCold,
             { { "cause", mWarmup.mCause },
               { "instance", mLoad.mInstance },
               { "allowance",
                 std::to_string(Allowance(mWarmup, MakeWarmupOptions())) } });
    changed = true;
  }
  if (changed) {
    ReportNow();
  }
}

// Reports to the requests with a lost connection whether the backend server
// crashed, and marks them as suspects if it did.
void
Agent::ResolveLostRuns(bool aCrashed)
{
  auto runs = std::exchange(mLostRuns, {});
  if (runs.empty()) {
    return;
  }
  auto priorAllowance = std::exchange(mPriorAllowance, std::nullopt);
  if (!aCrashed && priorAllowance) {
    mWarmup.mAllowance = *priorAllowance;
  }
  std::uint64_t crash = 0;
  if (aCrashed) {
    crash = CrashId(ToString(mNode.mSettings.mInner), mLoad.mInstance);
    std::vector<std::uint64_t> fingerprints;
    fingerprints.reserve(runs.size());
    for (const auto& run : runs) {
      fingerprints.push_back(run.mFingerprint);
    }
    OnCrash(mQuarantine, {}, crash, fingerprints, mNode.mLoop.NowMs());
    LogEvent(Event::RequestSuspected,
             { { "requests", std::to_string(runs.size()) },
               { "crash", std::to_string(crash) } });
    ReportNow();
  }
  for (const auto& run : runs) {
    run.mOnCrashKnown(crash);
  }
}

void
Agent::SuspectRestart()
{
  if (!mPriorAllowance) {
    mPriorAllowance = mWarmup.mAllowance;
    ResetWarmup(mWarmup, "broken connection");
  }
}

void
Agent::OnRunConnectionLost(std::uint64_t aFingerprint,
                           const sigc::slot<void(std::uint64_t)>& aOnCrashKnown)
{
  mLostRuns.push_back({ aFingerprint, aOnCrashKnown });
  if (mLostRuns.size() == 1) {
    // Requests of one crash lose their connections in the same iteration of the
    // event loop; the poll starts after all of them.
    Defer(mNode.mLoop, [this] { PollBackend(); });
  }
}

WarmupOptions
Agent::MakeWarmupOptions() const
{
  WarmupOptions options;
  if (mNode.mConfig && !mNode.mConfig->mModels.empty()) {
    options.mColdAllowance = mNode.mConfig->mModels[0].mColdConcurrency;
    for (const auto& model : mNode.mConfig->mModels) {
      options.mColdAllowance =
        std::min(options.mColdAllowance, model.mColdConcurrency);
    }
  }
  options.mFullAllowance =
    mLoad.mMaxRunning > 0 ? mLoad.mMaxRunning : mNode.mSettings.mMaxRunning;
  return options;
}

AdmissionOptions
Agent::MakeAdmissionOptions() const
{
  AdmissionOptions options;
  options.mTokenCapacity = mLoad.mTokenCapacity;
  return options;
}

AdmissionDecision
Agent::AdmitRun(const std::shared_ptr<AgentRun>& aRun,
                const AdmissionRequest& aRequest)
{
  WarmupOptions warmup = MakeWarmupOptions();
  AdmissionChanges changes;
  mRuns[aRequest.mId] = aRun;
  AdmissionDecision decision = Admit(mAdmission,
                                     MakeAdmissionOptions(),
                                     Allowance(mWarmup, warmup),
                                     IsCold(mWarmup, warmup),
                                     aRequest,
                                     mNode.mLoop.NowMs(),
                                     changes);
  if (decision.mResult == AdmissionResult::Refused) {
    mRuns.erase(aRequest.mId);
  }
  ApplyChanges(changes);
  return decision;
}

void
Agent::ApplyChanges(const AdmissionChanges& aChanges)
{
  for (const auto& refused : aChanges.mRefused) {
    auto found = mRuns.find(refused.mId);
    auto run = found == mRuns.end() ? nullptr : found->second.lock();
    if (run) {
      run->Reject(refused.mDecision);
    }
    mRuns.erase(refused.mId);
  }
  for (const auto& started : aChanges.mStarted) {
    auto found = mRuns.find(started.mId);
    auto run = found == mRuns.end() ? nullptr : found->second.lock();
    if (run) {
      run->StartQueued();
    } else {
      OnRequestEnded(mAdmission, started.mId, mNode.mLoop.NowMs());
    }
  }
}

void
Agent::PollQueue()
{
  WarmupOptions warmup = MakeWarmupOptions();
  ApplyChanges(PollAdmission(mAdmission,
                             MakeAdmissionOptions(),
                             Allowance(mWarmup, warmup),
                             IsCold(mWarmup, warmup),
                             mNode.mLoop.NowMs()));
}

// Detects a cold backend server whose only sign is a slow first token. Also
// reports free capacity to the entries whose requests were refused.
void
Agent::DetectColdBackend()
{
  for (const auto& [id, weak] : mRuns) {
    auto run = weak.lock();
    if (run && run->SuggestsColdBackend()) {
      ResetWarmup(mWarmup, "slow first token");
      LogEvent(Event::BackendCold, { { "cause", mWarmup.mCause } });
      ReportNow();
      break;
    }
  }
  if (ConsumeCapacityNotice(mAdmission,
                            Allowance(mWarmup, MakeWarmupOptions()))) {
    ReportNow();
  }
}

void
Agent::OnRunEnded(const std::string& aId)
{
  mRuns.erase(aId);
  if (!CancelQueued(mAdmission, aId)) {
    OnRequestEnded(mAdmission, aId, mNode.mLoop.NowMs());
  }
  PollQueue();
}

void
Agent::OnRunTokensGenerated(const std::string& aId, std::int64_t aTokens)
{
  auto cancelled =
    OnTokensGenerated(mAdmission, MakeAdmissionOptions(), aId, aTokens);
  for (const auto& id : cancelled) {
    auto found = mRuns.find(id);
    auto run = found == mRuns.end() ? nullptr : found->second.lock();
    mRuns.erase(id);
    if (run) {
      run->CancelForMemory();
    }
  }
}

bool
Agent::IsZoneOut() const
{
  const Zone* zone =
    mNode.mConfig ? FindZone(*mNode.mConfig, mNode.mSettings.mZone) : nullptr;
  return zone && zone->mState == ZoneState::Out;
}

std::optional<CallRefusal>
Agent::CheckEntryFreshness(const Sender& aSender,
                           const ConfigFreshness& aFreshness)
{
  WorkFreshness workFreshness{ aSender.mRevision,
                               aFreshness.mReportClockMs,
                               aFreshness.mHeadAgeMs };
  switch (CheckWorkFreshness(mSync, workFreshness, mNode.mLoop.NowMs())) {
    case RevisionCheck::Accept:
      return std::nullopt;
    case RevisionCheck::RefuseOlder:
      return CallRefusal{ ErrorCode::ConfigOlder,
                          "the configuration of the entry is older than " +
                            std::to_string(mNode.mConfig->mRevision),
                          50,
                          {} };
    case RevisionCheck::RefuseStale:
      return CallRefusal{ ErrorCode::ConfigStale,
                          "the work was sent too long ago to tell whether its "
                          "configuration is the newest",
                          100,
                          {} };
    default:
      return CallRefusal{ ErrorCode::NoConfiguration,
                          "the agent lacks the configuration of the entry",
                          100,
                          {} };
  }
}

bool
Agent::IsConfigurationFresh() const
{
  return EvaluateFreshness(mSync, {}, mNode.mLoop.NowMs()) == Freshness::Fresh;
}

// Backend servers and caches are cold when their zone returns.
void
Agent::OnConfigChanged()
{
  const Zone* zone = FindZone(*mNode.mConfig, mNode.mSettings.mZone);
  ZoneState state = zone ? zone->mState : ZoneState::In;
  if (mZoneState == ZoneState::Out && state != ZoneState::Out) {
    ResetWarmup(mWarmup, "the availability zone returned");
  }
  mZoneState = state;
  PollQueue();
}

// Orders the engine to load the versions that the configuration names. The
// revision of the configuration is the fencing token: it only grows.
void
Agent::ReconcileVersions()
{
  if (!mNode.mConfig || !mReachable || mNode.mDraining ||
      mNode.mSettings.mBackendKind != BackendKind::Engine) {
    return;
  }
  const auto& pools = mNode.mConfig->mFencingPools;
  bool checksFencing =
    std::find(pools.begin(), pools.end(), mNode.mSettings.mPool) != pools.end();
  auto order = NextLoadOrder(mLoading,
                             {},
                             *mNode.mConfig,
                             mLoad.mVersions,
                             mNode.mSettings.mHost,
                             checksFencing,
                             mStartedMs,
                             mNode.mLoop.NowMs());
  if (!order) {
    return;
  }
  std::string action(ToName(kLoadActionNames, order->mAction));
  LogEvent(Event::BackendOrdered,
           { { "action", action }, { "target", order->mTarget } });
  SendOrder(
    mNode.mHttp,
    mNode.mSettings.mBackend,
    { action, order->mTarget, mNode.mConfig->mRevision },
    [target = order->mTarget](const tl::expected<bool, BackendError>& aDone) {
      if (!aDone || !*aDone) {
        LogEvent(
          Event::BackendOrderFailed,
          { { "target", target },
            { "reason",
              aDone ? "the fencing number is old" : aDone.error().mReason } });
      }
    });
}

// The agent may hold slots while its zone takes work and the backend server has
// been reachable within the last kBackendOutageGraceMs.
void
Agent::UpdateSlotEligibility()
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
  bool unavailable = now - mLastReachableMs > kBackendOutageGraceMs;
  mSlots->SetEligible(mNode.mConfig && !isOut && !unavailable &&
                      mLastReachableMs > 0);
}

AgentReport
Agent::MakeReport() const
{
  const Settings& settings = mNode.mSettings;
  bool engine = settings.mBackendKind == BackendKind::Engine;
  return {
    .mSender = MakeSender(mNode),
    .mClockMs = mNode.mLoop.NowMs(),
    .mPool = settings.mPool,
    .mZone = settings.mZone,
    .mAddress = ToString(settings.mInner),
    .mIsService = !engine,
    .mLeaving = mNode.mDraining,
    .mReachable = mReachable,
    .mVersions = mLoad.mVersions,
    .mRunning =
      static_cast<int>(engine ? mAdmission.mRunning.size() : mCalls.size()),
    .mQueued = static_cast<int>(mAdmission.mQueue.size()),
    .mAllowance = Allowance(mWarmup, MakeWarmupOptions()),
    .mTokensHeld = mAdmission.mTokensHeld,
    .mTokenCapacity = mLoad.mTokenCapacity,
    .mSlots = mSlots ? mSlots->OwnedSlots() : std::vector<OwnedSlot>(),
    .mSuspects = MakeSuspectRows(mQuarantine, mNode.mLoop.NowMs()),
  };
}

nlohmann::json
Agent::State() const
{
  return { { "host", mNode.mSettings.mHost },
           { "role", "agent" },
           { "incarnation", mNode.mIncarnation },
           { "revision", MakeSender(mNode).mRevision },
           { "draining", mNode.mDraining },
           { "reachable", mReachable },
           { "calls", mCalls.size() },
           { "instance", mLoad.mInstance },
           { "running", mAdmission.mRunning.size() },
           { "queued", mAdmission.mQueue.size() },
           { "tokens_held", mAdmission.mTokensHeld },
           { "allowance", Allowance(mWarmup, MakeWarmupOptions()) },
           { "warmup_cause", mWarmup.mCause },
           { "unwritten_bills", mBills.UnwrittenCount() },
           { "suspects", mQuarantine.mSuspects.size() },
           { "slots", mSlots ? mSlots->State() : nlohmann::json() } };
}

void
Agent::ReportNow()
{
  std::string report = Encode(MakeReport());
  for (const auto& subscriber : mReportStreams) {
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
    mReportStreams.insert(aStream);
    aStream->mOnClosed = [this, aStream](bool) {
      mReportStreams.erase(aStream);
    };
    aStream->Send(FrameType::Head, Encode(MakeReport()));
  } else if (aStream->Path() == "/settled") {
    aStream->mOnFrame = [this, aStream](const Frame& aFrame) {
      OnSettled(aFrame);
      aStream->Finish();
    };
  } else if (aStream->Path() == "/config") {
    aStream->mOnFrame = [this, aStream](const Frame& aFrame) {
      OnConfig(aStream, aFrame);
    };
  } else {
    aStream->Cancel();
  }
}

// Handles an entry's message that bill steps have been written to the store.
void
Agent::OnSettled(const Frame& aFrame)
{
  auto document = DecodeDocument(aFrame.mPayload);
  if (!document || !document->contains("steps") ||
      !(*document)["steps"].is_array()) {
    return;
  }
  std::vector<StepId> steps;
  for (const auto& step : (*document)["steps"]) {
    if (auto id = ParseStepId(step)) {
      steps.push_back(*id);
    }
  }
  mBills.OnSettled(steps);
}

// Handles a configuration that an entry pushes. When it is a difference from a
// revision that this agent does not have, the agent answers on the stream with
// a pull, which states what to send instead.
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
    } else if (action.mKind == SyncAction::Kind::Applied &&
               ApplyConfiguration(mNode, mSync.mConfig)) {
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
  mAdmission.mDraining = true;
  PollQueue();
  LogEvent(Event::DrainStarted, { { "calls", std::to_string(mCalls.size()) } });
  ReportNow();
  mDrainDeadlineTimer =
    Timer::After(mNode.mLoop, mNode.mSettings.mDrainMs, [this] {
      LogEvent(Event::AbandonedAtStop,
               { { "calls", std::to_string(mCalls.size()) },
                 { "bills", std::to_string(mBills.UnwrittenCount()) } });
      mNode.mLoop.Stop();
    });
  if (mSlots) {
    mSlots->StartLeaving();
  }
  mDrainPollTimer =
    Timer::Every(mNode.mLoop, kDrainPollIntervalMs, [this] { StopIfIdle(); });
}

// Stops the event loop once no call is in progress, no slot is held and all
// bills are written.
void
Agent::StopIfIdle()
{
  if (!mCalls.empty() || (mSlots && !mSlots->HasLeft())) {
    return;
  }
  if (mBills.UnwrittenCount() > 0) {
    mBills.Flush();
    return;
  }
  mNode.mLoop.Stop();
}

void
Agent::OnCallStarted(const void* aCall)
{
  mCalls.insert(aCall);
}

void
Agent::OnCallEnded(const void* aCall)
{
  mCalls.erase(aCall);
}

void
Refuse(Agent& aAgent,
       InnerStream& aStream,
       ErrorCode aCode,
       ExecutionState aExecution,
       const std::string& aReason,
       TimeMs aRetryAfterMs,
       const std::string& aLoadHint)
{
  AnswerHead head;
  head.mSender = MakeSender(aAgent.mNode);
  head.mCode = aCode;
  head.mExecution = aExecution;
  head.mReason = aReason;
  head.mRetryAfterMs = aRetryAfterMs;
  head.mLoadHint = aLoadHint;
  aStream.Send(FrameType::Head, Encode(head));
  aStream.Finish();
}

} // namespace savory
