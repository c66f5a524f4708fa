#include "exchange.h"

#include "savory/net/log.h"

#include <algorithm>

// What is decided for requests to paced services only: admission by the
// forecast of the whole answer, the larger model, and second attempts.

namespace savory {

namespace {

// Weight of one request in the mean engine time of a service's requests.
constexpr double kWorkWeight = 0.05;

// A pool is counted again at this interval.
constexpr TimeMs kPoolCountIntervalMs = 20;

// Prompts with a longer prefill are queued after the others of their priority
// while the customers' shares allow it.
constexpr double kLongPrefillMs = 120;

// How much more engine time costs a request for each step of lower urgency.
constexpr double kRankPrice = 0.25;

std::string
FormatMs(double aMs)
{
  return std::to_string(static_cast<std::int64_t>(aMs));
}

} // namespace

bool
Exchange::IsPacedService() const
{
  return IsPaced(mShared.mState.mRunners, mService, Now());
}

// The model under which is learned: callers may state any name, so that those
// that the service does not list share one.
std::string
Exchange::ListedModel(const std::string& aModel) const
{
  const ServiceInfo* service = FindService(*mTable, mService);
  bool isListed = service && std::any_of(service->mModels.begin(),
                                         service->mModels.end(),
                                         [&aModel](const ModelPrice& aListed) {
                                           return aListed.mName == aModel;
                                         });
  return isListed ? aModel : std::string();
}

// The time per token of a model that was not observed is that of another model
// of the service, in proportion to their prices: engines of larger models are
// slower by about what they cost more. 0 while nothing is known.
double
Exchange::EstimateTokenMs(const std::string& aModel,
                          const Placement& aPlacement) const
{
  const GatewayState& state = mShared.mState;
  const RunnerState& runner = state.mRunners.mRunners.at(aPlacement.mRunner);
  int running = EstimateRunning(runner, Now());
  auto estimate = [&](const std::string& aName) {
    auto found = state.mTokenPaces.find({ mService, aName });
    return found == state.mTokenPaces.end()
             ? 0.0
             : EstimateMsPerToken(found->second, running);
  };
  double msPerToken = estimate(ListedModel(aModel));
  if (msPerToken > 0 && aPlacement.mTokenMs > 0) {
    return aPlacement.mTokenMs;
  }
  const ServiceInfo* service = FindService(*mTable, mService);
  if (msPerToken > 0 || !service) {
    return msPerToken;
  }
  double price = 0;
  for (const ModelPrice& model : service->mModels) {
    price = model.mName == aModel ? model.mPricePerThousandTokens : price;
  }
  for (const ModelPrice& model : service->mModels) {
    double other = estimate(model.mName);
    if (other > 0 && price > 0 && model.mPricePerThousandTokens > 0) {
      return other * price / model.mPricePerThousandTokens;
    }
  }
  return 0;
}

// The median of the tokens of the whole answer; 0 if it is unknown.
double
Exchange::EstimateOutputTokens() const
{
  return EstimateAnswerTokens(
    mShared.mState.mAnswerLengths[mRoute->mName],
    static_cast<double>(mMetadata.mExpectedOutputTokens),
    static_cast<double>(mMetadata.mMaxOutputTokens));
}

CompletionForecast
Exchange::MakeForecast(const PlacementRequest& aPlacementRequest,
                       const Placement& aPlacement) const
{
  GatewayState& state = mShared.mState;
  CompletionForecast forecast;
  const LogSpread& error = state.mPools[mService].mFirstEventErrors[{
    UrgencyRank(), ListedModel(aPlacementRequest.mModel) }];
  forecast.mFirstEventMs = aPlacement.mExpectedMs * UsualRatio(error);
  forecast.mFirstEventDeviation = StandardDeviation(error, kFirstEventBounds);
  if (!IsStream()) {
    return forecast;
  }
  forecast.mMaxTokens = static_cast<double>(mMetadata.mMaxOutputTokens);
  forecast.mTokens = EstimateOutputTokens();
  forecast.mLengthDeviation = StandardDeviation(
    state.mAnswerLengths[mRoute->mName].mHintError, kLengthBounds);
  const ServiceInfo* service = FindService(*mTable, mService);
  forecast.mStreamedTokens = static_cast<double>(mLastEventId.value_or(0)) *
                             (service ? service->mTokensPerEvent : 1);
  forecast.mMsPerToken = EstimateTokenMs(aPlacementRequest.mModel, aPlacement);
  return forecast;
}

// The engine time of the request: prefill occupies the engine alone, a decode
// step is shared by the batch.
PoolOption
Exchange::MakePoolOption(const PlacementRequest& aPlacementRequest,
                         const Placement& aPlacement) const
{
  PoolOption option;
  option.mModel = aPlacementRequest.mModel;
  option.mForecast = MakeForecast(aPlacementRequest, aPlacement);
  const RunnerState& runner =
    mShared.mState.mRunners.mRunners.at(aPlacement.mRunner);
  option.mWorkMs = aPlacement.mPrefillMs +
                   option.mForecast.mTokens * option.mForecast.mMsPerToken /
                     std::max(1, EstimateRunning(runner, Now()));
  return option;
}

// The state of the service's pool; moves its damped load. Counting takes a pass
// over all runners, and their reports are older than the interval.
PoolState
Exchange::UpdatePool()
{
  GatewayState& state = mShared.mState;
  PoolKnowledge& pool = state.mPools[mService];
  if (!pool.mCountedMs || Now() - *pool.mCountedMs >= kPoolCountIntervalMs) {
    pool.mCountedMs = Now();
    pool.mState = DescribePool(state.mRunners, mService, Now());
    UpdateLoad(pool.mLoad, PoolLoad(pool.mState), Now());
    pool.mState.mDampedLoad = pool.mLoad.mLoad;
  }
  return pool.mState;
}

// Decides on a placement by the forecast of the whole answer. May replace it by
// one for a smaller model. Returns false if the request was refused or is held
// back. Requests that may have run, or whose answer has started, are placed in
// any case.
bool
Exchange::AdmitToPool(PlacementRequest& aPlacementRequest,
                      Placement& aPlacement)
{
  if (mAnswerStarted || mIsTrial) {
    return true;
  }
  GatewayState& state = mShared.mState;
  PoolState pool = UpdatePool();
  PoolRequest request;
  std::vector<std::pair<PlacementRequest, Placement>> placements;
  auto add = [&](PlacementRequest aRequest, const Placement& aFound) {
    request.mOptions.push_back(MakePoolOption(aRequest, aFound));
    placements.emplace_back(std::move(aRequest), aFound);
  };
  add(aPlacementRequest, aPlacement);
  auto model =
    std::find(mRoute->mModels.begin(), mRoute->mModels.end(), mModel);
  if (!mModel.empty() && model != mRoute->mModels.end()) {
    while (model != mRoute->mModels.begin()) {
      --model;
      PlacementRequest smallerRequest;
      auto smaller = FindPlacement(*model, smallerRequest);
      if (smaller) {
        add(std::move(smallerRequest), *smaller);
      }
    }
  }
  std::uniform_real_distribution<double> uniform(0, 1);
  request.mArrivedMs = mArrivedMs;
  request.mDeadlineMs = mDeadlineMs;
  request.mLatencyGoalMs = mRoute->mLatencyGoalMs;
  request.mPoint = uniform(state.mRandom);
  request.mIsOverShare = IsCustomerOverShare();
  PoolDecision decision = DecidePool(pool, request, Now());
  if (mMayHaveRun && (decision.mAction == PoolAction::Refuse ||
                      decision.mAction == PoolAction::Wait)) {
    decision.mAction =
      decision.mOption > 0 ? PoolAction::PlaceSmaller : PoolAction::Place;
  }
  std::string action(ToName(kPoolActionNames, decision.mAction));
  std::string reason(ToName(kPoolReasonNames, decision.mReason));
  mShared.mMetrics.CountPoolDecision(action, reason);
  mDecision = reason;
  if (decision.mAction == PoolAction::Wait) {
    mRetryTimer =
      Timer::After(mShared.mLoop, decision.mAfterMs, [this] { Place(); });
    return false;
  }
  if (decision.mAction == PoolAction::Refuse) {
    LogEvent(Event::RequestRefused,
             { { "id", mMetadata.mId },
               { "reason", reason },
               { "optimistic_ms", FormatMs(decision.mOptimisticMs) },
               { "median_ms", FormatMs(decision.mMedianMs) },
               { "left_ms", std::to_string(RemainingMs()) },
               { "taken", std::to_string(pool.mTaken) },
               { "queued", std::to_string(pool.mQueued) },
               { "slots", std::to_string(pool.mSlots) },
               { "retry_ms", std::to_string(decision.mAfterMs) } });
    Refuse(reason, decision.mAfterMs);
    return false;
  }
  if (decision.mOption > 0) {
    aPlacementRequest = std::move(placements[decision.mOption].first);
    aPlacement = placements[decision.mOption].second;
    mModel = aPlacementRequest.mModel;
  }
  return true;
}

// The number of the service's priorities that are more urgent.
int
Exchange::UrgencyRank() const
{
  PoolKnowledge& pool = mShared.mState.mPools[mService];
  if (pool.mPrioritiesVersion != mTable->mVersion) {
    pool.mPriorities = ListPriorities(*mTable, mService);
    pool.mPrioritiesVersion = mTable->mVersion;
  }
  int priority = mCustomer ? mCustomer->mPriority.value_or(mRoute->mPriority)
                           : mRoute->mPriority;
  return PriorityRank(pool.mPriorities, priority);
}

bool
Exchange::IsCustomerOverShare()
{
  CustomerShares& shares = mShared.mState.mPools[mService].mShares;
  return mCustomer && IsOverShare(shares, mCustomer->mName, Now());
}

// The priority that the runner is told.
int
Exchange::PacedPriority(const Placement& aPlacement)
{
  RequestUrgency urgency;
  urgency.mRank = UrgencyRank();
  urgency.mIsOverShare = IsCustomerOverShare();
  urgency.mIsLong = aPlacement.mPrefillMs >= kLongPrefillMs;
  return EnginePriority(mShared.mState.mPools[mService].mPriorities.size(),
                        urgency);
}

// Drops the answer of a smaller model for that of a larger one that ends in
// time, if that is worth its engine time. Returns whether it did.
bool
Exchange::EscalatePaced()
{
  GatewayState& state = mShared.mState;
  PoolState pool = UpdatePool();
  const PoolKnowledge& knowledge = state.mPools[mService];
  EscalationRequest request;
  request.mConfidence = *mAttempt->mMetadata.mConfidence;
  // The head comes directly before the first event.
  request.mReady =
    MakeForecast(mAttempt->mPlacementRequest, mAttempt->mPlacement);
  request.mReady.mFirstEventMs = request.mReady.mMsPerToken;
  request.mRemainingMs = RemainingMs();
  request.mGoalRemainingMs = mArrivedMs + mRoute->mLatencyGoalMs - Now();
  request.mMeanWorkMs = knowledge.mMeanWorkMs;
  request.mLoadPrice = LoadPrice(pool.mDampedLoad,
                                 state.mPoolWaits[mService].mMeanMs,
                                 mRoute->mLatencyGoalMs) *
                       (1 + kRankPrice * UrgencyRank());
  std::vector<std::pair<PlacementRequest, Placement>> placements;
  const std::vector<std::string>& models = mRoute->mModels;
  auto own = std::find(models.begin(), models.end(), mModel);
  if (own == models.end()) {
    return false;
  }
  std::set<std::string> tried = std::exchange(mTriedRunners, {});
  auto count = static_cast<std::size_t>(models.end() - own) - 1;
  for (std::size_t rank = 1; rank <= count; ++rank) {
    PlacementRequest placementRequest;
    auto placement = FindPlacement(own[rank], placementRequest);
    if (!placement) {
      continue;
    }
    PoolOption option = MakePoolOption(placementRequest, *placement);
    option.mQuality = LargerModelQuality(request.mConfidence, rank, count);
    request.mLarger.push_back(std::move(option));
    placements.emplace_back(std::move(placementRequest), *placement);
  }
  auto chosen = ChooseLargerModel(request);
  bool escalate = chosen && TryAcquireAttempt();
  std::size_t index = chosen.value_or(placements.size() - 1);
  const PoolOption shown =
    placements.empty() ? PoolOption{} : request.mLarger[index];
  LogEvent(
    Event::ModelChosen,
    { { "id", mMetadata.mId },
      { "model", mModel },
      { "confidence", std::to_string(static_cast<int>(request.mConfidence)) },
      { "tokens", std::to_string(mMetadata.mPromptTokens) },
      { "larger_ms", FormatMs(shown.mForecast.mFirstEventMs) },
      { "wait_ms", FormatMs(state.mPoolWaits[mService].mMeanMs) },
      { "choice", escalate ? "ask-larger" : "keep" },
      { "larger", shown.mModel },
      { "end_ms", FormatMs(EstimateEndMs(shown.mForecast, 0.5)) },
      { "left_ms", std::to_string(request.mRemainingMs) },
      { "load", std::to_string(pool.mDampedLoad) },
      { "price", std::to_string(request.mLoadPrice) } });
  if (!escalate) {
    mTriedRunners = std::move(tried);
    return false;
  }
  mShared.mMetrics.CountAttempt("dropped-for-larger");
  OnRunnerOutcome(RunnerOutcome::Success);
  EndAttempt();
  mModel = placements[index].first.mModel;
  mDecision = "larger-model";
  Send(std::move(placements[index].first), placements[index].second);
  return true;
}

// Whether another runner is so much better for the overdue attempt that its
// work so far may be given up.
bool
Exchange::ShouldMove()
{
  const GatewayState& state = mShared.mState;
  PlacementRequest elsewhereRequest;
  auto elsewhere = FindPlacement(mModel, elsewhereRequest);
  if (!elsewhere) {
    return false;
  }
  bool isStreaming = mAttempt->mProgress.mEvents > 0;
  TimeMs sinceMs =
    isStreaming ? mAttempt->mProgress.mLastEventMs : mAttempt->mSentMs;
  OverdueAttempt overdue;
  overdue.mWaitedMs = Now() - sinceMs;
  PlacementRequest hereRequest = mAttempt->mPlacementRequest;
  hereRequest.mTriedRunners.clear();
  hereRequest.mAllowsRunner = [this](const RunnerState& aRunner) {
    return aRunner.mRegistration.mId == mAttempt->mRunner;
  };
  auto here = PlaceRequest(state.mRunners, *state.mTable, hereRequest, Now());
  auto runner = state.mRunners.mRunners.find(mAttempt->mRunner);
  // A stream that has begun does not wait for its turn.
  overdue.mRunnerAnswers = here && !isStreaming &&
                           runner != state.mRunners.mRunners.end() &&
                           runner->second.mReportedMs > sinceMs;
  overdue.mHereMs = here ? here->mExpectedMs : 0;
  overdue.mElsewhereMs = elsewhere->mExpectedMs;
  overdue.mElsewhereChance =
    EndChance(MakeForecast(elsewhereRequest, *elsewhere),
              static_cast<double>(RemainingMs()));
  return ShouldMoveAttempt(overdue);
}

void
Exchange::OnPacedSent()
{
  PoolOption option =
    MakePoolOption(mAttempt->mPlacementRequest, mAttempt->mPlacement);
  mAttempt->mForecastEndMs =
    Now() + static_cast<TimeMs>(EstimateEndMs(option.mForecast, 0.5));
  mAttempt->mDecision = std::exchange(mDecision, {});
  PoolKnowledge& pool = mShared.mState.mPools[mService];
  if (mCustomer) {
    OnWorkSent(pool.mShares, mCustomer->mName, option.mWorkMs, Now());
  }
  double& meanMs = pool.mMeanWorkMs;
  meanMs = meanMs > 0 ? meanMs + kWorkWeight * (option.mWorkMs - meanMs)
                      : option.mWorkMs;
}

// Events of the attempt have arrived: the first ones show the error of the
// expected time to them.
void
Exchange::OnPacedEvents()
{
  if (mAttempt->mProgress.mEvents == 0 && IsPacedService()) {
    OnFirstEventObserved(*mAttempt);
  }
}

// An attempt that ended without an event after more than the expected time
// counts as if its first event had come then.
void
Exchange::OnFirstEventObserved(const Attempt& aAttempt)
{
  OnObserved(
    mShared.mState.mPools[mService].mFirstEventErrors[{
      UrgencyRank(), ListedModel(aAttempt.mPlacementRequest.mModel) }],
    aAttempt.mPlacement.mExpectedMs,
    static_cast<double>(std::max<TimeMs>(1, Now() - aAttempt.mSentMs)));
}

// A stream has ended normally: learns its length and the error of the forecast.
void
Exchange::OnPacedAnswer()
{
  if (!IsPacedService()) {
    return;
  }
  const ServiceInfo* service = FindService(*mTable, mService);
  int tokensPerEvent = service ? service->mTokensPerEvent : 1;
  OnAnswerLength(mShared.mState.mAnswerLengths[mRoute->mName],
                 static_cast<double>(mMetadata.mExpectedOutputTokens),
                 static_cast<double>(mLastEventId.value_or(0)) *
                   tokensPerEvent);
  if (mAttempt->mForecastEndMs > 0) {
    TimeMs errorMs = Now() - mAttempt->mForecastEndMs;
    mShared.mMetrics.ObserveForecastError(
      mRoute->mName, static_cast<double>(std::abs(errorMs)) / 1000);
  }
}

// An attempt has ended in any way: learns the error of the expected time to an
// answer that did not come, or to a call's answer, and the pace of the engine.
void
Exchange::OnPacedEnd(const Attempt& aAttempt)
{
  if (!IsPacedService()) {
    return;
  }
  bool isOverdue = !aAttempt.mHeadReceived && !aAttempt.mEnded &&
                   static_cast<double>(Now() - aAttempt.mSentMs) >
                     aAttempt.mPlacement.mExpectedMs;
  bool isCallAnswered = !IsStream() && aAttempt.mAnswered;
  if (isOverdue || isCallAnswered) {
    OnFirstEventObserved(aAttempt);
  }
  if (!IsStream()) {
    return;
  }
  const RunnerSet& set = mShared.mState.mRunners;
  auto runner = set.mRunners.find(aAttempt.mRunner);
  const ServiceInfo* service = FindService(*mTable, mService);
  OnStreamObserved(
    mShared.mState.mTokenPaces[{
      mService, ListedModel(aAttempt.mPlacementRequest.mModel) }],
    aAttempt.mProgress,
    service ? service->mTokensPerEvent : 1,
    runner == set.mRunners.end() ? 0 : EstimateRunning(runner->second, Now()));
}

} // namespace savory
