#include "entry.h"

#include "model_call.h"
#include "savory/net/log.h"

#include <nlohmann/json.hpp>

namespace savory {

namespace {

constexpr std::string_view kChatCompletionsPath = "/v1/chat/completions";
constexpr TimeMs kQueuePollIntervalMs = 10;

// Poll interval of the drain. The delay before a poll lets the last replies
// leave the socket buffers.
constexpr TimeMs kDrainPollIntervalMs = 100;

// Weight of a new sample in the moving average of a step's duration.
constexpr double kStepTimeWeight = 0.1;

} // namespace

Entry::Entry(Node& aNode)
  : mNode(aNode)
  , mLinks(aNode)
  , mStore(aNode.mHttp, aNode.mSettings.mStore)
  , mFleet(aNode, mLinks, mStore)
  , mRater(aNode)
  , mBills(aNode,
           mStore,
           0,
           [this](const SendSettled& aSettled) { SendSettledSteps(aSettled); })
  , mRollouts(aNode, mFleet, mStore, mRater)
  , mAdmin(aNode,
           { .mState = [this] { return State(); },
             .mMetrics = [this] { return mMetrics.ToText(); },
             .mExplain =
               [this](const std::string& aId) { return ExplainRequest(aId); },
             .mRefresh = [this] { mFleet.ProbeHead(); } })
{
  mBalancer.mLocalZone = aNode.mSettings.mZone;
  mLimits.mEntry = aNode.mSettings.mHost;
  mLimits.mIncarnation = aNode.mIncarnation;
  mFirstTokenSeconds = mMetrics.Histogram(
    "savory_first_token_seconds",
    "Time from the caller's request to the first token of its answer.");
}

// Closes all connections while every member still exists, because closing a
// connection runs callbacks that use them.
Entry::~Entry()
{
  mQueueTimer.Cancel();
  mCallerServer.reset();
  mLinks.Close();
  mFleet.Close();
  mInnerListener.reset();
  mWaitingCalls.clear();
}

bool
Entry::Listen()
{
  // 1. Open the ports.
  HttpServerOptions options;
  // evhttp closes the connection when a body exceeds its own limit, often
  // before the caller reads the answer. Its limit is therefore larger than the
  // router's, so that the router can answer with an error.
  options.mMaxBodyBytes = mNode.mSettings.mMaxBodyBytes * 4;
  options.mMaxHeapBytes = mNode.mSettings.mMemoryMb * 1024 * 1024 / 2;
  mCallerServer = std::make_unique<HttpServer>(
    mNode.mLoop,
    [this](const HttpRequest& aRequest,
           const std::shared_ptr<HttpReply>& aReply) {
      OnCallerRequest(aRequest, aReply);
    },
    options);
  mInnerListener = std::make_unique<InnerListener>(
    mNode.mLoop, [this](const std::shared_ptr<InnerStream>& aStream) {
      OnPeerStream(aStream);
    });
  Endpoint& listen = mNode.mSettings.mListen;
  Endpoint& inner = mNode.mSettings.mInner;
  listen.mPort = mCallerServer->Listen(listen.mAddress, listen.mPort);
  inner.mPort = mInnerListener->Listen(inner.mAddress, inner.mPort);
  if (listen.mPort == 0 || inner.mPort == 0 || !mAdmin.Listen()) {
    return false;
  }

  // 2. Subscribe to events and start the timers.
  mLinks.mOnReport.connect(
    [this](const AgentReport& aReport) { OnReport(aReport); });
  mLinks.mOnAgentLost.connect([this](const std::string& aAddress) {
    RemoveBackend(mBalancer, aAddress);
  });
  mNode.mConfigChanged.connect([this] { OnConfigChanged(); });
  mFleet.mOnPublish.connect([this] { OnGossipRound(); });
  mQueueTimer = Timer::Every(
    mNode.mLoop, kQueuePollIntervalMs, [this] { PlaceWaitingCalls(); });
  mFleet.Start();
  return true;
}

// Serves a stream that another savorystream process opened.
void
Entry::OnPeerStream(const std::shared_ptr<InnerStream>& aStream)
{
  if (!mFleet.Serve(aStream)) {
    aStream->Cancel();
  }
}

void
Entry::OnReport(const AgentReport& aReport)
{
  TimeMs now = mNode.mLoop.NowMs();
  ApplyReport(mBalancer, aReport, now);
  if (const AgentLink* link = mLinks.Find(aReport.mAddress);
      link && link->mHost.mState == HostState::Leaving) {
    MarkLeaving(mBalancer, aReport.mAddress);
  }
  MergeSuspects(mQuarantine, {}, aReport.mSuspects, now);
}

void
Entry::OnConfigChanged()
{
  TimeMs now = mNode.mLoop.NowMs();
  ApplyZones(mBalancer, mNode.mConfig->mZones, now);
  ApplyCustomers(mLimits, {}, mNode.mConfig->mCustomers, now);
}

// Merges the ratings, suspects and demand that the other entries published by
// gossip, and publishes the local ones.
void
Entry::OnGossipRound()
{
  TimeMs now = mNode.mLoop.NowMs();
  // 1. Merge the sections of the peers.
  for (const auto& [host, member] : mFleet.mMembers.mMembers) {
    const auto& sections = member.mRow.mSections;
    if (host == mNode.mSettings.mHost || !sections.is_object()) {
      continue;
    }
    if (sections.contains("ratings")) {
      mRater.MergePeerRatings(sections["ratings"]);
    }
    if (sections.contains("suspects")) {
      try {
        MergeSuspects(
          mQuarantine, {}, SuspectsFromJson(sections["suspects"]), now);
      } catch (const nlohmann::json::exception&) {
        // The peer runs another version of the software and its suspects cannot
        // be parsed. Suspects still reach this entry in agents' reports.
        continue;
      }
    }
    if (sections.contains("demand")) {
      if (auto row = DemandFromJson(sections["demand"])) {
        MergeDemand(mLimits, {}, *row, now);
      }
    }
  }
  // 2. Publish the local sections.
  ExpireSuspects(mQuarantine, {}, now);
  SetSection(
    mFleet.mMembers, "ratings", mRater.SerializeLocalRatings(), false, now);
  SetSection(mFleet.mMembers,
             "suspects",
             SuspectsToJson(MakeSuspectRows(mQuarantine, now)),
             true,
             now);
  SetSection(mFleet.mMembers,
             "demand",
             DemandToJson(MakeDemandRow(mLimits, {}, now)),
             false,
             now);
  // 3. Advance roll-outs.
  mRollouts.Tick();
}

// Places waiting calls, in the order of their customers' shares, until there is
// no capacity left.
void
Entry::PlaceWaitingCalls()
{
  TimeMs now = mNode.mLoop.NowMs();
  for (const auto& expired : RemoveExpired(mLimits, now)) {
    auto call = mWaitingByQueueId[expired.mRequest.mId].lock();
    mWaitingByQueueId.erase(expired.mRequest.mId);
    if (call) {
      call->OnExpired();
    }
  }
  while (auto next = DequeueNext(mLimits, {}, now)) {
    auto found = mWaitingByQueueId.find(next->mRequest.mId);
    auto call =
      found == mWaitingByQueueId.end() ? nullptr : found->second.lock();
    if (!call || call->IsFinished()) {
      mWaitingByQueueId.erase(next->mRequest.mId);
      continue;
    }
    if (!call->Resume()) {
      Requeue(mLimits, *next);
      return;
    }
    mWaitingByQueueId.erase(next->mRequest.mId);
    mWaitingCalls.erase(call.get());
  }
}

void
Entry::AddWaitingCall(const std::shared_ptr<ModelCall>& aCall)
{
  mWaitingCalls[aCall.get()] = aCall;
}

void
Entry::RemoveWaitingCall(const ModelCall* aCall)
{
  mWaitingCalls.erase(aCall);
}

std::string
Entry::FindPool(const std::string& aVersion) const
{
  for (const auto& [address, link] : mLinks.All()) {
    for (const auto& version : link.mReport.mVersions) {
      if (version == aVersion) {
        return link.mReport.mPool;
      }
    }
  }
  return {};
}

void
Entry::ObserveFirstToken(TimeMs aElapsedMs)
{
  mMetrics.Observe(mFirstTokenSeconds, static_cast<double>(aElapsedMs) / 1000);
}

void
Entry::ObserveStepTime(const std::string& aModel, TimeMs aElapsedMs)
{
  auto elapsedMs = static_cast<double>(aElapsedMs);
  auto [found, added] = mMeanStepMs.try_emplace(aModel, elapsedMs);
  if (!added) {
    found->second += kStepTimeWeight * (elapsedMs - found->second);
  }
}

void
Entry::CountAnswer(int aStatus)
{
  auto found = mAnswerCounters.find(aStatus);
  if (found == mAnswerCounters.end()) {
    found =
      mAnswerCounters
        .emplace(aStatus,
                 mMetrics.Counter("savory_answers_total",
                                  "Answers to callers by HTTP status.",
                                  { { "status", std::to_string(aStatus) } }))
        .first;
  }
  mMetrics.Add(found->second);
}

void
Entry::CountError(const CallerError& aError, const std::string& aRequestId)
{
  CountAnswer(HttpStatus(aError.mCode));
  LogEvent(
    aError.mExecution == ExecutionState::NotRun ? Event::RequestRefused
                                                : Event::RequestFailed,
    { { "request", aRequestId },
      { "code", std::string(ToName(kErrorCodeNames, aError.mCode)) },
      { "ran", std::string(ToName(kExecutionStateNames, aError.mExecution)) },
      { "reason", aError.mMessage } });
}

// Tells an agent which of the bill steps that it holds copies of are written to
// the store.
void
Entry::SendSettledSteps(const SendSettled& aSettled)
{
  for (const auto& [address, link] : mLinks.All()) {
    if (link.mHost.mName != aSettled.mAgent || !link.mConnection) {
      continue;
    }
    auto stream = link.mConnection->Open("/settled");
    if (!stream) {
      return;
    }
    nlohmann::json steps = nlohmann::json::array();
    for (const auto& step : aSettled.mSteps) {
      steps.push_back(ToJson(step));
    }
    stream->Send(FrameType::Head, EncodeDocument({ { "steps", steps } }));
    stream->Finish();
    return;
  }
}

nlohmann::json
Entry::ExplainRequest(const std::string& aRequestId) const
{
  const Explanation* found = FindExplanation(mExplain, aRequestId);
  return found ? ToJson(*found) : nlohmann::json();
}

nlohmann::json
Entry::State() const
{
  nlohmann::json agents = nlohmann::json::array();
  for (const auto& [address, link] : mLinks.All()) {
    agents.push_back({ { "address", address },
                       { "host", link.mHost.mName },
                       { "zone", link.mHost.mZone },
                       { "connected", link.mConnection != nullptr },
                       { "revision", link.mReport.mSender.mRevision },
                       { "allowance", link.mReport.mAllowance },
                       { "running", link.mReport.mRunning },
                       { "own", link.mLocalRequests } });
  }
  return { { "host", mNode.mSettings.mHost },
           { "role", "entry" },
           { "incarnation", mNode.mIncarnation },
           { "revision", MakeSender(mNode).mRevision },
           { "draining", mNode.mDraining },
           { "calls", mCalls.size() },
           { "waiting", mWaitingCalls.size() },
           { "unwritten_bills", mBills.UnwrittenCount() },
           { "suspects", mQuarantine.mSuspects.size() },
           { "ratings", mRater.SerializeLocalRatings() },
           { "recent_requests", RecentRequests(mExplain, 10) },
           { "agents", agents },
           { "fleet", mFleet.State() } };
}

void
Entry::Drain()
{
  if (mNode.mDraining) {
    return;
  }
  mNode.mDraining = true;
  mFleet.Leave();
  LogEvent(Event::DrainStarted, { { "calls", std::to_string(mCalls.size()) } });
  mDrainDeadlineTimer =
    Timer::After(mNode.mLoop, mNode.mSettings.mDrainMs, [this] {
      LogEvent(Event::AbandonedAtStop,
               { { "calls", std::to_string(mCalls.size()) },
                 { "bills", std::to_string(mBills.UnwrittenCount()) } });
      mNode.mLoop.Stop();
    });
  mDrainPollTimer =
    Timer::Every(mNode.mLoop, kDrainPollIntervalMs, [this] { StopIfIdle(); });
}

// Stops the event loop once no call is in progress and all bills are written.
void
Entry::StopIfIdle()
{
  if (!mCalls.empty()) {
    return;
  }
  if (mBills.UnwrittenCount() > 0) {
    mBills.Flush();
    return;
  }
  mNode.mLoop.Stop();
}

void
Entry::OnCallStarted(const void* aCall)
{
  mCalls.insert(aCall);
}

void
Entry::OnCallEnded(const void* aCall)
{
  mCalls.erase(aCall);
}

void
Entry::ListModels(const HttpRequest& aRequest, HttpReply& aReply)
{
  auto context = ParseCallerContext(mNode, aRequest);
  if (!context) {
    SendError(aReply, context.error(), "");
    return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const auto& model : context->mConfig->mModels) {
    for (const auto& version : model.mVersions) {
      if (version.mState != VersionState::Withdrawn &&
          IsAllowed(*context->mCustomer, model.mName, version.mName)) {
        list.push_back({ { "id", model.mName + "@" + version.mName },
                         { "object", "model" },
                         { "owned_by", "savorystream" } });
      }
    }
  }
  aReply.Send(200,
              { { "Content-Type", "application/json" } },
              nlohmann::json{ { "object", "list" }, { "data", list } }.dump() +
                "\n");
}

// Returns whether this entry accepts new work now. If not, sends the error
// answer.
bool
Entry::CheckAcceptsWork(const CallerContext& aContext, HttpReply& aReply)
{
  CallerError error;
  error.mExecution = RefusalExecutionState(aContext);
  error.mRetryAfterMs = 500;
  if (mNode.mDraining) {
    error.mCode = ErrorCode::Draining;
    error.mMessage =
      "this entry is draining; another entry can serve the request";
  } else if (mFleet.CurrentFreshness() == Freshness::Stale) {
    error.mCode = ErrorCode::ConfigStale;
    error.mMessage =
      "this entry cannot confirm that its configuration is the newest";
  } else {
    return true;
  }
  CountError(error, aContext.mRequestId);
  SendError(aReply, error, aContext.mRequestId);
  return false;
}

// Dispatches a caller's request by its path.
void
Entry::OnCallerRequest(const HttpRequest& aRequest,
                       const std::shared_ptr<HttpReply>& aReply)
{
  // 1. The list of models, and the checks for all other paths.
  if (aRequest.mPath == "/v1/models" && aRequest.mMethod == "GET") {
    ListModels(aRequest, *aReply);
    return;
  }
  if (aRequest.mBody.size() > mNode.mSettings.mMaxBodyBytes) {
    SendError(*aReply,
              { ErrorCode::BodyTooLarge,
                "the body is longer than " +
                  std::to_string(mNode.mSettings.mMaxBodyBytes) + " bytes",
                ExecutionState::NotRun,
                0 },
              "");
    return;
  }
  auto context = ParseCallerContext(mNode, aRequest);
  if (!context) {
    SendError(*aReply, context.error(), "");
    return;
  }
  if (!CheckAcceptsWork(*context, *aReply)) {
    return;
  }

  // 2. Model calls.
  if (aRequest.mPath == kChatCompletionsPath) {
    if (aRequest.mMethod != "POST") {
      SendError(*aReply,
                { ErrorCode::BadRequest,
                  "method not allowed; use POST",
                  ExecutionState::NotRun,
                  0 },
                context->mRequestId);
      return;
    }
    StartModelCall(*this, *context, aRequest, aReply);
    return;
  }

  // 3. Plain services.
  auto slash = aRequest.mPath.find('/', 1);
  std::string name = aRequest.mPath.substr(1, slash - 1);
  const Service* service = FindService(*context->mConfig, name);
  if (!service) {
    SendError(*aReply,
              { ErrorCode::UnknownService,
                "unknown service \"" + name + "\"",
                ExecutionState::NotRun,
                0 },
              context->mRequestId);
    return;
  }
  StartServiceCall(*this, *context, *service, aRequest, aReply);
}

} // namespace savory
