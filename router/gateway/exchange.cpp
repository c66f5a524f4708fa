#include "exchange.h"

#include "savory/net/log.h"

#include <algorithm>
#include <xxhash.h>

namespace savory {

namespace {

// Requests that must run once use a kept connection only when it was in use
// this shortly before, as a runner may close an idle one at the same moment.
constexpr TimeMs kUnsafeMaxIdleMs = 400;
constexpr TimeMs kMaxIdleMs = 60000;

// How often a request that found no runner looks again, and how long it does
// so, as a part of its latency goal and at most.
constexpr TimeMs kLookAgainMs = 30;
constexpr double kLookPart = 0.25;
constexpr TimeMs kMaxLookMs = 800;

// Without a deadline of the caller or the route, a request ends after this.
constexpr TimeMs kDefaultDeadlineMs = 60000;

// An answer that takes this many times the expected time and this much longer
// is not waited for when another runner can take the request.
constexpr double kSilenceFactor = 4;
constexpr TimeMs kStreamSilenceMs = 1500;
constexpr TimeMs kCallSilenceMs = 350;

// Peers hear at once of prompts that take this long to read.
constexpr double kLargeReadMs = 80;

// First guesses of how long requests take, before answers teach better.
constexpr double kCallFixedMs = 60;

std::uint64_t
Fingerprint(const IncomingRequest& aRequest, const std::string& aKey)
{
  std::uint64_t hash = XXH3_64bits_withSeed(
    aRequest.mHead.mTarget.data(), aRequest.mHead.mTarget.size(), 0);
  hash = XXH3_64bits_withSeed(aKey.data(), aKey.size(), hash);
  return XXH3_64bits_withSeed(
    aRequest.mBody.data(), aRequest.mBody.size(), hash);
}

// A number in [0, 1) that is the same at every host.
double
PointOf(const std::string& aText)
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
  mBeliefs.mRunners.mHost = mSettings.mHost;
  mBeliefs.mRandom.seed(std::random_device{}());
  mBeliefs.mBudgetOptions.mRatio = mSettings.mRetryRatio;
  mBeliefs.mBudgetOptions.mSlack = mSettings.mRetrySlack;
  mBeliefs.mBudgetOptions.mWindowMs = mSettings.mRetryWindowMs;
}

Exchange::Exchange(GatewayShared& aShared,
                   IncomingRequest aRequest,
                   std::shared_ptr<CallerLink> aCaller)
  : mShared(aShared)
  , mRequest(std::move(aRequest))
  , mCaller(std::move(aCaller))
  , mFacts(ParseRequestMetadata(mRequest.mHead))
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
  mCaller->mOnClosed = [this] { OnCallerGone(); };
  TimeMs limit =
    mFacts.mDeadlineMs > 0 ? mFacts.mDeadlineMs : kDefaultDeadlineMs;
  if (mRoute->mTimeoutMs > 0) {
    limit = std::min(limit, mRoute->mTimeoutMs);
  }
  mDeadlineMs = mArrivedMs + limit;
  mDeadline = Timer::After(mShared.mLoop, limit, [this] { OnDeadline(); });
  mPlaceSinceMs = mArrivedMs;
  mLastEventId = mFacts.mLastEventId;
  OnRequestArrived(mShared.mBeliefs.mBudget,
                   mShared.mBeliefs.mBudgetOptions,
                   mService,
                   mArrivedMs);
  ChooseStartModel();
  Place();
}

// Checks route, key and suspicion. Answers the caller when the request goes no
// further.
bool
Exchange::Admit()
{
  Beliefs& beliefs = mShared.mBeliefs;
  mTable = beliefs.mTable;
  if (!mTable) {
    Refuse("no configuration");
    return false;
  }
  const std::string* host = FindHeader(mRequest.mHead.mHeaders, "Host");
  mRoute = FindRoute(*mTable, host ? *host : "", mRequest.mHead.mTarget);
  if (!mRoute) {
    Reject(404, "no route");
    return false;
  }
  if (mTable->mHasCustomers && !mRoute->mAnonymous) {
    auto found = mTable->mKeys.find(mFacts.mApiKey);
    if (found == mTable->mKeys.end()) {
      Reject(401, "unknown key");
      return false;
    }
    mCustomer = found->second;
  }
  mFingerprint = Fingerprint(mRequest, mFacts.mApiKey);
  if (CheckQuarantine(beliefs.mQuarantine,
                      beliefs.mQuarantineOptions,
                      mFingerprint,
                      mArrivedMs) == QuarantineAction::Refuse) {
    Refuse("request crashes runners");
    return false;
  }
  mPoint = PointOf(mFacts.mSession.empty() ? mFacts.mId : mFacts.mSession);
  std::uniform_real_distribution<double> any(0, 1);
  const RouteTarget* target = ChooseTarget(*mRoute, any(beliefs.mRandom));
  mService = target ? target->mService : std::string();
  return true;
}

void
Exchange::ChooseStartModel()
{
  if (mFacts.mModel == kAnyModel && !mRoute->mModels.empty()) {
    mModel = mRoute->mModels.front();
  }
}

PrefillSpeed&
Exchange::Speed(const std::string& aModel) const
{
  auto [found, isNew] =
    mShared.mBeliefs.mSpeeds.try_emplace({ mService, aModel });
  if (isNew && aModel.empty()) {
    found->second = { 0, kCallFixedMs, 0 };
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
Exchange::DescribePlacement(const std::string& aModel, bool aFallback) const
{
  PlacementRequest place;
  place.mService = mService;
  place.mModel = aModel.empty() ? mFacts.mModel : aModel;
  place.mZone = mShared.mSettings.mZone;
  place.mTriedRunners = mTried;
  place.mBodyBytes = mRequest.mBody.size();
  if (!mFacts.mParts.empty()) {
    place.mSharedParts = mFacts.mParts;
    place.mSharedParts.pop_back();
  }
  std::int64_t shared = 0;
  for (const PromptPart& part : place.mSharedParts) {
    shared += part.mTokens;
  }
  place.mUnsharedTokens =
    std::max<std::int64_t>(0, mFacts.mPromptTokens - shared);
  const PrefillSpeed& speed = Speed(place.mModel);
  place.mMsPerToken = speed.mMsPerToken;
  place.mFixedMs = speed.mFixedMs;
  std::optional<std::string> pinned;
  if (!aFallback && !mFacts.mSession.empty()) {
    pinned = PinnedVersion(mShared.mBeliefs.mShifts,
                           mShared.mBeliefs.mSessions,
                           mService,
                           mFacts.mSession,
                           mShared.mSettings.mSessionTimeoutMs,
                           Now());
  }
  place.mAllowsRunner = [this, aFallback, pinned](const RunnerState& aRunner) {
    return pinned
             ? aRunner.mRegistration.mVersion == *pinned
             : AllowsVersion(
                 mShared.mBeliefs.mShifts, aRunner, mPoint, aFallback, Now());
  };
  return place;
}

// The best runner of the version that the request's share asks for, else of
// another version that may be used.
tl::expected<Placement, PlacementFailure>
Exchange::FindPlacement(const std::string& aModel,
                        PlacementRequest& aPlace) const
{
  const Beliefs& beliefs = mShared.mBeliefs;
  aPlace = DescribePlacement(aModel, false);
  auto placement =
    PlaceRequest(beliefs.mRunners, *beliefs.mTable, aPlace, Now());
  // Runners that are only held back for a moment are waited for.
  if (!placement && (placement.error() == PlacementFailure::NoRunner ||
                     placement.error() == PlacementFailure::AllTried)) {
    PlacementRequest fallback = DescribePlacement(aModel, true);
    auto second =
      PlaceRequest(beliefs.mRunners, *beliefs.mTable, fallback, Now());
    if (second) {
      aPlace = std::move(fallback);
      return second;
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
  PlacementRequest place;
  auto placement = FindPlacement(mModel, place);
  if (!placement && placement.error() == PlacementFailure::AllTried) {
    // Each runner was tried once; a second time is better than none.
    mTried.clear();
    placement = FindPlacement(mModel, place);
  }
  if (!placement) {
    WaitForRunner(placement.error());
    return;
  }
  Send(std::move(place), *placement);
}

// Looks again shortly when runners exist that cannot take work at the moment;
// refuses at once when there is none.
void
Exchange::WaitForRunner(PlacementFailure aFailure)
{
  TimeMs patience =
    std::min(kMaxLookMs,
             static_cast<TimeMs>(kLookPart *
                                 static_cast<double>(mRoute->mLatencyGoalMs)));
  if (aFailure == PlacementFailure::NoRunner ||
      Now() - mPlaceSinceMs >= patience) {
    GiveUp(ToName(kPlacementFailureNames, aFailure));
    return;
  }
  mRetry = Timer::After(mShared.mLoop, kLookAgainMs, [this] { Place(); });
}

void
Exchange::Send(PlacementRequest aPlace, const Placement& aPlacement)
{
  TimeMs now = Now();
  RunnerState& runner =
    mShared.mBeliefs.mRunners.mRunners.at(aPlacement.mRunner);
  auto endpoint = ParseEndpoint(runner.mRegistration.mAddress);
  mAttempt = std::make_unique<Attempt>();
  mAttempt->mRunner = aPlacement.mRunner;
  mAttempt->mVersion = runner.mRegistration.mVersion;
  mAttempt->mPlacement = aPlacement;
  mAttempt->mSentMs = now;
  mAttempt->mWork = ++mShared.mAttempts;
  OnRequestSent(runner, aPlace, aPlacement.mPrefillMs, mAttempt->mWork, now);
  if (aPlacement.mPrefillMs >= kLargeReadMs) {
    mShared.mOnLargeRead();
  }
  mAttempt->mPlace = std::move(aPlace);
  mTried.insert(aPlacement.mRunner);
  ++mAttempts;

  RunnerAttempt details;
  details.mRunner = aPlacement.mRunner;
  details.mDeadlineMs = std::max<TimeMs>(1, LeftMs());
  details.mModel = mModel;
  details.mCustomer = mCustomer ? mCustomer->mName : "";
  if (IsStream()) {
    details.mPriority = PrefillPriority(aPlacement.mPrefillMs);
    details.mLastEventId = mLastEventId;
  }
  bool once = !IsRepeatable();
  auto link =
    mShared.mLinks.Take(*endpoint, once ? kUnsafeMaxIdleMs : kMaxIdleMs);
  mAttempt->mLink = link;
  std::string id = mFacts.mId;
  bool fresh = link->IsFresh();
  link->mAccepts = [id, fresh](const HttpHead& aHead) {
    AnswerMetadata facts = ParseAnswerMetadata(aHead);
    // A late answer to an earlier request names that one.
    return facts.mId == id || (facts.mId.empty() && fresh);
  };
  link->mOnHead = [this](const HttpHead& aHead) { OnHead(aHead); };
  link->mOnBody = [this](std::string_view aBytes) { OnBody(aBytes); };
  link->mOnEnd = [this](bool aReusable) { OnEnd(aReusable); };
  link->mOnFailed = [this](LinkFailure aFailure) { OnLinkFailed(aFailure); };
  link->Send(MakeRunnerHead(mRequest.mHead, details), mRequest.mBody);
  WatchSilence();
  LogEvent(Event::RequestPlaced,
           { { "id", mFacts.mId },
             { "attempt", std::to_string(mAttempts) },
             { "route", mRoute->mName },
             { "config", std::to_string(mTable->mVersion) },
             { "runner", aPlacement.mRunner },
             { "version", mAttempt->mVersion },
             { "model", mAttempt->mPlace.mModel },
             { "expected_ms",
               std::to_string(static_cast<int>(aPlacement.mExpectedMs)) },
             { "uncached", std::to_string(aPlacement.mUncachedTokens) },
             { "left_ms", std::to_string(LeftMs()) } });
}

// Looks after an answer that does not come, when the request may be repeated.
void
Exchange::WatchSilence()
{
  if (!IsRepeatable()) {
    return;
  }
  TimeMs patience = IsStream() ? kStreamSilenceMs : kCallSilenceMs;
  patience +=
    static_cast<TimeMs>(kSilenceFactor * mAttempt->mPlacement.mExpectedMs);
  mSilence = Timer::After(mShared.mLoop, patience, [this] { OnSilence(); });
}

bool
Exchange::IsRepeatable() const
{
  return mRoute->mKind == RouteKind::Safe ||
         (mRoute->mKind == RouteKind::Stream && mRoute->mResumable);
}

// Books one more attempt when the route and the shared budget allow it.
bool
Exchange::MaySendAgain()
{
  return mAttempts < mRoute->mMaxAttempts &&
         TryAcquireRetry(mShared.mBeliefs.mBudget,
                         mShared.mBeliefs.mBudgetOptions,
                         mService,
                         mShared.mBeliefs.mRunners.mEntryHosts,
                         Now());
}

bool
Exchange::IsWithOther(const std::string& aService,
                      const std::string& aVersion) const
{
  return mAttempt && mService == aService && mAttempt->mVersion != aVersion;
}

} // namespace savory
