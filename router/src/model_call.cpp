#include "model_call.h"

#include "entry.h"
#include "savory/core/identity.h"
#include "savory/core/permission.h"
#include "savory/core/rollout.h"
#include "savory/net/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savory {

using nlohmann::json;

namespace {

constexpr int kMaxAttempts = 8;

// Timers may fire this much before their time.
constexpr TimeMs kTimerSlackMs = 10;

// Bytes in the caller's socket buffer above which the agent gets no credit.
constexpr std::size_t kPendingBytes = 4 * 1024;

// Bytes of a stream whose text is kept to be rated.
constexpr std::size_t kRatedBytes = 256 * 1024;

// Bytes of events that are kept before their text is taken out. The events are
// many times the size of their text, and each slow caller holds them.
constexpr std::size_t kFoldBytes = 4 * 1024;

// How long an isolated run waits after a crash, so that the entries have heard
// of each other's suspects before one of them is run again.
constexpr TimeMs kSuspectSpreadMs = 1500;

// Pause before a request is sent again to backend servers that refused it.
constexpr TimeMs kRetryPauseMs = 25;

// Pause before work is sent again that an agent could not tell to be new
// enough; its next report, within a second, makes the difference.
constexpr TimeMs kStalePauseMs = 250;

// Time kept for a second step when the first one waits for its rating.
constexpr double kRatingWaitShare = 0.3;

// Whether a refusal means that there is no room now.
bool
IsCapacity(ErrorCode aCode)
{
  return aCode == ErrorCode::Overloaded || aCode == ErrorCode::ColdLimit ||
         aCode == ErrorCode::MemoryLimit;
}

// Appends the content of the first choice's member, if it is a text.
void
TakeContent(const json& aDocument, const char* aMember, std::string& aText)
{
  auto choices = aDocument.find("choices");
  if (choices == aDocument.end() || !choices->is_array() || choices->empty()) {
    return;
  }
  auto message = (*choices)[0].find(aMember);
  if (message != (*choices)[0].end() && message->is_object() &&
      message->contains("content") && (*message)["content"].is_string()) {
    aText += (*message)["content"].get_ref<const std::string&>();
  }
}

// The text of the events of a stream.
std::string
TextOfEvents(std::string_view aEvents)
{
  constexpr std::string_view kData = "data: ";
  std::string text;
  for (auto at = aEvents.find(kData); at != std::string_view::npos;
       at = aEvents.find(kData, at + 1)) {
    auto end = aEvents.find('\n', at);
    json event =
      json::parse(aEvents.substr(at + kData.size(), end - at - kData.size()),
                  nullptr,
                  false);
    if (event.is_object()) {
      TakeContent(event, "delta", text);
    }
  }
  return text;
}

} // namespace

ModelCall::ModelCall(Entry& aEntry,
                     CallerContext aContext,
                     const std::shared_ptr<HttpReply>& aReply)
  : mEntry(aEntry)
  , mContext(std::move(aContext))
  , mReply(aReply)
  , mCustomer(mContext.mCustomer->mName)
  , mStartedMs(aEntry.mNode.mLoop.NowMs())
{
  mEntry.CallStarted(this);
}

ModelCall::~ModelCall()
{
  mEntry.CallEnded(this);
}

TimeMs
ModelCall::RemainingMs() const
{
  return std::max<TimeMs>(
    0, mStartedMs + mContext.mDeadlineMs - mEntry.mNode.mLoop.NowMs());
}

void
ModelCall::Explain(const std::string& aKind,
                   const std::string& aOutcome,
                   const std::string& aReason)
{
  AddDecision(mEntry.mExplain,
              mContext.mRequestId,
              mCustomer,
              { .mKind = aKind,
                .mAtMs = mEntry.mNode.mLoop.NowMs(),
                .mRevision = mContext.mConfig->mRevision,
                .mOutcome = aOutcome,
                .mReason = aReason,
                .mCandidates = {} });
}

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
  mClass = ClassOf(mChat.mInputTokens, mChat.mHasImages);
  mFingerprint = HashOf(aRequest.mBody, HashOf(mCustomer));

  // 2. Whether it may run at all now, and where.
  if (!CheckLimits() || !ChoosePlan(aRequest)) {
    return;
  }
  mDocument = aRequest.mBody;
  mPrefix = PrefixHashes(mChat.mPrompt);

  // 3. The deadline, and the end of the caller's connection.
  auto self = shared_from_this();
  mDeadline = Timer::After(
    mEntry.mNode.mLoop, mContext.mDeadlineMs, [self] { self->Expire(); });
  mReply->mOnClosed = [self] {
    self->Leave();
    self->Over();
  };
  Proceed();
}

void
ModelCall::Expire()
{
  if (mOver) {
    return;
  }
  Leave();
  if (mQueued && RemainingMs() > kTimerSlackMs) {
    // The queue gives a request up after a bounded wait, mostly long before its
    // deadline; the caller is told what it waited for.
    Fail(mLastError);
    return;
  }
  Fail({ ErrorCode::DeadlineExceeded,
         "the deadline has passed",
         mRan ? Ran::Ran : RanOfRefusal(mContext),
         0 });
}

// Retry budget, token bucket, shedding, quarantine.
bool
ModelCall::CheckLimits()
{
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  LimitAnswer limit = CheckArrival(mEntry.mLimits,
                                   {},
                                   mCustomer,
                                   mFingerprint,
                                   mChat.mInputTokens + mChat.mOutputTokens,
                                   PresetInForce(*mContext.mConfig),
                                   mEntry.IsOverloaded(),
                                   now);
  if (!limit.mAllowed) {
    Fail({ limit.mCode,
           limit.mReason,
           RanOfRefusal(mContext),
           limit.mRetryAfterMs });
    return false;
  }
  if (Judge(mEntry.mQuarantine, {}, mFingerprint, now) == Treatment::Refuse) {
    Fail({ ErrorCode::Quarantined,
           "backend servers crashed while they ran this request",
           RanOfRefusal(mContext),
           0 });
    return false;
  }
  if (!mEntry.mBills.MayAccept(mEntry.mCalls.size())) {
    Fail({ ErrorCode::Overloaded,
           "too many bills wait for the store",
           RanOfRefusal(mContext),
           1000 });
    return false;
  }
  return true;
}

// Versions of roll-outs that may take no more unrated answers from here.
std::vector<std::string>
ModelCall::CandidatesAtLimit() const
{
  std::vector<std::string> excluded;
  int entries = mEntry.mFleet.EntryCount();
  for (const auto& rollout : mContext.mConfig->mRollouts) {
    std::string version = VersionText(rollout.mModel, rollout.mTo);
    if (!MayTakeCandidate(rollout,
                          mEntry.mRater.Outstanding(version),
                          entries,
                          mEntry.mRater.IsUp())) {
      excluded.push_back(version);
    }
  }
  return excluded;
}

PlanInput
ModelCall::MakePlanInput() const
{
  PlanInput input;
  input.mClass = mClass;
  input.mInputTokens = mChat.mInputTokens;
  input.mOutputTokens = mChat.mOutputTokens;
  input.mModel = mChat.mModel;
  input.mStream = mChat.mStream;
  input.mRemainingMs = RemainingMs();
  input.mRatingUp = mEntry.mRater.IsUp();
  input.mRatingMs = mEntry.mRater.UsualMs();
  input.mExcluded = CandidatesAtLimit();
  for (const auto& [model, expected] : mEntry.mStepMs) {
    input.mStepTimes.push_back({ model, static_cast<TimeMs>(expected) });
  }
  return input;
}

// Chooses model and version by session, by the caller's wish or by the router.
bool
ModelCall::ChoosePlan(const HttpRequest& aRequest)
{
  std::string session(HeaderValue(aRequest.mHeaders, "x-session-id"));
  bool strict = HeaderValue(aRequest.mHeaders, "x-session-strict") == "true";
  auto at = mChat.mModel.find('@');
  if (at != std::string::npos) {
    return PlanFixed(mChat.mModel.substr(0, at), mChat.mModel.substr(at + 1));
  }
  if (!session.empty() && session != "new") {
    return PlanSession(session, strict);
  }
  auto plan = PlanRequest(*mContext.mConfig,
                          *mContext.mCustomer,
                          mEntry.mRater.Table(),
                          MakePlanInput(),
                          mEntry.mCascade,
                          mEntry.mNode.mRandom);
  if (!plan) {
    Fail({ plan.error(),
           "no version of model \"" +
             (mChat.mModel.empty() ? "auto" : mChat.mModel) +
             "\" can take the request",
           RanOfRefusal(mContext),
           0 });
    return false;
  }
  mPlan = std::move(*plan);
  if (session == "new") {
    // A session is one version from its first answer on.
    mPlan.mSteps.resize(1);
    mSession = SignSession(*mContext.mConfig,
                           { CurrentStep().mModel, CurrentStep().mVersion },
                           mEntry.mNode.mRandom());
  }
  Explain("plan",
          VersionText(CurrentStep().mModel, CurrentStep().mVersion),
          mPlan.mReason);
  return true;
}

bool
ModelCall::PlanFixed(const std::string& aModel, const std::string& aVersion)
{
  const Model* model = FindModel(*mContext.mConfig, aModel);
  std::optional<ErrorCode> forbidden = model && FindVersion(*model, aVersion)
                                         ? MayRun(*mContext.mConfig,
                                                  *mContext.mCustomer,
                                                  aModel,
                                                  aVersion,
                                                  WorkKind::New)
                                         : ErrorCode::UnknownModel;
  if (forbidden) {
    Fail({ *forbidden,
           aModel + "@" + aVersion + " may not run for this customer",
           RanOfRefusal(mContext),
           0 });
    return false;
  }
  mPlan.mSteps = { { .mModel = aModel, .mVersion = aVersion } };
  Explain("plan", VersionText(aModel, aVersion), "the caller named it");
  return true;
}

bool
ModelCall::PlanSession(const std::string& aSession, bool aStrict)
{
  auto choice = ChooseForSession(
    *mContext.mConfig, *mContext.mCustomer, aSession, mChat.mModel, aStrict);
  if (!choice) {
    Fail({ choice.error(),
           "the session's version cannot take the request",
           RanOfRefusal(mContext),
           0 });
    return false;
  }
  mPlan.mSteps = { { .mModel = choice->mModel, .mVersion = choice->mVersion } };
  if (choice->mMoved) {
    auto old = ReadSession(*mContext.mConfig, aSession);
    mMovedFrom = old ? VersionText(old->mModel, old->mVersion) : "withdrawn";
  }
  mSession = choice->mSigned && !choice->mMoved
               ? aSession
               : SignSession(*mContext.mConfig,
                             { choice->mModel, choice->mVersion },
                             HashOf(aSession));
  Explain(
    "plan", VersionText(choice->mModel, choice->mVersion), choice->mReason);
  return true;
}

// Starts the present step, or waits for room, or ends the call.
void
ModelCall::Proceed()
{
  if (mOver) {
    return;
  }
  if (Place() == Placed::NoRoom) {
    WaitForRoom();
  }
}

bool
ModelCall::Resume()
{
  if (mOver) {
    return true;
  }
  mTried.clear();
  mQueued = false;
  if (Place() == Placed::NoRoom) {
    mQueued = true;
    return false;
  }
  return true;
}

// Goes on under the configuration in force now. False when it lacks the
// customer.
bool
ModelCall::UseNewestConfiguration()
{
  mContext.mConfig = mEntry.mNode.mConfig;
  mContext.mCustomer = FindCustomer(*mContext.mConfig, mCustomer);
  return mContext.mCustomer != nullptr;
}

// Checks the step against the newest configuration; chooses anew when the
// version of an untouched request may not run any more.
bool
ModelCall::MayStillRun()
{
  UseNewestConfiguration();
  std::optional<ErrorCode> forbidden = ErrorCode::NotAllowed;
  if (mContext.mCustomer) {
    forbidden = MayRun(*mContext.mConfig,
                       *mContext.mCustomer,
                       CurrentStep().mModel,
                       CurrentStep().mVersion,
                       mSession.empty() ? WorkKind::New : WorkKind::Session);
  }
  if (!forbidden) {
    return true;
  }
  if (mContext.mCustomer && mStep == 0 && mSession.empty()) {
    auto plan = PlanRequest(*mContext.mConfig,
                            *mContext.mCustomer,
                            mEntry.mRater.Table(),
                            MakePlanInput(),
                            mEntry.mCascade,
                            mEntry.mNode.mRandom);
    if (plan) {
      mPlan = std::move(*plan);
      Explain("plan",
              VersionText(CurrentStep().mModel, CurrentStep().mVersion),
              "chosen anew: " + mPlan.mReason);
      return true;
    }
  }
  Fail({ *forbidden,
         "the version may not run any more",
         mRan ? Ran::Ran : RanOfRefusal(mContext),
         0 });
  return false;
}

// Where a suspect may run, or nothing while it has to wait.
std::optional<std::string>
ModelCall::IsolatedPlace()
{
  auto suspect = mEntry.mQuarantine.mSuspects.find(mFingerprint);
  TimeMs since = suspect == mEntry.mQuarantine.mSuspects.end()
                   ? kSuspectSpreadMs
                   : mEntry.mNode.mLoop.NowMs() - suspect->second.mLastMs;
  if (since < kSuspectSpreadMs) {
    RetryAfter(kSuspectSpreadMs - since);
    return std::nullopt;
  }
  std::vector<std::string> addresses;
  std::string wanted =
    VersionText(CurrentStep().mModel, CurrentStep().mVersion);
  for (const auto& [address, link] : mEntry.mLinks.All()) {
    const Report& report = link.mReport;
    bool serves =
      std::find(report.mVersions.begin(), report.mVersions.end(), wanted) !=
      report.mVersions.end();
    if (link.mConnection && serves && report.mReachable && !report.mLeaving) {
      addresses.push_back(address);
    }
  }
  std::string target = IsolationTarget(mFingerprint, addresses);
  if (target.empty()) {
    RetryAfter(kSuspectSpreadMs);
    return std::nullopt;
  }
  return target;
}

ModelCall::Placed
ModelCall::Place()
{
  // 1. Whether the step may still run.
  if (!MayStillRun()) {
    return Placed::Ended;
  }
  if (mAttempt >= kMaxAttempts) {
    Fail(mLastError);
    return Placed::Ended;
  }

  // 2. A suspect runs alone at one place.
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  switch (Judge(mEntry.mQuarantine, {}, mFingerprint, now)) {
    case Treatment::Refuse:
      Fail({ ErrorCode::Quarantined,
             "backend servers crashed while they ran this request",
             Ran::Ran,
             0 });
      return Placed::Ended;
    case Treatment::Isolate:
      if (auto target = IsolatedPlace()) {
        Explain("backend", *target, "alone, as a suspect of a crash");
        return Send(*target, true) ? Placed::Sent : Placed::NoRoom;
      }
      return Placed::Ended;
    case Treatment::Free:
      break;
  }

  // 3. Any other goes to the best backend server.
  std::string version =
    VersionText(CurrentStep().mModel, CurrentStep().mVersion);
  Choice choice =
    ChooseBackend(mEntry.mBalancer,
                  mEntry.mBalancerOptions,
                  { .mPool = mEntry.PoolOf(version),
                    .mVersion = version,
                    .mPrefix = mPrefix,
                    .mTokens = mChat.mInputTokens + mChat.mOutputTokens,
                    .mExcluded = mTried },
                  mEntry.mNode.mRandom,
                  now);
  for (const auto& candidate : choice.mCandidates) {
    if (Send(candidate.mAddress, false)) {
      Explain("backend", mBackendHost, choice.mReason);
      return Placed::Sent;
    }
  }
  if (mTried.empty() || !IsCapacity(mLastError.mCode)) {
    mLastError = { choice.mCode,
                   choice.mReason,
                   mRan ? Ran::Ran : RanOfRefusal(mContext),
                   choice.mRetryAfterMs };
  }
  return Placed::NoRoom;
}

bool
ModelCall::Send(const std::string& aAddress, bool aAlone)
{
  AgentLink* link = mEntry.mLinks.Find(aAddress);
  if (!link || !link->mConnection) {
    return false;
  }
  mEntry.mFleet.BringUpToDate(*link);
  json document = json::parse(mDocument, nullptr, false);
  document["model"] = CurrentStep().mModel;
  if (mChat.mStream) {
    document["stream_options"] = { { "include_usage", true } };
  }
  RunRequest request{
    .mFrom = SenderOf(mEntry.mNode),
    .mStamp = mEntry.mFleet.StampFor(*link),
    .mRequestId = mContext.mRequestId,
    .mStep = static_cast<int>(mStep),
    .mAttempt = ++mAttempt,
    .mCustomer = mCustomer,
    .mModel = CurrentStep().mModel,
    .mVersion = CurrentStep().mVersion,
    .mSession = mSession,
    .mDeadlineMs = RemainingMs(),
    .mInputTokens = mChat.mInputTokens,
    .mOutputTokens = mChat.mOutputTokens,
    .mFingerprint = mFingerprint,
    .mPriority = mContext.mCustomer->mPriority,
    .mStream = mChat.mStream,
    .mMayQueue = aAlone || !mTried.empty(),
    .mAlone = aAlone,
  };
  mExchange = AgentExchange::Start(
    *link->mConnection,
    "/run",
    Encode(request),
    document.dump(-1, ' ', false, json::error_handler_t::replace));
  if (!mExchange) {
    return false;
  }
  mAddress = aAddress;
  mAlone = aAlone;
  mBackendHost = link->mReport.mFrom.mHost;
  mTried.push_back(aAddress);
  mStepStartedMs = mEntry.mNode.mLoop.NowMs();
  ++link->mOwn;
  OnSent(mEntry.mBalancer,
         mEntry.mBalancerOptions,
         aAddress,
         mChat.mInputTokens + mChat.mOutputTokens,
         mPrefix,
         mStepStartedMs);
  auto self = shared_from_this();
  mExchange->mOnAccepted = [self](const AnswerHead& aHead) {
    self->OnAccepted(aHead);
  };
  mExchange->mOnRefused = [self](const AnswerHead& aHead) {
    self->OnRefused(aHead);
  };
  mExchange->mOnBody = [self](std::string_view aBytes) {
    self->OnBody(aBytes);
  };
  mExchange->mOnEnd = [self](const AnswerEnd& aEnd) { self->OnEnd(aEnd); };
  mExchange->mOnBroken = [self](bool) { self->OnBroken(); };
  return true;
}

// Puts the call into its customer's queue, or refuses it.
void
ModelCall::WaitForRoom()
{
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  WaitingRequest waiting{ mContext.mRequestId + "/" +
                            std::to_string(mFingerprint),
                          mChat.mInputTokens + mChat.mOutputTokens,
                          mStartedMs + mContext.mDeadlineMs };
  if (!IsCapacity(mLastError.mCode) ||
      !Enqueue(mEntry.mLimits, {}, mCustomer, waiting, now)) {
    Fail(mLastError);
    return;
  }
  mQueued = true;
  mEntry.mWaiting[waiting.mId] = weak_from_this();
  mEntry.Keep(shared_from_this());
}

void
ModelCall::RetryAfter(TimeMs aDelayMs)
{
  mRetry = Timer::After(mEntry.mNode.mLoop,
                        aDelayMs,
                        [self = shared_from_this()] { self->Proceed(); });
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
ModelCall::OnRefused(const AnswerHead& aHead)
{
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  Leave();
  mEntry.mFleet.HeardOf(aHead.mFrom);
  if (auto hint = DecodeLoadHint(aHead.mHint)) {
    ApplyLoadHint(mEntry.mBalancer, mAddress, *hint, now);
  }
  mLastError = { aHead.mCode,
                 aHead.mReason,
                 mRan ? Ran::Ran : RanOfRefusal(mContext),
                 aHead.mRetryAfterMs };
  Explain("refused",
          mBackendHost,
          std::string(NameOf(kErrorCodeNames, aHead.mCode)) + ": " +
            aHead.mReason);
  if (aHead.mRan != Ran::NotRun) {
    mRan = true;
    AfterFailure(aHead.mCrash);
    return;
  }
  bool config = aHead.mCode == ErrorCode::ConfigOlder ||
                aHead.mCode == ErrorCode::ConfigStale ||
                aHead.mCode == ErrorCode::NoConfiguration;
  if (config) {
    // The next message carries a newer revision or a younger state of the head.
    mTried.clear();
    RetryAfter(aHead.mCode == ErrorCode::ConfigStale ? kStalePauseMs
                                                     : kRetryPauseMs);
    return;
  }
  Proceed();
}

void
ModelCall::OnBody(std::string_view aBytes)
{
  if (!mFirstByte) {
    mFirstByte = true;
    mEntry.ObserveFirstToken(mEntry.mNode.mLoop.NowMs() - mStartedMs);
  }
  if (!mChat.mStream) {
    mAnswer += aBytes;
    return;
  }
  if (mPlan.mRateAnswer && mRatedBytes < kRatedBytes) {
    mRatedBytes += aBytes.size();
    mAnswer += aBytes;
    if (mAnswer.size() >= kFoldBytes) {
      FoldAnswer();
    }
  }
  mReply->Chunk(aBytes);
  if (mReply->PendingBytes() < kPendingBytes) {
    mExchange->ReleaseCredit();
  }
}

// Both hosts hold the step before the caller gets the whole answer.
void
ModelCall::Bill(const AnswerEnd& aEnd, bool aComplete)
{
  mEntry.mBills.Add(
    { .mId = { mContext.mRequestId, static_cast<int>(mStep), mAttempt },
      .mCustomer = mCustomer,
      .mService = {},
      .mVersion = VersionText(CurrentStep().mModel, CurrentStep().mVersion),
      .mAgent = mBackendHost,
      .mInputTokens = aEnd.mInputTokens,
      .mOutputTokens = aEnd.mOutputTokens,
      .mCost = aEnd.mCost,
      .mComplete = aComplete });
}

void
ModelCall::OnEnd(const AnswerEnd& aEnd)
{
  mRan = true;
  Bill(aEnd, aEnd.mComplete);
  Leave();
  if (!aEnd.mComplete) {
    mLastError = { aEnd.mCode, aEnd.mReason, aEnd.mRan, 100 };
    AfterFailure(aEnd.mCrash);
    return;
  }
  mEntry.ObserveStep(CurrentStep().mModel,
                     mEntry.mNode.mLoop.NowMs() - mStepStartedMs);
  OnRanToEnd(mEntry.mQuarantine, {}, mFingerprint);
  OnStepDone();
}

// The agent was lost with the request; its backend server may have crashed.
void
ModelCall::OnBroken()
{
  Leave();
  mRan = true;
  mLastError = {
    ErrorCode::BackendFailed, "the agent was lost", Ran::Unknown, 100
  };
  AfterFailure(CrashId(mAddress, mBackendHost));
}

// Sends the step to another backend server when nothing of its answer has
// reached the caller and the customer's retry budget allows.
void
ModelCall::AfterFailure(std::uint64_t aCrash)
{
  TimeMs now = mEntry.mNode.mLoop.NowMs();
  if (aCrash != 0) {
    // Only a run that was sent alone is known here to have been alone; the
    // agent's own count of what broke comes with its report.
    SuspectRow rows[] = { { mFingerprint, { { aCrash, mAlone, false } }, 0 } };
    MergeSuspects(mEntry.mQuarantine, {}, rows, now);
  }
  mAnswer.clear();
  mText.clear();
  mRatedBytes = 0;
  if (mReply->IsStarted() || !TakeRetry(mEntry.mLimits, {}, mCustomer, now)) {
    Fail(mLastError);
    return;
  }
  Proceed();
}

// After a whole answer of a step: delivers it or goes on to the next.
void
ModelCall::OnStepDone()
{
  bool mayEscalate = !mChat.mStream && mStep + 1 < mPlan.mSteps.size();
  if (!mayEscalate) {
    Deliver();
    return;
  }
  mRated = true;
  auto wait =
    static_cast<TimeMs>(kRatingWaitShare * static_cast<double>(RemainingMs()));
  mEntry.mRater.Rate(RatingKeyOf(mPlan, mStep, mClass),
                     { mContext.mRequestId + "/" + std::to_string(mStep),
                       CurrentStep().mModel,
                       CurrentStep().mVersion,
                       mChat.mPrompt,
                       AnswerText() },
                     wait,
                     [self = shared_from_this()](std::optional<bool> aPassed) {
                       self->OnStepRated(aPassed);
                     });
}

void
ModelCall::OnStepRated(std::optional<bool> aPassed)
{
  if (mOver) {
    return;
  }
  if (!UseNewestConfiguration()) {
    Deliver();
    return;
  }
  StepDecision decision = DecideAfterStep(*mContext.mConfig,
                                          *mContext.mCustomer,
                                          mEntry.mRater.Table(),
                                          mPlan,
                                          aPassed,
                                          MakePlanInput(),
                                          mEntry.mCascade);
  Explain("after step",
          decision.mAction == AfterStep::Escalate
            ? VersionText(decision.mNext.mModel, decision.mNext.mVersion)
            : "deliver",
          decision.mReason);
  if (decision.mAction == AfterStep::Deliver) {
    Deliver();
    return;
  }
  mPlan.mSteps[++mStep] = decision.mNext;
  mAnswer.clear();
  mTried.clear();
  mAttempt = 0;
  mRated = false;
  Proceed();
}

// The text of the answer, out of a whole document or out of the events of a
// stream.
std::string
ModelCall::AnswerText() const
{
  if (mChat.mStream) {
    return mText + TextOfEvents(mAnswer);
  }
  std::string text;
  json document = json::parse(mAnswer, nullptr, false);
  if (document.is_object()) {
    TakeContent(document, "message", text);
  }
  return text;
}

// Replaces the whole events of a stream by their text.
void
ModelCall::FoldAnswer()
{
  auto end = mAnswer.rfind('\n');
  if (end != std::string::npos) {
    mText += TextOfEvents(std::string_view(mAnswer).substr(0, end + 1));
    mAnswer.erase(0, end + 1);
  }
}

// Has the delivered answer rated where the plan wants it.
void
ModelCall::AskForRating()
{
  bool candidate = false;
  for (const auto& rollout : mContext.mConfig->mRollouts) {
    candidate = candidate || (rollout.mModel == CurrentStep().mModel &&
                              rollout.mTo == CurrentStep().mVersion);
  }
  if (mRated || (!mPlan.mRateAnswer && !candidate)) {
    return;
  }
  mEntry.mRater.Rate(RatingKeyOf(mPlan, mStep, mClass),
                     { mContext.mRequestId + "/" + std::to_string(mStep),
                       CurrentStep().mModel,
                       CurrentStep().mVersion,
                       mChat.mPrompt,
                       AnswerText() },
                     kOutstandingMs,
                     [](std::optional<bool>) {});
}

Headers
ModelCall::AnswerHeaders() const
{
  Headers headers = mHeaders;
  headers.emplace_back("x-savory-request-id", mContext.mRequestId);
  if (!mSession.empty()) {
    headers.emplace_back("x-session-id", mSession);
  }
  if (!mMovedFrom.empty()) {
    headers.emplace_back("x-savory-session-moved", mMovedFrom);
  }
  if (mContext.mExplain) {
    headers.emplace_back("x-savory-model", CurrentStep().mModel);
    headers.emplace_back("x-savory-version", CurrentStep().mVersion);
    headers.emplace_back("x-savory-backend", mBackendHost);
    headers.emplace_back("x-savory-step", std::to_string(mStep));
    headers.emplace_back("x-savory-reason", mPlan.mReason);
  }
  return headers;
}

void
ModelCall::Deliver()
{
  AskForRating();
  OnAnswered(
    mEntry.mLimits, {}, mCustomer, mFingerprint, mEntry.mNode.mLoop.NowMs());
  mEntry.CountAnswer(200);
  if (mChat.mStream) {
    mReply->mOnClosed = {};
    mReply->mOnDrained = {};
    mReply->End();
  } else {
    mReply->Send(mStatus, AnswerHeaders(), mAnswer);
  }
  Over();
}

// Ends the attempt at the present agent, if there is one.
void
ModelCall::Leave()
{
  if (!mExchange) {
    return;
  }
  std::exchange(mExchange, nullptr)->Cancel();
  OnEnded(mEntry.mBalancer, mAddress, mChat.mInputTokens + mChat.mOutputTokens);
  if (AgentLink* link = mEntry.mLinks.Find(mAddress)) {
    --link->mOwn;
  }
}

void
ModelCall::Fail(const CallerError& aError)
{
  if (mOver) {
    return;
  }
  mEntry.CountError(aError, mContext.mRequestId);
  Explain("failed",
          std::string(NameOf(kErrorCodeNames, aError.mCode)),
          aError.mMessage);
  if (mReply->IsStarted()) {
    mReply->mOnClosed = {};
    mReply->mOnDrained = {};
    mReply->Chunk(StreamError(aError, mContext.mRequestId));
    mReply->End();
  } else {
    SendError(*mReply, aError, mContext.mRequestId);
  }
  Over();
}

// Lets go of everything that refers back to this call.
void
ModelCall::Over()
{
  mOver = true;
  mDeadline.Cancel();
  mRetry.Cancel();
  mReply->mOnClosed = {};
  mReply->mOnDrained = {};
  mEntry.Forget(this);
}

void
StartModelCall(Entry& aEntry,
               const CallerContext& aContext,
               const HttpRequest& aRequest,
               const std::shared_ptr<HttpReply>& aReply)
{
  std::make_shared<ModelCall>(aEntry, aContext, aReply)->Begin(aRequest);
}

} // namespace savory
