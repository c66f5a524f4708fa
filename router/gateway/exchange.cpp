#include "exchange.h"

#include "savory/core/quarantine.h"
#include "savory/net/log.h"

#include <algorithm>
#include <xxhash.h>

namespace savory {

namespace {

// Longest idle time of a connection that a request may reuse. It is short for
// requests that must not run twice, since the runner may close an idle
// connection just as the request is sent.
constexpr TimeMs kNonIdempotentMaxIdleMs = 400;
constexpr TimeMs kMaxIdleMs = 60000;

// Placement is retried at this interval while no runner can take the request,
// for at most this share of the route's latency goal and at most this long.
constexpr TimeMs kPlacementRetryMs = 30;
constexpr double kPlacementWaitRatio = 0.25;
constexpr TimeMs kMaxPlacementWaitMs = 800;

// Deadline of a request when neither the caller nor the route sets one.
constexpr TimeMs kDefaultDeadlineMs = 60000;

// An attempt times out after this many times its expected time plus the slack.
// The request then moves to another runner if one can take it.
constexpr double kAnswerTimeoutFactor = 4;
constexpr TimeMs kStreamTimeoutSlackMs = 1500;
constexpr TimeMs kCallTimeoutSlackMs = 350;

// Peers are notified early of prompts whose prefill takes at least this long.
constexpr double kLongPrefillMs = 80;

// Expected duration of a call to a plain service before any was observed.
constexpr double kInitialCallMs = 60;

// Why a request is refused that holds what crashes runners.
constexpr std::string_view kBlockedReason = "request crashes runners";

std::uint64_t
Fingerprint(const IncomingRequest& aRequest, const std::string& aKey)
{
  std::uint64_t hash = XXH3_64bits_withSeed(
    aRequest.mHead.mTarget.data(), aRequest.mHead.mTarget.size(), 0);
  hash = XXH3_64bits_withSeed(aKey.data(), aKey.size(), hash);
  return XXH3_64bits_withSeed(
    aRequest.mBody.data(), aRequest.mBody.size(), hash);
}

// Returns a number in [0, 1) that is the same on every host.
double
HashToUnitInterval(const std::string& aText)
{
  constexpr double kScale = 18446744073709551616.0;
  return static_cast<double>(XXH3_64bits(aText.data(), aText.size())) / kScale;
}

} // namespace

GatewayShared::GatewayShared(EventLoop& aLoop, FleetSettings aSettings)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mLinks(aLoop)
{
  mProcessLimits = DeriveProcessLimits(mSettings.mMemoryBytes,
                                       mSettings.mBufferedBytes,
                                       mSettings.mMaxDescriptors);
  mByteBudget->mOptions = mProcessLimits.mBytes;
  mLinks.SetMaxLinks(mProcessLimits.mMaxRunnerLinks);
  mAnswersHolder = AddByteHolder(*mByteBudget, {});
  mState.mRunners.mHost = mSettings.mHost;
  mState.mRandom.seed(std::random_device{}());
  mState.mRetryBudgetOptions.mRatio = mSettings.mRetryRatio;
  mState.mRetryBudgetOptions.mSlack = mSettings.mRetrySlack;
  mState.mRetryBudgetOptions.mWindowMs = mSettings.mRetryWindowMs;
}

void
GatewayShared::SetBufferedBytes(std::size_t aBytes)
{
  mBufferedBytes = aBytes;
  SetHeldBytes(*mByteBudget, mAnswersHolder, aBytes);
}

Exchange::Exchange(GatewayShared& aShared,
                   IncomingRequest aRequest,
                   std::shared_ptr<CallerLink> aCaller)
  : mShared(aShared)
  , mRequest(std::move(aRequest))
  , mCaller(std::move(aCaller))
  , mMetadata(ParseRequestMetadata(mRequest.mHead))
  , mArrivedMs(aShared.mLoop.NowMs())
{
}

void
Exchange::Start()
{
  mShared.mExchanges.insert(shared_from_this());
  if (!Admit()) {
    return;
  }
  TimeMs limit =
    mMetadata.mDeadlineMs > 0 ? mMetadata.mDeadlineMs : kDefaultDeadlineMs;
  if (mRoute->mTimeoutMs > 0) {
    limit = std::min(limit, mRoute->mTimeoutMs);
  }
  if (!CheckForShutdown(limit)) {
    return;
  }
  mCaller->mOnClosed = [this] { OnCallerClosed(); };
  mDeadlineMs = mArrivedMs + limit;
  mDeadlineTimer = Timer::After(mShared.mLoop, limit, [this] { OnDeadline(); });
  mPlacementStartMs = mArrivedMs;
  mLastEventId = mMetadata.mLastEventId;
  OnRequestArrived(mShared.mState.mRetryBudget,
                   mShared.mState.mRetryBudgetOptions,
                   mService,
                   mArrivedMs);
  ChooseInitialModel();
  Place();
}

// Checks route, customer key and quarantine. If one fails, answers the caller
// and returns false.
bool
Exchange::Admit()
{
  GatewayState& state = mShared.mState;
  mTable = state.mTable;
  if (!mTable) {
    Refuse("no configuration", RetryAfterMs());
    return false;
  }
  const std::string* host = FindHeader(mRequest.mHead.mHeaders, "Host");
  mRoute = FindRoute(*mTable, host ? *host : "", mRequest.mHead.mTarget);
  if (!mRoute) {
    Reject(404, "no route");
    return false;
  }
  if (mTable->mHasCustomers && !mRoute->mAnonymous) {
    auto found = mTable->mKeys.find(mMetadata.mApiKey);
    if (found == mTable->mKeys.end()) {
      Reject(401, "unknown key");
      return false;
    }
    mCustomer = found->second;
  }
  mVersionPoint = HashToUnitInterval(
    mMetadata.mSession.empty() ? mMetadata.mId : mMetadata.mSession);
  std::uniform_real_distribution<double> uniform(0, 1);
  const RouteTarget* target = ChooseTarget(*mRoute, uniform(state.mRandom));
  mService = target ? target->mService : std::string();
  return CheckForSuspects();
}

// Refuses a request that might not be answered before this process is killed,
// and returns false. Its caller is served at once by another host.
bool
Exchange::CheckForShutdown(TimeMs aLimitMs)
{
  if (!mShared.mShutdown) {
    return true;
  }
  const Shutdown& shutdown = *mShared.mShutdown;
  bool admits = AdmitsDuringShutdown(shutdown.mPlan,
                                     { mArrivedMs - shutdown.mStartMs,
                                       aLimitMs,
                                       mRoute->mLatencyGoalMs,
                                       IsRepeatable() });
  if (!admits) {
    LogEvent(Event::RequestRefused,
             { { "id", mMetadata.mId }, { "reason", "shutdown" } });
    Refuse("shutdown", 0);
  }
  return admits;
}

void
Exchange::Abandon()
{
  if (mDone) {
    return;
  }
  auto self = shared_from_this();
  mMayHaveRun = mMayHaveRun || mAttempt;
  FailRequest("shutdown");
}

// Refuses a request that holds what crashes runners and returns false, unless
// it serves as a trial. No time to come back is stated: the caller cannot know
// when the cause is gone, and many would return at once.
bool
Exchange::CheckForSuspects()
{
  GatewayState& state = mShared.mState;
  mContents.mService = mService;
  mContents.mFingerprint = Fingerprint(mRequest, mMetadata.mApiKey);
  for (std::size_t i = 0; i + 1 < mMetadata.mParts.size(); ++i) {
    mContents.mParts.push_back(mMetadata.mParts[i].mId);
  }
  auto blocked =
    FindBlockedSuspect(state.mCrashSuspects, mContents, mArrivedMs);
  if (!blocked) {
    return true;
  }
  mIsTrial =
    mShared.mIsTrialHost(*blocked) &&
    TryAcquireTrial(
      state.mCrashSuspects, state.mCrashSuspectOptions, *blocked, mArrivedMs);
  if (!mIsTrial) {
    Refuse(kBlockedReason, std::nullopt);
  }
  return mIsTrial;
}

void
Exchange::StopIfBlocked()
{
  bool isAnswered = mAnswerStarted || (mAttempt && mAttempt->mAnswered);
  if (mDone || mIsTrial || isAnswered ||
      !FindBlockedSuspect(mShared.mState.mCrashSuspects, mContents, Now())) {
    return;
  }
  auto self = shared_from_this();
  mMayHaveRun = mMayHaveRun || mAttempt;
  EndAttempt();
  FailAsBlocked();
}

void
Exchange::FailAsBlocked()
{
  mIsBlocked = true;
  FailRequest(kBlockedReason);
}

void
Exchange::ChooseInitialModel()
{
  if (mMetadata.mModel == kAnyModel && !mRoute->mModels.empty()) {
    mModel = mRoute->mModels.front();
  }
}

PrefillSpeed&
Exchange::FindOrAddPrefillSpeed(const std::string& aModel) const
{
  auto [found, isNew] =
    mShared.mState.mPrefillSpeeds.try_emplace({ mService, aModel });
  if (isNew && aModel.empty()) {
    found->second = { 0, kInitialCallMs, 0 };
  } else if (isNew) {
    const ServiceInfo* service = FindService(*mTable, mService);
    for (const ModelPrice& model :
         service ? service->mModels : std::vector<ModelPrice>()) {
      if (model.mName == aModel) {
        found->second = InitialPrefillSpeed(model.mPricePerThousandTokens);
      }
    }
  }
  return found->second;
}

PlacementRequest
Exchange::MakePlacementRequest(const std::string& aModel, bool aFallback) const
{
  PlacementRequest placementRequest;
  placementRequest.mService = mService;
  placementRequest.mModel = aModel.empty() ? mMetadata.mModel : aModel;
  placementRequest.mZone = mShared.mSettings.mZone;
  placementRequest.mTriedRunners = mTriedRunners;
  placementRequest.mBodyBytes = mRequest.mBody.size();
  if (!mMetadata.mParts.empty()) {
    placementRequest.mSharedParts = mMetadata.mParts;
    placementRequest.mSharedParts.pop_back();
  }
  std::int64_t sharedTokens = 0;
  for (const PromptPart& part : placementRequest.mSharedParts) {
    sharedTokens += part.mTokens;
  }
  placementRequest.mUnsharedTokens =
    std::max<std::int64_t>(0, mMetadata.mPromptTokens - sharedTokens);
  const PrefillSpeed& speed = FindOrAddPrefillSpeed(placementRequest.mModel);
  placementRequest.mMsPerToken = speed.mMsPerToken;
  if (IsStream() && IsPaced(mShared.mState.mRunners, mService, Now())) {
    placementRequest.mOutputTokens = EstimateOutputTokens();
  }
  placementRequest.mFixedMs = speed.mFixedMs;
  std::optional<std::string> pinnedVersion;
  if (!aFallback && !mMetadata.mSession.empty()) {
    pinnedVersion = PinnedVersion(mShared.mState.mShifts,
                                  mShared.mState.mSessions,
                                  mService,
                                  mMetadata.mSession,
                                  mShared.mSettings.mSessionTimeoutMs,
                                  Now());
  }
  placementRequest.mAllowsRunner =
    [this, aFallback, pinnedVersion](const RunnerState& aRunner) {
      return pinnedVersion ? aRunner.mRegistration.mVersion == *pinnedVersion
                           : AllowsVersion(mShared.mState.mShifts,
                                           aRunner,
                                           mVersionPoint,
                                           aFallback,
                                           Now());
    };
  return placementRequest;
}

// Places the request on a runner of the version that its version point or its
// session selects, or else of another version that the roll-out allows.
tl::expected<Placement, PlacementFailure>
Exchange::FindPlacement(const std::string& aModel,
                        PlacementRequest& aPlacementRequest) const
{
  const GatewayState& state = mShared.mState;
  aPlacementRequest = MakePlacementRequest(aModel, false);
  auto placement =
    PlaceRequest(state.mRunners, *state.mTable, aPlacementRequest, Now());
  // With other failures, runners of the version are only unavailable for a
  // moment; the caller waits for them.
  if (!placement && (placement.error() == PlacementFailure::NoRunner ||
                     placement.error() == PlacementFailure::AllTried)) {
    PlacementRequest fallback = MakePlacementRequest(aModel, true);
    auto fallbackPlacement =
      PlaceRequest(state.mRunners, *state.mTable, fallback, Now());
    if (fallbackPlacement) {
      aPlacementRequest = std::move(fallback);
      return fallbackPlacement;
    }
  }
  return placement;
}

void
Exchange::Place()
{
  if (mDone) {
    return;
  }
  if (!mIsTrial &&
      FindBlockedSuspect(mShared.mState.mCrashSuspects, mContents, Now())) {
    FailAsBlocked();
    return;
  }
  if (!mShared.mLinks.HasRoom()) {
    FailRequest("no-descriptors");
    return;
  }
  PlacementRequest placementRequest;
  auto placement = FindPlacement(mModel, placementRequest);
  if (!placement && placement.error() == PlacementFailure::AllTried) {
    // Each runner was tried once; trying one again is better than failing.
    mTriedRunners.clear();
    placement = FindPlacement(mModel, placementRequest);
  }
  if (!placement) {
    WaitForRunner(placement.error(), placementRequest);
    return;
  }
  if (IsPacedService() && !AdmitToPool(placementRequest, *placement)) {
    return;
  }
  Send(std::move(placementRequest), *placement);
}

// Schedules another placement if runners exist that cannot take the request at
// present; fails the request if there are none, or none that returns within the
// longest wait.
void
Exchange::WaitForRunner(PlacementFailure aFailure,
                        const PlacementRequest& aPlacementRequest)
{
  TimeMs maxWaitMs =
    std::min(kMaxPlacementWaitMs,
             static_cast<TimeMs>(kPlacementWaitRatio *
                                 static_cast<double>(mRoute->mLatencyGoalMs)));
  TimeMs waitEndMs = mPlacementStartMs + maxWaitMs;
  mEarliestReturnMs =
    EarliestReturnMs(mShared.mState.mRunners, aPlacementRequest, Now());
  if (aFailure == PlacementFailure::NoRunner || Now() >= waitEndMs ||
      (mEarliestReturnMs && *mEarliestReturnMs >= waitEndMs)) {
    FailRequest(ToName(kPlacementFailureNames, aFailure));
    return;
  }
  mRetryTimer =
    Timer::After(mShared.mLoop, kPlacementRetryMs, [this] { Place(); });
}

void
Exchange::Send(PlacementRequest aPlacementRequest, const Placement& aPlacement)
{
  TimeMs now = Now();
  RunnerState& runner = mShared.mState.mRunners.mRunners.at(aPlacement.mRunner);
  auto endpoint = ParseEndpoint(runner.mRegistration.mAddress);
  mAttempt = std::make_unique<Attempt>();
  mAttempt->mRunner = aPlacement.mRunner;
  mAttempt->mVersion = runner.mRegistration.mVersion;
  mAttempt->mProcess = ToProcess(runner.mRegistration);
  mAttempt->mCrash =
    CrashId(runner.mRegistration.mAddress,
            std::to_string(runner.mRegistration.mStartedWallMs));
  mAttempt->mPlacement = aPlacement;
  mAttempt->mSentMs = now;
  mAttempt->mPrefillId = ++mShared.mLastAttemptId;
  OnRequestSent(runner,
                aPlacementRequest,
                aPlacement.mPrefillMs,
                mAttempt->mPrefillId,
                now);
  if (aPlacement.mPrefillMs >= kLongPrefillMs) {
    mShared.mOnLongPrefill();
  }
  mAttempt->mPlacementRequest = std::move(aPlacementRequest);
  if (IsPacedService()) {
    OnPacedSent();
  }
  mTriedRunners.insert(aPlacement.mRunner);
  ++mAttemptCount;

  RunnerAttempt details;
  details.mRunner = aPlacement.mRunner;
  details.mDeadlineMs = std::max<TimeMs>(1, RemainingMs());
  details.mModel = mModel;
  details.mCustomer = mCustomer ? mCustomer->mName : "";
  if (IsStream()) {
    details.mPriority = IsPacedService()
                          ? PacedPriority(aPlacement)
                          : PrefillPriority(aPlacement.mPrefillMs);
    details.mLastEventId = mLastEventId;
    mAttempt->mIsResumed = mAnswerStarted && mLastEventId.has_value();
  }
  bool isNonIdempotent = !IsRepeatable();
  bool isFirstSend =
    mSentAddresses.insert(runner.mRegistration.mAddress).second;
  auto link =
    isFirstSend
      ? mShared.mLinks.Acquire(
          *endpoint, isNonIdempotent ? kNonIdempotentMaxIdleMs : kMaxIdleMs)
      : mShared.mLinks.Connect(*endpoint);
  mAttempt->mLink = link;
  std::string id = mMetadata.mId;
  bool isFresh = link->IsFresh();
  link->mAcceptsHead = [id, isFresh](const HttpHead& aHead) {
    AnswerMetadata metadata = ParseAnswerMetadata(aHead);
    // A late answer to an earlier request bears that request's id.
    return metadata.mId == id || (metadata.mId.empty() && isFresh);
  };
  link->mOnHead = [this](const HttpHead& aHead) { OnHead(aHead); };
  link->mOnBody = [this](std::string_view aBytes) { OnBody(aBytes); };
  link->mOnEnd = [this](bool aReusable) { OnEnd(aReusable); };
  link->mOnFailed = [this](LinkFailure aFailure) { OnLinkFailed(aFailure); };
  link->Send(MakeRunnerHead(mRequest.mHead, details),
             mRequest.mBody,
             shared_from_this());
  StartAnswerTimer();
  StartVerdictTimer();
  CountPrefixDecision();
  LogEvent(Event::RequestPlaced,
           { { "id", mMetadata.mId },
             { "attempt", std::to_string(mAttemptCount) },
             { "route", mRoute->mName },
             { "config", std::to_string(mTable->mVersion) },
             { "runner", aPlacement.mRunner },
             { "version", mAttempt->mVersion },
             { "model", mAttempt->mPlacementRequest.mModel },
             { "expected_ms",
               std::to_string(static_cast<int>(aPlacement.mExpectedMs)) },
             { "uncached", std::to_string(aPlacement.mUncachedTokens) },
             { "left_ms", std::to_string(RemainingMs()) },
             { "decision", mAttempt->mDecision },
             { "end_ms",
               std::to_string(std::max<TimeMs>(
                 0, mAttempt->mForecastEndMs - mAttempt->mSentMs)) },
             { "prefix", DescribePrefix(aPlacement) } });
}

// Starts the timer after which the attempt counts as unanswered. A request that
// must not be repeated has none.
void
Exchange::StartAnswerTimer()
{
  if (!IsRepeatable()) {
    return;
  }
  TimeMs timeoutMs = IsStream() ? kStreamTimeoutSlackMs : kCallTimeoutSlackMs;
  timeoutMs += static_cast<TimeMs>(kAnswerTimeoutFactor *
                                   mAttempt->mPlacement.mExpectedMs);
  mAnswerTimer =
    Timer::After(mShared.mLoop, timeoutMs, [this] { OnAnswerTimeout(); });
}

bool
Exchange::IsRepeatable() const
{
  return mRoute->mKind == RouteKind::Safe ||
         (mRoute->mKind == RouteKind::Stream && mRoute->mResumable);
}

// Spends one retry from the service's budget if the route's limit of attempts
// and the budget allow it.
bool
Exchange::TryAcquireAttempt()
{
  return !mIsTrial && mAttemptCount < mRoute->mMaxAttempts &&
         TryAcquireRetry(mShared.mState.mRetryBudget,
                         mShared.mState.mRetryBudgetOptions,
                         mService,
                         mShared.mState.mRunners.mEntryHosts,
                         Now());
}

bool
Exchange::RunsOtherVersion(const std::string& aService,
                           const std::string& aVersion) const
{
  return mAttempt && mService == aService && mAttempt->mVersion != aVersion;
}

} // namespace savory
