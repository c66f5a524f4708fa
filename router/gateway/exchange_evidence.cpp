#include "exchange.h"

#include "savory/net/log.h"

#include <algorithm>

// What a request's attempts show of their runners, versions and prompts.

namespace savory {

namespace {

// Weights of one answer in the moving averages of a runner's latency ratio and
// of a pool's wait, and the bound of the ratio and of its inverse.
constexpr double kLatencyRatioWeight = 0.05;
constexpr double kPoolWaitWeight = 0.1;
constexpr double kMaxLatencyRatio = 4;

// Events of a stream from which on their pace tells the runner's speed.
constexpr int kMinPacedEvents = 5;

// The longest time for which a runner is taken for cold at its word.
constexpr TimeMs kMaxColdMs = 24LL * 3600 * 1000;

// Bytes of a header that cannot be read in a line of the log.
constexpr std::size_t kMaxLoggedHeaderBytes = 64;

} // namespace

// Takes over what the runner says of itself. Another process that has its
// address by now says nothing of it.
void
Exchange::ApplyRunnerHeaders()
{
  const AnswerMetadata& metadata = mAttempt->mMetadata;
  RunnerSet& set = mShared.mState.mRunners;
  TimeMs now = Now();
  bool isOther = metadata.mRunner.empty()
                   ? mAttempt->mHead.mStatus == kMisdirectedStatus
                   : metadata.mRunner != mAttempt->mRunner;
  if (isOther) {
    return;
  }
  std::string process = std::to_string(mAttempt->mProcess.second);
  if (metadata.mLeaving && OnDrainNotice(set, mAttempt->mProcess, now)) {
    LogEvent(Event::DrainAnnounced,
             { { "runner", mAttempt->mRunner },
               { "started", process },
               { "value", metadata.mLeavingText },
               { "id", mMetadata.mId } });
  }
  auto found = set.mRunners.find(mAttempt->mRunner);
  if (found == set.mRunners.end() ||
      ToProcess(found->second.mRegistration) != mAttempt->mProcess) {
    return;
  }
  RunnerState& runner = found->second;
  if (metadata.mLoad) {
    OnLoadReport(
      runner, metadata.mLoad->mRunning, metadata.mLoad->mWaiting, now);
    if (metadata.mLoad->mSlowdown) {
      OnSlowdownReport(set, runner, *metadata.mLoad->mSlowdown, now);
    }
  }
  if (metadata.mColdRemainingMs && *metadata.mColdRemainingMs > 0) {
    runner.mColdUntilMs =
      now + std::min(*metadata.mColdRemainingMs, kMaxColdMs);
  }
  if (metadata.mBackpressureMs && *metadata.mBackpressureMs > 0) {
    OnBackpressureHint(runner.mBackpressure,
                       *metadata.mBackpressureMs,
                       set.mHost,
                       mAttempt->mRunner,
                       now);
    if (!std::exchange(runner.mBackpressure.mIsReported, true)) {
      LogEvent(
        Event::BackpressureBegun,
        { { "runner", mAttempt->mRunner },
          { "started", process },
          { "value", metadata.mBackpressureText },
          { "for_ms", std::to_string(runner.mBackpressure.mReturnMs - now) },
          { "id", mMetadata.mId } });
    }
  }
  if (metadata.mBadHeader && !std::exchange(runner.mBadHeaderReported, true)) {
    LogEvent(
      Event::AnswerHeaderIgnored,
      { { "runner", mAttempt->mRunner },
        { "started", process },
        { "header", metadata.mBadHeader->mName },
        { "value",
          metadata.mBadHeader->mValue.substr(0, kMaxLoggedHeaderBytes) } });
  }
}

// Updates the estimates of prefill speed, pool wait and the runner's latency
// ratio, or its speed if the service is paced, from the time to an answer's
// head, and removes the prompt from the
// runner's prefill queue.
void
Exchange::UpdateEstimates()
{
  GatewayState& state = mShared.mState;
  TimeMs now = Now();
  auto observedMs = static_cast<double>(now - mAttempt->mSentMs);
  double expectedMs = mAttempt->mPlacement.mExpectedMs;
  const std::string& model = mAttempt->mPlacementRequest.mModel;
  double unqueuedMs =
    mAttempt->mPlacement.mPrefillMs + FindOrAddPrefillSpeed(model).mFixedMs;
  auto found = state.mRunners.mRunners.find(mAttempt->mRunner);
  bool isPaced = IsPaced(state.mRunners, mService, now);
  bool isTelling = true;
  if (isPaced && found != state.mRunners.mRunners.end()) {
    isTelling = OnFirstEvent(found->second,
                             mAttempt->mPlacementRequest,
                             mAttempt->mPlacement,
                             observedMs,
                             now);
  }
  // The target of a roll-out is compared with the baseline, whose speed must
  // not follow it.
  if (isTelling && !IsAtTarget()) {
    UpdatePrefillSpeed(FindOrAddPrefillSpeed(model), expectedMs, observedMs);
  }
  double& poolWaitMs = state.mPoolWaits[mService].mMeanMs;
  poolWaitMs +=
    kPoolWaitWeight * (std::max(0.0, observedMs - unqueuedMs) - poolWaitMs);
  if (found != state.mRunners.mRunners.end()) {
    RunnerState& runner = found->second;
    double ratio = expectedMs > 0 ? observedMs / expectedMs : 1;
    if (!isPaced) {
      runner.mLatencyRatio =
        std::clamp(runner.mLatencyRatio +
                     kLatencyRatioWeight * (ratio - runner.mLatencyRatio),
                   1 / kMaxLatencyRatio,
                   kMaxLatencyRatio);
    }
    OnPrefillDone(runner.mPrefillQueue, mAttempt->mPrefillId, now);
  }
  CountDelay(observedMs >
             static_cast<double>(DelayedAfterMs(mAttempt->mReferenceMs)));
  OnVersionAnswer(observedMs <=
                      static_cast<double>(SlowAfterMs(mAttempt->mReferenceMs))
                    ? AnswerResult::Good
                    : AnswerResult::Slow);
}

// Learns how fast the runner of a paced service writes from a stream that ended
// normally.
void
Exchange::LearnTokenSpeed()
{
  RunnerSet& set = mShared.mState.mRunners;
  const StreamProgress& progress = mAttempt->mProgress;
  auto found = set.mRunners.find(mAttempt->mRunner);
  if (found == set.mRunners.end() || progress.mEvents < kMinPacedEvents ||
      !IsPaced(set, mService, Now()) ||
      ToProcess(found->second.mRegistration) != mAttempt->mProcess) {
    return;
  }
  const ServiceInfo* service = FindService(*mTable, mService);
  double tokens = static_cast<double>(progress.mEvents - 1) *
                  (service ? service->mTokensPerEvent : 1);
  OnStreamPaced(
    set,
    found->second,
    mAttempt->mPlacementRequest.mModel,
    static_cast<double>(progress.mLastEventMs - progress.mFirstEventMs) /
      tokens,
    mAttempt->mPlacement.mRunning,
    Now());
}

void
Exchange::CountPrefixDecision()
{
  const Placement& placement = mAttempt->mPlacement;
  if (placement.mPrefixOption != PrefixOption::NoPrefix) {
    mShared.mMetrics.CountPrefixDecision(
      std::string(ToName(kPrefixOptionNames, placement.mPrefixOption)),
      std::string(ToName(kPrefixReasonNames, placement.mPrefixReason)));
  }
}

VersionShift*
Exchange::FindActiveShift() const
{
  auto& shifts = mShared.mState.mShifts.mShifts;
  auto found = shifts.find(mService);
  return found != shifts.end() && !found->second.mOrder.mTarget.empty() &&
             IsActive(found->second)
           ? &found->second
           : nullptr;
}

// Whether the attempt is at the target of a roll-out that is under way.
bool
Exchange::IsAtTarget() const
{
  const VersionShift* shift = FindActiveShift();
  return shift && shift->mOrder.mTarget == mAttempt->mVersion;
}

// Starts the timer after which the answer counts as delayed or slow although it
// has not arrived. The runners of a new version have nothing cached, so the
// reference includes the prefill of the whole prompt for both versions.
void
Exchange::StartVerdictTimer()
{
  const VersionShift* shift = FindActiveShift();
  if (!shift || mAnswerStarted) {
    return;
  }
  const PrefillSpeed& speed =
    FindOrAddPrefillSpeed(mAttempt->mPlacementRequest.mModel);
  mAttempt->mReferenceMs =
    mAttempt->mPlacement.mQueueMs + speed.mFixedMs +
    static_cast<double>(mMetadata.mPromptTokens) * speed.mMsPerToken;
  mAttempt->mComparesDelays = ComparesDelays(*shift);
  TimeMs afterMs = mAttempt->mComparesDelays
                     ? DelayedAfterMs(mAttempt->mReferenceMs)
                     : SlowAfterMs(mAttempt->mReferenceMs);
  mVerdictTimer =
    Timer::After(mShared.mLoop, afterMs + 1, [this] { OnVerdictTimer(); });
}

void
Exchange::OnVerdictTimer()
{
  if (!mAttempt || mAttempt->mHeadReceived) {
    return;
  }
  CountDelay(true);
  TimeMs slowAtMs = mAttempt->mSentMs + SlowAfterMs(mAttempt->mReferenceMs);
  if (Now() > slowAtMs) {
    OnVersionAnswer(AnswerResult::Slow);
    return;
  }
  mVerdictTimer = Timer::After(
    mShared.mLoop, slowAtMs - Now() + 1, [this] { OnVerdictTimer(); });
}

void
Exchange::CountDelay(bool aIsDelayed)
{
  VersionShift* shift = FindActiveShift();
  if (!shift || !mAttempt->mComparesDelays || mAttempt->mDelayCounted) {
    return;
  }
  mAttempt->mDelayCounted = true;
  if (IsAtTarget()) {
    OnTargetDelay(*shift, aIsDelayed);
  } else {
    OnBaselineDelay(*shift, aIsDelayed);
  }
}

void
Exchange::OnVersionAnswer(AnswerResult aAnswer)
{
  VersionShift* shift = FindActiveShift();
  if (!shift || mAttempt->mAnswerCounted) {
    return;
  }
  mAttempt->mAnswerCounted = true;
  TimeMs elapsedMs = Now() - mAttempt->mSentMs;
  LogEvent(
    Event::AnswerJudged,
    { { "id", mMetadata.mId },
      { "version", mAttempt->mVersion },
      { "model", mAttempt->mPlacementRequest.mModel },
      { "tokens", std::to_string(mMetadata.mPromptTokens) },
      { "ms", std::to_string(elapsedMs) },
      { "expected_ms",
        std::to_string(static_cast<int>(mAttempt->mPlacement.mExpectedMs)) },
      { "reference_ms",
        std::to_string(static_cast<int>(mAttempt->mReferenceMs)) },
      { "compared", mAttempt->mComparesDelays ? "true" : "false" },
      { "result", std::string(ToName(kAnswerResultNames, aAnswer)) } });
  if (IsAtTarget()) {
    OnTargetAnswer(*shift, aAnswer);
  } else {
    OnBaselineAnswer(*shift, aAnswer);
  }
}

void
Exchange::OnRunnerOutcome(RunnerOutcome aOutcome)
{
  auto& runners = mShared.mState.mRunners.mRunners;
  auto found = runners.find(mAttempt->mRunner);
  if (found == runners.end()) {
    return;
  }
  bool wasBlocked = found->second.mBlockedUntilMs > Now();
  OnRequestOutcome(found->second, aOutcome, Now());
  if (!wasBlocked && found->second.mBlockedUntilMs > Now()) {
    LogEvent(
      Event::RunnerBlocked,
      { { "runner", mAttempt->mRunner },
        { "for_ms", std::to_string(found->second.mBlockedUntilMs - Now()) } });
  }
}

// Clears the request and its prompt's parts of the crashes that happened while
// requests with them were at runners.
void
Exchange::OnRunnerAnswered()
{
  if (!mAttempt->mAnswered) {
    mAttempt->mAnswered = true;
    OnAnswered(mShared.mState.mCrashSuspects,
               mShared.mState.mCrashSuspectOptions,
               mContents,
               Now());
  }
}

CrashCandidate
Exchange::MakeCrashCandidate(const Attempt& aAttempt) const
{
  return { mContents, aAttempt.mSentMs, aAttempt.mHeadReceived };
}

StreamPace&
Exchange::FindOrAddPace() const
{
  return mShared.mState
    .mStreamPaces[{ mRoute->mName, mAttempt->mPlacementRequest.mModel }];
}

} // namespace savory
